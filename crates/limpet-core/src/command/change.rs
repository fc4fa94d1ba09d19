use std::fmt;

use super::{Condition, Topic, condition::write_quoted};
use crate::{
    EndpointId, InstanceId, JobId, KeyId, QueueName, Revision, ServiceName,
    TeamName, WorkerId, config::QueuePolicy,
};

/// A change that is asked for, and under which conditions.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// What is to change.
    pub action: Action,
    /// Whether only the effects are to be told.
    pub dry_run: bool,
    /// The only revision of the configuration at which it may happen.
    pub if_revision: Option<Revision>,
}

/// What is to change.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Submit the job of a file, which the operators' tool reads.
    Submit {
        /// The path of the file.
        file: String,
    },
    /// Cancel jobs.
    Cancel(JobSelector),
    /// Hold waiting jobs back.
    Hold(JobSelector),
    /// Let held jobs go on.
    Release(JobSelector),
    /// Create a team with a share of 1 and no limit.
    CreateTeam(TeamName),
    /// Create a queue.
    CreateQueue {
        /// The queue.
        queue: QueueName,
        /// What it is to be.
        shape: QueueShape,
    },
    /// Create a service or change it.
    SetService {
        /// The service.
        service: ServiceName,
        /// What it is to be.
        shape: ServiceShape,
    },
    /// Grant a key.
    Grant {
        /// The public part of the new key.
        key: KeyId,
        /// Whom it is for.
        holder: KeyHolder,
        /// How long it is good, in milliseconds; `None` for ever.
        expires_in_ms: Option<u64>,
    },
    /// Withdraw a key for good.
    Withdraw(KeyId),
    /// Change a team's share.
    SetShare {
        /// The team.
        team: TeamName,
        /// Its new weight.
        weight: u32,
    },
    /// Change a team's upper limit.
    SetLimit {
        /// The team.
        team: TeamName,
        /// Its new limit.
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
        /// What it is to be.
        shape: QueueShape,
    },
    /// Let a machine take no new work.
    Drain(DrainTarget),
    /// Let a drained machine take work again.
    Undrain(DrainTarget),
}

/// Which jobs a change is about.
#[derive(Clone, Debug, PartialEq)]
pub enum JobSelector {
    /// One job.
    Id(JobId),
    /// Every job that satisfies a condition.
    Where(Condition),
}

/// Whom a key is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyHolder {
    /// A team that submits work.
    Team(TeamName),
    /// The operators.
    Operators,
}

/// The parts of a limit that change; the others stay.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitChange {
    /// Thousandths of a core.
    pub cores_milli: Option<u64>,
    /// Mebibytes of memory.
    pub memory_mb: Option<u64>,
    /// Accelerators.
    pub accelerators: Option<u64>,
    /// Requests to services under way at once.
    pub requests: Option<u32>,
    /// Whether everything that isn't named becomes unlimited.
    pub unlimited: bool,
}

/// The properties of a queue that are named; the others stay.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueShape {
    /// How its jobs are placed.
    pub policy: Option<QueuePolicy>,
    /// Whether jobs are accepted without a key.
    pub open: Option<bool>,
    /// Whether a task over its declared size is stopped.
    pub stop_over_size: Option<bool>,
}

/// The properties of a service that are named; the others stay.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceShape {
    /// Whether requests are accepted without a key.
    pub open: Option<bool>,
    /// The deadline of a request whose caller names none, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// A machine that can be drained.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DrainTarget {
    /// A worker takes no new tasks.
    Worker(WorkerId),
    /// An endpoint takes no new requests.
    Endpoint(EndpointId),
    /// An instance owns nothing.
    Instance(InstanceId),
}

impl Action {
    /// Says whether the change may stop tasks that run or wait, so that it
    /// is worth a question first.
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
            Action::CreateQueue { queue, shape } => {
                write!(f, "create queue {queue}{shape}")
            }
            Action::SetService { service, shape } => {
                write!(f, "set service {service}{shape}")
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
            Action::Reshape { queue, shape } => {
                write!(f, "reshape queue {queue}{shape}")
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

impl fmt::Display for QueueShape {
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

impl fmt::Display for ServiceShape {
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
