use std::fmt;

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
    /// Every word that may follow `why`.
    pub const WORDS: &'static [&'static str] =
        &["job", "task", "refusal", "worker", "team"];
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
