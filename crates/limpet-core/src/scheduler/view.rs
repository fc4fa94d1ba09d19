use crate::{
    DataCentre, JobId, JobState, QueueName, Rack, Resources, TaskId,
    TaskState, TeamName, TimeMs, WorkerId, config::QueuePolicy,
};

/// State of a job, for operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobView {
    /// The job.
    pub job: JobId,
    /// The name that its team gave it.
    pub name: String,
    /// Its team.
    pub team: TeamName,
    /// Its queue.
    pub queue: QueueName,
    /// Its state.
    pub state: JobState,
    /// Whether it is placed before all work that is not urgent.
    pub urgent: bool,
    /// Whether it asked for all its tasks to start together.
    pub all_at_once: bool,
    /// Whether an operator holds it.
    pub held: bool,
    /// Its number of tasks.
    pub tasks: u32,
    /// The number of its tasks that hold room on a worker.
    pub running: u32,
    /// The number of its tasks that are done.
    pub done: u32,
    /// When it was accepted.
    pub accepted_at: TimeMs,
    /// When its first task was started.
    pub started_at: Option<TimeMs>,
    /// When it reached its final state.
    pub ended_at: Option<TimeMs>,
    /// The most important reason for its state, in a short sentence.
    pub reason: String,
}

/// State of a task, for operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TaskView {
    /// The task.
    pub task: TaskId,
    /// Its team.
    pub team: TeamName,
    /// Its state.
    pub state: TaskState,
    /// The worker on which it runs or last ran.
    pub worker: Option<WorkerId>,
    /// Its declared size.
    pub size: Resources,
    /// How many times it was started.
    pub starts: u32,
    /// When it was last started.
    pub started_at: Option<TimeMs>,
}

/// State of a worker, for operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct WorkerView {
    /// The worker.
    pub worker: WorkerId,
    /// The data centre in which it is located.
    pub data_centre: DataCentre,
    /// The rack in which it is located.
    pub rack: Rack,
    /// Its condition: `ready`, `leaving`, `suspected` or `probation`.
    pub state: String,
    /// Its total capacity.
    pub held: Resources,
    /// The sum of the declared sizes of its tasks.
    pub committed: Resources,
    /// What its tasks used according to the last usage reports.
    pub used: Resources,
    /// The number of tasks placed on it.
    pub tasks: u32,
}

/// Usage and limits of a team in the shard, for operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TeamView {
    /// The team.
    pub team: TeamName,
    /// Its share of a full cell, relative to the other teams' weights.
    pub weight: u32,
    /// The most that it may run at once in this shard.
    pub allotment: Resources,
    /// The sum of the declared sizes of its placed tasks.
    pub running: Resources,
    /// The number of its jobs that wait.
    pub waiting_jobs: u32,
}

/// State of a queue, for operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct QueueView {
    /// The queue.
    pub queue: QueueName,
    /// Its policy.
    pub policy: QueuePolicy,
    /// The number of its jobs that wait.
    pub waiting_jobs: u32,
    /// The number of its tasks that hold room on a worker.
    pub running_tasks: u32,
}

/// Why a job, task, team or worker is in its state.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Explanation {
    /// At most ten short sentences, the most important reason first.
    pub lines: Vec<String>,
}
