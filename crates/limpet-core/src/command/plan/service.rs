use super::{Plan, check_range};
use crate::{
    Result, ServiceName,
    command::ServiceShape,
    config::{CellConfig, ConfigChange, ServiceConfig},
};

/// The longest deadline that a service may have, in milliseconds: a day.
const DEADLINE_LIMIT_MS: u64 = 24 * 3_600_000;

pub(super) fn set_service(
    config: &CellConfig,
    service: &ServiceName,
    shape: ServiceShape,
) -> Result<Plan> {
    let before = config.services.get(service);
    let base = before.cloned().unwrap_or_default();
    let after = ServiceConfig {
        open: shape.open.unwrap_or(base.open),
        deadline_ms: shape.deadline_ms.unwrap_or(base.deadline_ms),
    };
    check_range("deadline_ms", after.deadline_ms, 1, DEADLINE_LIMIT_MS)?;
    let describe = |config: &ServiceConfig| {
        format!("open {}, deadline_ms {}", config.open, config.deadline_ms)
    };
    Ok(Plan {
        change: (before != Some(&after)).then(|| ConfigChange::SetService {
            service: service.clone(),
            config: after.clone(),
        }),
        before: before.map_or("no service".to_owned(), describe),
        after: describe(&after),
        ..Plan::default()
    })
}
