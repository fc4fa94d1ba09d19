use std::fmt;

use super::FanOut;
use crate::{JobId, TaskId, TeamName, WorkerId};

/// What a `why` asks about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subject {
    /// Why a job is in its state.
    Job(JobId),
    /// Why a task is in its state.
    Task(TaskId),
    /// Why something was refused; its id stands in the refusal.
    Refusal(String),
    /// Why a worker takes no tasks, or takes them.
    Worker(WorkerId),
    /// Why a team has what it has.
    Team(TeamName),
}

impl Subject {
    /// Returns whom the subject has to be asked from.
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
