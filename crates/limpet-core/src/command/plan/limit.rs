use super::{Plan, plan_if_changed, team::find_team};
use crate::{
    Resources, Result, TeamName,
    command::LimitChange,
    config::{CellConfig, ConfigChange, TeamConfig},
};

/// Plans to change parts of a team's limit.
pub(super) fn set_limit(
    config: &CellConfig,
    team: &TeamName,
    change: &LimitChange,
) -> Result<Plan> {
    let before = find_team(config, team)?;
    let after = change.apply(before);
    let mut plan = plan_if_changed(
        (before, describe_limit(before)),
        (&after, describe_limit(&after)),
        ConfigChange::SetTeam { team: team.clone(), config: after.clone() },
    );
    if !before.limit.fits_in(&after.limit) {
        plan.notes.push(
            "a lower limit stops nothing that runs; it is in force when \
             every shard has given back its allotment"
                .to_owned(),
        );
    }
    Ok(plan)
}

impl LimitChange {
    /// Returns a team's configuration with the parts of this change applied.
    fn apply(&self, before: &TeamConfig) -> TeamConfig {
        let base = match self.unlimited {
            true => {
                TeamConfig { weight: before.weight, ..TeamConfig::default() }
            }
            false => before.clone(),
        };
        let limit = base.limit;
        TeamConfig {
            weight: base.weight,
            limit: Resources::new(
                self.cores_milli.unwrap_or(limit.cores_milli),
                self.memory_mb.unwrap_or(limit.memory_mb),
                self.accelerators.unwrap_or(limit.accelerators),
            ),
            request_limit: self.requests.unwrap_or(base.request_limit),
        }
    }
}

fn describe_limit(config: &TeamConfig) -> String {
    let unlimited = Resources::UNLIMITED;
    let Resources { cores_milli, memory_mb, accelerators } = config.limit;
    let mut parts = Vec::new();
    if cores_milli < unlimited.cores_milli {
        parts.push(format!("{} cores", cores_milli as f64 / 1000.0));
    }
    if memory_mb < unlimited.memory_mb {
        parts.push(format!("{memory_mb} MB"));
    }
    if accelerators < unlimited.accelerators {
        parts.push(format!("{accelerators} accelerators"));
    }
    if config.request_limit < u32::MAX {
        parts.push(format!("{} requests", config.request_limit));
    }
    match parts.is_empty() {
        true => "no limit".to_owned(),
        false => format!("limit {}", parts.join(", ")),
    }
}
