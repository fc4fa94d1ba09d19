//! What a change does to the configuration, before anybody does it.

mod drain;
mod key;
mod limit;
mod queue;
mod service;
mod share;
mod team;

pub use self::drain::Machines;
use self::{
    drain::drain,
    key::{grant, withdraw},
    limit::set_limit,
    queue::{create_queue, reshape},
    service::set_service,
    share::set_share,
    team::create_team,
};
use super::{Action, Change, QueueShape, suggest};
use crate::{
    Error, ErrorKind, Result, TimeMs,
    config::{CellConfig, ConfigChange, KeySecret},
};

/// What a plan is made from, besides the change.
#[derive(Clone, Copy, Debug)]
pub struct PlanContext<'a> {
    /// The configuration in force.
    pub config: &'a CellConfig,
    /// The machines that the platform lists.
    pub machines: &'a Machines,
    /// The time on the wall clock, from which a key's life is counted.
    pub wall_now: TimeMs,
    /// What the daemon drew at random, for a key that is to be granted.
    pub draw: &'a KeyDraw,
}

/// The secret and salt of a new key.
#[derive(Clone, Default)]
pub struct KeyDraw {
    /// The secret, which the new holder is told once.
    pub secret: String,
    /// The salt under which its hash is kept.
    pub salt: [u8; 32],
}

impl std::fmt::Debug for KeyDraw {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeyDraw").finish_non_exhaustive()
    }
}

/// What a change does to the configuration, for the daemon to carry out and
/// for a dry run to print.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The change; `None` where the configuration stays as it is.
    pub change: Option<ConfigChange>,
    /// What is before, in short.
    pub before: String,
    /// What is after, in short.
    pub after: String,
    /// What an operator ought to know besides.
    pub notes: Vec<String>,
    /// The whole new key, shown once and kept nowhere.
    pub new_key: Option<KeySecret>,
}

impl Plan {
    /// Returns sentences for people; `done` says whether it happened.
    pub fn to_lines(&self, done: bool) -> Vec<String> {
        let mut lines = Vec::new();
        lines.push(match (&self.change, done) {
            (None, _) => format!("nothing to change: {}", self.after),
            (Some(_), true) => {
                format!("changed from {} to {}", self.before, self.after)
            }
            (Some(_), false) => {
                format!("would change from {} to {}", self.before, self.after)
            }
        });
        lines.extend(self.notes.iter().cloned());
        if let (true, Some(key)) = (done, &self.new_key) {
            lines.push(format!("key {}", key.reveal()));
            lines.push("this is the only time that it is shown".to_owned());
        }
        lines
    }
}

/// Works out what a change does to the configuration.
///
/// A change of jobs leaves the configuration as it is and gets an empty
/// plan.
///
/// # Errors
///
/// [`ErrorKind::Conflict`] where the revision is another one than the
/// command names, or a thing to be created exists; the kind of what is not
/// known, with the name that was probably meant; and
/// [`ErrorKind::InvalidRequest`] with the allowed range for a number out of
/// it.
pub fn plan(change: &Change, context: PlanContext<'_>) -> Result<Plan> {
    let revision = context.config.revision;
    if let Some(wanted) = change.if_revision
        && wanted != revision
    {
        return Err(Error::new(
            ErrorKind::Conflict,
            format!("the revision is {revision}, the command names {wanted}"),
        ));
    }
    let config = context.config;
    match &change.action {
        Action::Submit { .. }
        | Action::Cancel(_)
        | Action::Hold(_)
        | Action::Release(_) => Ok(Plan::default()),
        Action::CreateTeam(team) => create_team(config, team),
        Action::CreateQueue { queue, shape } => {
            create_queue(config, queue, *shape)
        }
        Action::SetService { service, shape } => {
            set_service(config, service, *shape)
        }
        Action::Grant { key, holder, expires_in_ms } => {
            grant(context, key, holder, *expires_in_ms)
        }
        Action::Withdraw(key) => withdraw(context, key),
        Action::SetShare { team, weight } => set_share(config, team, *weight),
        Action::SetLimit { team, limit } => set_limit(config, team, limit),
        Action::SetPolicy { queue, policy } => {
            let shape = QueueShape { policy: Some(*policy), ..<_>::default() };
            reshape(config, queue, shape)
        }
        Action::Reshape { queue, shape } => reshape(config, queue, *shape),
        Action::Drain(target) => drain(context, target, true),
        Action::Undrain(target) => drain(context, target, false),
    }
}

/// Returns a plan that changes something only where it differs.
fn differing<T: PartialEq>(
    before: (&T, String),
    after: (&T, String),
    change: ConfigChange,
) -> Plan {
    Plan {
        change: (before.0 != after.0).then_some(change),
        before: before.1,
        after: after.1,
        ..Plan::default()
    }
}

fn unknown<'a>(
    kind: ErrorKind,
    what: &str,
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> Error {
    let hint = match suggest(name, known) {
        None => String::new(),
        Some(meant) => format!("; did you mean `{meant}`?"),
    };
    Error::new(kind, format!("no {what} `{name}`{hint}"))
}

fn exists(what: &str, name: &str) -> Error {
    Error::new(ErrorKind::Conflict, format!("{what} `{name}` exists"))
}

fn check_range(what: &str, value: u64, least: u64, most: u64) -> Result<()> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::InvalidRequest,
        format!("{what} is {value}, {least} to {most} is allowed"),
    ))
}
