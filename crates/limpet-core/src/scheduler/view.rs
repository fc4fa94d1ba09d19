use crate::{
    DataCentre, JobId, JobState, QueueName, Rack, Resources, TaskId,
    TaskState, TeamName, TimeMs, WorkerId, config::QueuePolicy,
};

/// A job as an operator sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobView {
    /// The job.
    pub job: JobId,
    /// What its team calls it.
    pub name: String,
    /// Its team.
    pub team: TeamName,
    /// Its queue.
    pub queue: QueueName,
    /// How far it has come.
    pub state: JobState,
    /// Whether it goes before all others.
    pub urgent: bool,
    /// Whether its tasks start together.
    pub all_at_once: bool,
    /// Whether an operator holds it back.
    pub held: bool,
    /// Its number of tasks.
    pub tasks: u32,
    /// Its tasks that run.
    pub running: u32,
    /// Its tasks that are done.
    pub done: u32,
    /// When it was accepted.
    pub accepted_at: TimeMs,
    /// When its first task started.
    pub started_at: Option<TimeMs>,
    /// When it reached a final state.
    pub ended_at: Option<TimeMs>,
    /// The most binding reason for its state, in a short sentence.
    pub reason: String,
}

/// A task as an operator sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TaskView {
    /// The task.
    pub task: TaskId,
    /// Its team.
    pub team: TeamName,
    /// How far it has come.
    pub state: TaskState,
    /// Where it runs or last ran.
    pub worker: Option<WorkerId>,
    /// What it may use.
    pub size: Resources,
    /// How often it was started.
    pub starts: u32,
    /// When it was last started.
    pub started_at: Option<TimeMs>,
}

/// A worker as an operator sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct WorkerView {
    /// The worker.
    pub worker: WorkerId,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// The rack that it stands in.
    pub rack: Rack,
    /// Its condition: `ready`, `leaving`, `suspected` or `probation`.
    pub state: String,
    /// What it holds.
    pub held: Resources,
    /// What is committed to it.
    pub committed: Resources,
    /// What its tasks were last seen to use.
    pub used: Resources,
    /// Its number of tasks.
    pub tasks: u32,
}

/// A team's standing in the shard.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TeamView {
    /// The team.
    pub team: TeamName,
    /// Its weight when the cell is full.
    pub weight: u32,
    /// What may run at once in this shard.
    pub allotment: Resources,
    /// What runs.
    pub running: Resources,
    /// Its jobs that wait.
    pub waiting_jobs: u32,
}

/// A queue as an operator sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct QueueView {
    /// The queue.
    pub queue: QueueName,
    /// Its policy.
    pub policy: QueuePolicy,
    /// Its jobs that wait.
    pub waiting_jobs: u32,
    /// Its tasks that run.
    pub running_tasks: u32,
}

/// Why something is as it is, most binding reason first.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Explanation {
    /// Short sentences, at most ten.
    pub lines: Vec<String>,
}
