use super::{Plan, check_range, plan_if_changed, team::find_team};
use crate::{
    Result, TeamName,
    config::{CellConfig, ConfigChange, TeamConfig},
};

/// The largest weight that a team may have.
const WEIGHT_LIMIT: u32 = 1_000_000;

/// Plans to change a team's share, which is its weight relative to those of
/// the other teams.
pub(super) fn set_share(
    config: &CellConfig,
    team: &TeamName,
    weight: u32,
) -> Result<Plan> {
    let before = find_team(config, team)?;
    check_range("the share", weight.into(), 1, WEIGHT_LIMIT.into())?;
    let after = TeamConfig { weight, ..before.clone() };
    let others: u64 = config
        .teams
        .iter()
        .filter(|(name, _)| *name != team)
        .map(|(_, config)| u64::from(config.weight))
        .sum();
    let describe = |weight: u32| {
        let total = others + u64::from(weight);
        let percent = u64::from(weight) * 100 / total.max(1);
        format!("share {weight} ({percent}% of a full cell)")
    };
    Ok(plan_if_changed(
        (before, describe(before.weight)),
        (&after, describe(weight)),
        ConfigChange::SetTeam { team: team.clone(), config: after.clone() },
    ))
}
