use std::fmt;

use super::FanOut;
use crate::{JobId, TaskId, TeamName, WorkerId};

/// The object that a `why` query is about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subject {
    /// A job: why it is in its state.
    Job(JobId),
    /// A task: why it is in its state.
    Task(TaskId),
    /// A refusal, by the id that the caller received: why the request was
    /// refused.
    Refusal(String),
    /// A worker: why it does or doesn't accept tasks.
    Worker(WorkerId),
    /// A team: what it uses, and what limits it.
    Team(TeamName),
}

impl Subject {
    /// Returns the instances that a query on this subject has to be sent to.
    pub const fn fan_out(&self) -> FanOut {
        match self {
            Subject::Job(_) | Subject::Task(_) | Subject::Worker(_) => {
                FanOut::Shards
            }
            Subject::Refusal(_) => FanOut::Instances,
            Subject::Team(_) => FanOut::SummedShards,
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Job(job) => write!(f, "job {job}"),
            Subject::Task(task) => write!(f, "task {task}"),
            Subject::Refusal(refusal) => write!(f, "refusal {refusal}"),
            Subject::Worker(worker) => write!(f, "worker {worker}"),
            Subject::Team(team) => write!(f, "team {team}"),
        }
    }
}
