use super::{Plan, check_range};
use crate::{
    Result, ServiceName,
    command::ServiceProperties,
    config::{CellConfig, ConfigChange, ServiceConfig},
};

/// The longest time limit that a service may have, in milliseconds: 24 hours.
const DEADLINE_LIMIT_MS: u64 = 24 * 3_600_000;

/// Plans to create a service or to change its properties.
pub(super) fn set_service(
    config: &CellConfig,
    service: &ServiceName,
    properties: ServiceProperties,
) -> Result<Plan> {
    let before = config.services.get(service);
    let base = before.cloned().unwrap_or_default();
    let after = ServiceConfig {
        open: properties.open.unwrap_or(base.open),
        deadline_ms: properties.deadline_ms.unwrap_or(base.deadline_ms),
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
