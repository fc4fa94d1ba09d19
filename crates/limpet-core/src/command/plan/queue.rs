use super::{Plan, already_exists, plan_if_changed, unknown_name};
use crate::{
    Error, ErrorKind, QueueName, Result,
    command::QueueProperties,
    config::{CellConfig, ConfigChange, QueueConfig},
};

fn describe_queue(config: &QueueConfig) -> String {
    format!(
        "policy {}, open {}, stop_over_size {}",
        config.policy, config.open, config.stop_over_size
    )
}

/// Plans to create a queue, for which a policy is required.
pub(super) fn create_queue(
    config: &CellConfig,
    queue: &QueueName,
    properties: QueueProperties,
) -> Result<Plan> {
    if config.queues.contains_key(queue) {
        return Err(already_exists("queue", queue.as_str()));
    }
    let policy = properties.policy.ok_or_else(|| {
        Error::new(ErrorKind::InvalidRequest, "a new queue needs a policy")
    })?;
    let created = QueueConfig {
        policy,
        open: properties.open.unwrap_or(false),
        stop_over_size: properties.stop_over_size.unwrap_or(false),
    };
    Ok(Plan {
        before: "no queue".to_owned(),
        after: format!("queue {queue} with {}", describe_queue(&created)),
        change: Some(ConfigChange::SetQueue {
            queue: queue.clone(),
            config: created,
        }),
        ..Plan::default()
    })
}

/// Plans to change properties of an existing queue.
pub(super) fn reshape(
    config: &CellConfig,
    queue: &QueueName,
    properties: QueueProperties,
) -> Result<Plan> {
    let before = config.queues.get(queue).ok_or_else(|| {
        let known = config.queues.keys().map(QueueName::as_str);
        unknown_name(ErrorKind::UnknownQueue, "queue", queue.as_str(), known)
    })?;
    let after = QueueConfig {
        policy: properties.policy.unwrap_or(before.policy),
        open: properties.open.unwrap_or(before.open),
        stop_over_size: properties
            .stop_over_size
            .unwrap_or(before.stop_over_size),
    };
    let mut plan = plan_if_changed(
        (before, describe_queue(before)),
        (&after, describe_queue(&after)),
        ConfigChange::SetQueue { queue: queue.clone(), config: after.clone() },
    );
    if after.open && !before.open {
        plan.notes.push("anyone may submit to it without a key".to_owned());
    }
    Ok(plan)
}
