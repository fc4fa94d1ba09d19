use super::{Plan, already_exists, unknown_name};
use crate::{
    ErrorKind, Result, TeamName,
    config::{CellConfig, ConfigChange, TeamConfig},
};

/// Plans to create a team with a share of 1 and without a limit.
pub(super) fn create_team(
    config: &CellConfig,
    team: &TeamName,
) -> Result<Plan> {
    if config.teams.contains_key(team) {
        return Err(already_exists("team", team.as_str()));
    }
    let created = TeamConfig::default();
    Ok(Plan {
        before: "no team".to_owned(),
        after: format!("team {team} with share {}, no limit", created.weight),
        change: Some(ConfigChange::SetTeam {
            team: team.clone(),
            config: created,
        }),
        notes: vec![
            format!("set share of team {team} to N changes its share"),
            format!("grant key NAME to team {team} lets it submit"),
        ],
        new_key: None,
    })
}

/// Returns the configuration of a team.
///
/// # Errors
///
/// Returns [`ErrorKind::UnknownTeam`] where there is no such team.
pub(super) fn find_team<'a>(
    config: &'a CellConfig,
    team: &TeamName,
) -> Result<&'a TeamConfig> {
    config.teams.get(team).ok_or_else(|| {
        let known = config.teams.keys().map(TeamName::as_str);
        unknown_name(ErrorKind::UnknownTeam, "team", team.as_str(), known)
    })
}
