use super::{Action, Change, Command, Subject, Topic};
use crate::{Error, ErrorKind, Result, TeamName, config::Role};

/// The objects that the holder of a key may see and change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Scope {
    /// The objects of all teams.
    Cell,
    /// The objects of one team.
    Team(TeamName),
}

impl Scope {
    /// Returns the team to which the scope is restricted; `None` where it
    /// isn't.
    pub const fn team(&self) -> Option<&TeamName> {
        match self {
            Scope::Cell => None,
            Scope::Team(team) => Some(team),
        }
    }
}

/// Decides whether the holder of a verified key may give a command, and
/// returns the objects that the command may apply to.
///
/// An operator's key may give every command. A key of a team may only see and
/// change work of this team, and may not change the configuration.
///
/// # Errors
///
/// Returns [`ErrorKind::NotPermitted`] where the key doesn't allow the
/// command.
pub fn permit(
    command: &Command,
    role: Role,
    team: Option<&TeamName>,
) -> Result<Scope> {
    match (role, team) {
        (Role::Operate, _) => Ok(Scope::Cell),
        (Role::Submit, None) => Err(refused("the submit key has no team")),
        (Role::Submit, Some(team)) => {
            permit_team(command, team)?;
            Ok(Scope::Team(team.clone()))
        }
    }
}

/// Checks that a key of a team may give a command.
fn permit_team(command: &Command, team: &TeamName) -> Result<()> {
    match command {
        Command::Show(show) => permit_topic(show.topic),
        Command::Why(subject) => permit_subject(subject, team),
        Command::Change(change) => permit_change(change),
    }
}

fn permit_topic(topic: Topic) -> Result<()> {
    match topic {
        Topic::Jobs
        | Topic::Tasks
        | Topic::Teams
        | Topic::Keys
        | Topic::Queues
        | Topic::Services
        | Topic::Refusals => Ok(()),
        Topic::Workers
        | Topic::Endpoints
        | Topic::Shards
        | Topic::Instances
        | Topic::Config
        | Topic::Changes => {
            Err(refused(&format!("only operators may see {topic}")))
        }
    }
}

fn permit_subject(subject: &Subject, team: &TeamName) -> Result<()> {
    match subject {
        Subject::Job(_) | Subject::Task(_) | Subject::Refusal(_) => Ok(()),
        Subject::Team(other) if other == team => Ok(()),
        Subject::Team(other) => {
            Err(refused(&format!("the key is for team {team}, not {other}")))
        }
        Subject::Worker(_) => {
            Err(refused("only operators may ask about a worker"))
        }
    }
}

fn permit_change(change: &Change) -> Result<()> {
    match &change.action {
        Action::Submit { .. }
        | Action::Cancel(_)
        | Action::Hold(_)
        | Action::Release(_) => Ok(()),
        Action::CreateTeam(_)
        | Action::CreateQueue { .. }
        | Action::SetService { .. }
        | Action::Grant { .. }
        | Action::Withdraw(_)
        | Action::SetShare { .. }
        | Action::SetLimit { .. }
        | Action::SetPolicy { .. }
        | Action::Reshape { .. }
        | Action::Drain(_)
        | Action::Undrain(_) => {
            Err(refused("only an operator's key may change the configuration"))
        }
    }
}

fn refused(message: &str) -> Error {
    Error::new(ErrorKind::NotPermitted, message)
}
