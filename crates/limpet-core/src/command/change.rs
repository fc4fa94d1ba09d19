use std::fmt;

use super::{Condition, Topic, condition::write_quoted};
use crate::{
    EndpointId, InstanceId, JobId, KeyId, QueueName, Revision, ServiceName,
    TeamName, WorkerId, config::QueuePolicy,
};

/// A command that changes the cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The change to make.
    pub action: Action,
    /// Whether to report the effects without making the change.
    pub dry_run: bool,
    /// The revision that the configuration must have for the change to be
    /// made; `None` for any.
    pub if_revision: Option<Revision>,
}

/// The change that a command makes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Submit the job in a file, which the command-line tool reads.
    Submit {
        /// The path of the file.
        file: String,
    },
    /// Cancel jobs and stop their tasks.
    Cancel(JobSelector),
    /// Hold waiting jobs, so that they don't start.
    Hold(JobSelector),
    /// Release held jobs.
    Release(JobSelector),
    /// Create a team with a share of 1 and without a limit.
    CreateTeam(TeamName),
    /// Create a queue.
    CreateQueue {
        /// The queue.
        queue: QueueName,
        /// Its properties.
        properties: QueueProperties,
    },
    /// Create a service or change its properties.
    SetService {
        /// The service.
        service: ServiceName,
        /// Its properties.
        properties: ServiceProperties,
    },
    /// Grant a key.
    Grant {
        /// The id of the new key.
        key: KeyId,
        /// Who receives it.
        holder: KeyHolder,
        /// How long it is valid, in milliseconds; `None` for ever.
        expires_in_ms: Option<u64>,
    },
    /// Withdraw a key, which can't be undone.
    Withdraw(KeyId),
    /// Change a team's share.
    SetShare {
        /// The team.
        team: TeamName,
        /// Its new weight.
        weight: u32,
    },
    /// Change a team's limit.
    SetLimit {
        /// The team.
        team: TeamName,
        /// The parts of its limit that change.
        limit: LimitChange,
    },
    /// Change a queue's policy.
    SetPolicy {
        /// The queue.
        queue: QueueName,
        /// Its new policy.
        policy: QueuePolicy,
    },
    /// Change several properties of a queue.
    Reshape {
        /// The queue.
        queue: QueueName,
        /// Its properties.
        properties: QueueProperties,
    },
    /// Drain a machine, so that it is given no new work.
    Drain(DrainTarget),
    /// Release a drained machine, so that it is given work again.
    Undrain(DrainTarget),
}

/// The jobs that a change applies to.
#[derive(Clone, Debug, PartialEq)]
pub enum JobSelector {
    /// The job with this id.
    Id(JobId),
    /// Every job that satisfies a condition.
    Where(Condition),
}

/// The holder of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyHolder {
    /// A team that submits work.
    Team(TeamName),
    /// The operators of the cell.
    Operators,
}

/// The parts of a team's limit that change; `None` leaves a part unchanged.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitChange {
    /// Cores, in thousandths of a core.
    pub cores_milli: Option<u64>,
    /// Memory, in mebibytes.
    pub memory_mb: Option<u64>,
    /// The number of accelerators.
    pub accelerators: Option<u64>,
    /// The number of requests to services in progress at once.
    pub requests: Option<u32>,
    /// Whether the parts that aren't named become unlimited instead of
    /// staying unchanged.
    pub unlimited: bool,
}

/// The properties of a queue that a command sets; `None` leaves a property
/// unchanged, or at its default in a new queue.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueProperties {
    /// How its jobs are placed.
    pub policy: Option<QueuePolicy>,
    /// Whether jobs are accepted without an API key.
    pub open: Option<bool>,
    /// Whether a task that uses more than its declared size is stopped
    /// instead of throttled.
    pub stop_over_size: Option<bool>,
}

/// The properties of a service that a command sets; `None` leaves a property
/// unchanged, or at its default in a new service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceProperties {
    /// Whether requests are accepted without an API key.
    pub open: Option<bool>,
    /// The time limit of a request whose caller sets none, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// A machine that can be drained.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DrainTarget {
    /// A worker, which is then given no new tasks.
    Worker(WorkerId),
    /// An endpoint, which is then sent no new requests.
    Endpoint(EndpointId),
    /// An instance, which then hands over its shards.
    Instance(InstanceId),
}

impl Action {
    /// Returns whether the change may affect running or waiting tasks, so that
    /// the operator should be asked to confirm it.
    pub const fn may_affect_tasks(&self) -> bool {
        matches!(self, Action::Cancel(_) | Action::Hold(_) | Action::Drain(_))
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.dry_run {
            f.write_str("dry run ")?;
        }
        self.action.fmt(f)?;
        match self.if_revision {
            None => Ok(()),
            Some(revision) => write!(f, " if revision = {revision}"),
        }
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::Submit { file } => {
                f.write_str("submit ")?;
                write_quoted(f, file)
            }
            Action::Cancel(jobs) => write!(f, "cancel {jobs}"),
            Action::Hold(jobs) => write!(f, "hold {jobs}"),
            Action::Release(jobs) => write!(f, "release {jobs}"),
            Action::CreateTeam(team) => write!(f, "create team {team}"),
            Action::CreateQueue { queue, properties } => {
                write!(f, "create queue {queue}{properties}")
            }
            Action::SetService { service, properties } => {
                write!(f, "set service {service}{properties}")
            }
            Action::Grant { key, holder, expires_in_ms } => {
                write!(f, "grant key {key} to {holder}")?;
                write_expiry(f, *expires_in_ms)
            }
            Action::Withdraw(key) => write!(f, "withdraw key {key}"),
            Action::SetShare { team, weight } => {
                write!(f, "set share of team {team} to {weight}")
            }
            Action::SetLimit { team, limit } => {
                write!(f, "set limit of team {team} to {limit}")
            }
            Action::SetPolicy { queue, policy } => {
                write!(f, "set policy of queue {queue} to {policy}")
            }
            Action::Reshape { queue, properties } => {
                write!(f, "reshape queue {queue}{properties}")
            }
            Action::Drain(target) => write!(f, "drain {target}"),
            Action::Undrain(target) => write!(f, "release {target}"),
        }
    }
}

fn write_expiry(
    f: &mut fmt::Formatter<'_>,
    expires_in_ms: Option<u64>,
) -> fmt::Result {
    match expires_in_ms {
        None => Ok(()),
        Some(ms) => write!(f, " expires in {ms} ms"),
    }
}

impl fmt::Display for JobSelector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JobSelector::Id(job) => write!(f, "job {job}"),
            JobSelector::Where(condition) => {
                write!(f, "{} where {condition}", Topic::Jobs)
            }
        }
    }
}

impl fmt::Display for KeyHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyHolder::Team(team) => write!(f, "team {team}"),
            KeyHolder::Operators => f.write_str("operators"),
        }
    }
}

impl fmt::Display for LimitChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut parts = Vec::new();
        if self.unlimited {
            parts.push("unlimited".to_owned());
        }
        if let Some(cores_milli) = self.cores_milli {
            let (whole, rest) = (cores_milli / 1000, cores_milli % 1000);
            parts.push(match rest {
                0 => format!("{whole} cores"),
                rest => format!("{whole}.{rest:03} cores"),
            });
        }
        if let Some(memory_mb) = self.memory_mb {
            parts.push(format!("{memory_mb} memory_mb"));
        }
        if let Some(accelerators) = self.accelerators {
            parts.push(format!("{accelerators} accelerators"));
        }
        if let Some(requests) = self.requests {
            parts.push(format!("{requests} requests"));
        }
        f.write_str(&parts.join(", "))
    }
}

impl fmt::Display for QueueProperties {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(policy) = self.policy {
            write!(f, " policy {policy}")?;
        }
        if let Some(open) = self.open {
            write!(f, " open {open}")?;
        }
        if let Some(stop) = self.stop_over_size {
            write!(f, " stop_over_size {stop}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ServiceProperties {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(open) = self.open {
            write!(f, " open {open}")?;
        }
        if let Some(deadline_ms) = self.deadline_ms {
            write!(f, " deadline_ms {deadline_ms}")?;
        }
        Ok(())
    }
}

impl fmt::Display for DrainTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DrainTarget::Worker(worker) => write!(f, "worker {worker}"),
            DrainTarget::Endpoint(endpoint) => {
                write!(f, "endpoint {endpoint}")
            }
            DrainTarget::Instance(instance) => {
                write!(f, "instance {instance}")
            }
        }
    }
}
