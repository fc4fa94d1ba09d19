//! Keys of jobs, steps and tasks, and their text form.

use std::{fmt, str::FromStr};

/// Identifies a job: 16 lower-case hexadecimal digits that the client chose.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobKey(pub u64);

/// The number of digits of a [`JobKey`] as text.
const JOB_KEY_DIGITS: usize = 16;

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobKey {
    type Err = String;

    fn from_str(text: &str) -> Result<JobKey, String> {
        let digits = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != JOB_KEY_DIGITS || !text.bytes().all(digits) {
            return Err(format!(
                "job id `{text}` must be {JOB_KEY_DIGITS} digits 0-9a-f"
            ));
        }
        u64::from_str_radix(text, 16)
            .map(JobKey)
            .map_err(|err| format!("job id `{text}`: {err}"))
    }
}

/// Identifies a step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// The occurrence, counted from 0; a job that does not repeat has one.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u32,
}

impl StepKey {
    /// Returns the key of the task at `index` in this step.
    pub const fn task(self, index: u32) -> TaskKey {
        TaskKey { step: self, index }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifies a task, written as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskKey {
    /// The step that the task belongs to.
    pub step: StepKey,
    /// The task within its step, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = String;

    fn from_str(text: &str) -> Result<TaskKey, String> {
        let bad =
            || format!("task key `{text}` must be JOB.OCCURRENCE.STEP.INDEX");
        let mut parts = text.split('.');
        let job = parts.next().ok_or_else(bad)?.parse()?;
        let mut number = || -> Result<u32, String> {
            parts.next().and_then(|p| p.parse().ok()).ok_or_else(bad)
        };
        let step = StepKey { job, occurrence: number()?, step: number()? };
        let index = number()?;
        if parts.next().is_some() {
            return Err(bad());
        }
        Ok(TaskKey { step, index })
    }
}
