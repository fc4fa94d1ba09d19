//! The tables of the system and what lies in them.

use limpet_adapter::RowName;
use limpet_workflow::JobKey;

/// Accepted jobs and their cancellations.
pub const JOBS_TABLE: &str = "jobs";
/// The progress of jobs, written by the owner alone.
pub const PROGRESS_TABLE: &str = "progress";
/// Who owns the cell.
pub const OWNER_TABLE: &str = "owner";
/// The key of the row that names the owner.
pub const OWNER_KEY: &str = "owner";
/// The part that holds all progress. The owner writes it in one transaction
/// after another, each of many rows, so that it needs no second one.
pub const PROGRESS_PART: &str = "p";
/// The key of the row that orders the owner's writes. No job has it.
const HEAD_KEY: &str = "head";
/// The parts that accepted jobs are spread over. A part handles 200
/// transactions a second, and each submission may be one.
pub const PARTS: u8 = 4;
/// Ends the key of a cancellation.
const CANCEL_SUFFIX: &str = ".cancel";

/// A part of the jobs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Part(pub u8);

impl Part {
    /// Returns all parts.
    pub fn all() -> impl Iterator<Item = Part> {
        (0..PARTS).map(Part)
    }

    /// Returns the part that a job lies in.
    pub fn of(job: JobKey) -> Part {
        Part((job.0 % u64::from(PARTS)) as u8)
    }

    /// Returns its name in the store.
    pub fn name(self) -> String {
        format!("p{}", self.0)
    }
}

/// Returns the row that names the owner.
pub fn owner_row() -> RowName {
    RowName {
        table: OWNER_TABLE.to_owned(),
        part: String::new(),
        key: OWNER_KEY.to_owned(),
    }
}

/// Returns the row that orders the owner's writes of progress.
pub fn head_row() -> RowName {
    RowName {
        table: PROGRESS_TABLE.to_owned(),
        part: PROGRESS_PART.to_owned(),
        key: HEAD_KEY.to_owned(),
    }
}

/// Returns the row of an accepted job.
pub fn job_row(job: JobKey) -> RowName {
    jobs_row(job, "")
}

/// Returns the row of a job's cancellation.
pub fn cancel_row(job: JobKey) -> RowName {
    jobs_row(job, CANCEL_SUFFIX)
}

/// Returns the row of a job's progress.
pub fn progress_row(job: JobKey) -> RowName {
    RowName {
        table: PROGRESS_TABLE.to_owned(),
        part: PROGRESS_PART.to_owned(),
        key: job.to_string(),
    }
}

fn jobs_row(job: JobKey, suffix: &str) -> RowName {
    RowName {
        table: JOBS_TABLE.to_owned(),
        part: Part::of(job).name(),
        key: format!("{job}{suffix}"),
    }
}

/// A key of the table of jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobsKey {
    /// A job.
    Job(JobKey),
    /// A cancellation.
    Cancel(JobKey),
}

/// Reads a key of the table of jobs; `None` for one that isn't ours.
pub fn parse_jobs_key(key: &str) -> Option<JobsKey> {
    match key.strip_suffix(CANCEL_SUFFIX) {
        Some(job) => job.parse().ok().map(JobsKey::Cancel),
        None => key.parse().ok().map(JobsKey::Job),
    }
}

/// Who owns the cell.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct OwnerRecord {
    /// Counts the ownerships; the fencing token of the owner's orders.
    pub term: u64,
    /// The instance's name.
    pub holder: String,
    /// Tells the processes of one instance apart.
    pub incarnation: u64,
    /// Where the owner is called.
    pub link_address: String,
    /// Whether the owner gave the cell up.
    pub released: bool,
}

/// How far an owner has written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct HeadRecord {
    /// The owner's term.
    pub term: u64,
    /// Counts the writes within the term.
    pub sequence: u64,
}

/// Encodes a value for the store.
pub fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    // Our own plain structs always have an encoding.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes a value of the store.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
