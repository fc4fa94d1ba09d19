use crate::{
    DataCentre, Error, ErrorKind, QueueName, Resources, Result, TeamName,
    units::CoresAsNumber,
};

/// The most tasks that a job may have.
const TASK_LIMIT: u64 = 10_000;
/// The most cores that a task may request, in thousandths of a core.
const CORES_LIMIT_MILLI: u64 = 1_024_000;
/// The most memory that a task may request, in mebibytes.
const MEMORY_LIMIT_MB: u64 = 16 * 1024 * 1024;
/// The most accelerators that a task may request.
const ACCELERATOR_LIMIT: u64 = 64;
/// The longest run time that a task may declare, in milliseconds: 365 days.
const RUN_TIME_LIMIT_MS: u64 = 365 * 24 * 3_600_000;

/// The specification of a job, as a team submits it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The name that the team gives the job, 1 to 200 bytes long.
    pub name: String,
    /// The team that the job runs for.
    pub team: TeamName,
    /// The queue whose policy places the job.
    pub queue: QueueName,
    /// Whether the job has priority over all jobs that aren't urgent.
    #[serde(default)]
    pub urgent: bool,
    /// Whether all its tasks start together or none does.
    #[serde(default)]
    pub all_at_once: bool,
    /// The only data centre that it may run in; `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentre>,
    /// Its groups of identical tasks.
    pub tasks: Vec<TaskSpec>,
}

/// A group of identical tasks of a job.
#[serde_with::serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// The name that the team gives the group.
    pub name: String,
    /// The number of tasks in the group.
    #[serde(default = "default_count")]
    pub count: u32,
    /// The cores of each task, in thousandths of a core.
    ///
    /// A job file has it as `cores`, a decimal number of whole cores.
    #[serde_as(as = "CoresAsNumber")]
    #[serde(rename = "cores")]
    pub cores_milli: u64,
    /// The memory of each task, in mebibytes.
    pub memory_mb: u64,
    /// The number of accelerators of each task.
    #[serde(default)]
    pub accelerators: u64,
    /// The declared run time of each task, in milliseconds; `None` for tasks
    /// that run until they are stopped.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_time_ms: Option<u64>,
    /// Whether a task may run again after a run that failed or whose outcome
    /// is unknown.
    pub idempotent: bool,
    /// Whether a task can save its progress and continue from there later.
    #[serde(default)]
    pub can_checkpoint: bool,
}

fn default_count() -> u32 {
    1
}

impl JobSpec {
    /// Returns the number of tasks in all groups, saturating.
    pub fn task_count(&self) -> u32 {
        self.tasks.iter().fold(0, |sum, group| sum.saturating_add(group.count))
    }

    /// Returns the group of the task at `index`, counted from 0 over all
    /// groups; `None` past the last task.
    pub fn task_group(&self, index: u32) -> Option<&TaskSpec> {
        let mut first = 0;
        self.tasks.iter().find(|group| {
            first += group.count;
            index < first
        })
    }

    /// Returns the resources that all tasks need together.
    pub fn total_size(&self) -> Resources {
        self.tasks.iter().fold(Resources::ZERO, |sum, group| {
            sum.plus(&group.size().times(u64::from(group.count)))
        })
    }

    /// Checks that every value of the job is in its allowed range.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidJob`] with a message that lists every
    /// value out of range, so that the submitter can correct all of them at
    /// once.
    pub fn validate(&self) -> Result<()> {
        let mut violations = Vec::new();
        if self.name.is_empty() || self.name.len() > 200 {
            violations.push(format!(
                "name has {} bytes, 1 to 200 are allowed",
                self.name.len()
            ));
        }
        let count =
            self.tasks.iter().map(|group| u64::from(group.count)).sum::<u64>();
        check(&mut violations, "tasks", count, 1, TASK_LIMIT);
        for group in &self.tasks {
            group.collect_violations(&mut violations);
        }
        if violations.is_empty() {
            return Ok(());
        }
        Err(Error::new(ErrorKind::InvalidJob, violations.join("; ")))
    }
}

impl TaskSpec {
    /// Returns the resources that each task of the group needs.
    pub const fn size(&self) -> Resources {
        Resources::new(self.cores_milli, self.memory_mb, self.accelerators)
    }

    fn collect_violations(&self, violations: &mut Vec<String>) {
        let name = &self.name;
        let mut check = |field: &str, value, min, max| {
            check(
                violations,
                &format!("{field} of `{name}`"),
                value,
                min,
                max,
            );
        };
        check("count", u64::from(self.count), 1, TASK_LIMIT);
        check("cores (thousandths)", self.cores_milli, 1, CORES_LIMIT_MILLI);
        check("memory_mb", self.memory_mb, 1, MEMORY_LIMIT_MB);
        check("accelerators", self.accelerators, 0, ACCELERATOR_LIMIT);
        if let Some(run_time_ms) = self.run_time_ms {
            check("run_time_ms", run_time_ms, 1, RUN_TIME_LIMIT_MS);
        }
    }
}

fn check(
    violations: &mut Vec<String>,
    field: &str,
    value: u64,
    min: u64,
    max: u64,
) {
    if value < min || value > max {
        violations
            .push(format!("{field} is {value}, {min} to {max} is allowed"));
    }
}
