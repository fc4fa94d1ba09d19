use crate::{
    DataCentre, Error, ErrorKind, QueueName, Resources, Result, TeamName,
    units::CoresAsNumber,
};

/// The most tasks that one job may have.
const TASK_LIMIT: u64 = 10_000;
/// The most cores that one task may ask for, in thousandths.
const CORES_LIMIT_MILLI: u64 = 1_024_000;
/// The most memory that one task may ask for, in mebibytes.
const MEMORY_LIMIT_MB: u64 = 16 * 1024 * 1024;
/// The most accelerators that one task may ask for.
const ACCELERATOR_LIMIT: u64 = 64;
/// The longest run time that a task may declare, in milliseconds: a year.
const RUN_TIME_LIMIT_MS: u64 = 365 * 24 * 3_600_000;

/// A job as a team submits it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// What the team calls the job.
    pub name: String,
    /// The team that the job runs for.
    pub team: TeamName,
    /// The queue whose policy places the job.
    pub queue: QueueName,
    /// Whether the job goes before all others of the cell.
    #[serde(default)]
    pub urgent: bool,
    /// Whether its tasks start together or not at all.
    #[serde(default)]
    pub all_at_once: bool,
    /// The only data centre that it may run in, where it minds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentre>,
    /// Its groups of like tasks.
    pub tasks: Vec<TaskSpec>,
}

/// A group of like tasks of a job.
#[serde_with::serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// What the team calls the group.
    pub name: String,
    /// How many tasks the group has.
    #[serde(default = "default_count")]
    pub count: u32,
    /// Thousandths of a core of each task, written `cores` as a decimal
    /// number of whole cores.
    #[serde_as(as = "CoresAsNumber")]
    #[serde(rename = "cores")]
    pub cores_milli: u64,
    /// Mebibytes of memory of each task.
    pub memory_mb: u64,
    /// Accelerators of each task.
    #[serde(default)]
    pub accelerators: u64,
    /// The declared run time of each task, in milliseconds; `None` for one
    /// that runs until it is stopped.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_time_ms: Option<u64>,
    /// Whether a task may run again after an unclear or failed run.
    pub idempotent: bool,
    /// Whether a task can save its progress at safe points.
    #[serde(default)]
    pub can_checkpoint: bool,
}

fn default_count() -> u32 {
    1
}

impl JobSpec {
    /// Returns the number of tasks over all groups.
    pub fn task_count(&self) -> u32 {
        self.tasks.iter().fold(0, |sum, group| sum.saturating_add(group.count))
    }

    /// Returns the group that the task at `index` belongs to.
    pub fn task_group(&self, index: u32) -> Option<&TaskSpec> {
        let mut first = 0;
        self.tasks.iter().find(|group| {
            first += group.count;
            index < first
        })
    }

    /// Returns what all tasks need together.
    pub fn total_size(&self) -> Resources {
        self.tasks.iter().fold(Resources::ZERO, |sum, group| {
            sum.plus(&group.size().times(u64::from(group.count)))
        })
    }

    /// Checks every size of the job against its range.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidJob`] with every value that is out of range, so
    /// that the submitter can mend them in one go.
    pub fn validate(&self) -> Result<()> {
        let mut faults = Vec::new();
        if self.name.is_empty() || self.name.len() > 200 {
            faults.push(format!(
                "name has {} bytes, 1 to 200 are allowed",
                self.name.len()
            ));
        }
        let count =
            self.tasks.iter().map(|group| u64::from(group.count)).sum::<u64>();
        check(&mut faults, "tasks", count, 1, TASK_LIMIT);
        for group in &self.tasks {
            group.collect_faults(&mut faults);
        }
        if faults.is_empty() {
            return Ok(());
        }
        Err(Error::new(ErrorKind::InvalidJob, faults.join("; ")))
    }
}

impl TaskSpec {
    /// Returns what each task of the group needs.
    pub const fn size(&self) -> Resources {
        Resources::new(self.cores_milli, self.memory_mb, self.accelerators)
    }

    fn collect_faults(&self, faults: &mut Vec<String>) {
        let name = &self.name;
        let mut check = |field: &str, value, least, most| {
            check(faults, &format!("{field} of `{name}`"), value, least, most);
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
    faults: &mut Vec<String>,
    what: &str,
    value: u64,
    least: u64,
    most: u64,
) {
    if value < least || value > most {
        faults
            .push(format!("{what} is {value}, {least} to {most} is allowed"));
    }
}
