//! The tables in the platform's store: their rows and how they are encoded.

use limpet_adapter::RowName;
use limpet_workflow::{JobKey, JobRecord, MachineSpeed};

/// The table of accepted jobs and their cancellations.
pub const JOBS_TABLE: &str = "jobs";
/// The table of the progress of jobs, which only the owner writes.
pub const PROGRESS_TABLE: &str = "progress";
/// The table of the row that names the owner.
pub const OWNER_TABLE: &str = "owner";
/// The key of the row that names the owner.
pub const OWNER_KEY: &str = "owner";
/// The table of the learnt speeds of machines.
pub const SPEEDS_TABLE: &str = "speeds";
/// The key of the row that orders the owner's writes to a lane. It is not a
/// valid job id.
const HEAD_KEY: &str = "head";
/// The number of lanes of progress. A part carries out one transaction after
/// another, so this many of a slow store's transactions are in progress at
/// once.
pub const LANES: u8 = 8;
/// The number of parts over which accepted jobs are distributed. A submission
/// may take a transaction, and a part handles 200 of them a second, one after
/// another; 4 if the store is 50 times as slow.
pub const PARTS: u8 = 64;
/// The maximum size of the rows of a transaction, as encoded. The store allows
/// 1 MB for the whole call.
pub const MAX_BATCH_BYTES: usize = 900_000;
/// The size of a row in a transaction beside its value, at most.
const ROW_OVERHEAD_BYTES: usize = 400;
/// The suffix of the key of a cancellation.
const CANCEL_SUFFIX: &str = ".cancel";

/// A part of the table of jobs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Part(pub u8);

impl Part {
    /// Returns all parts.
    pub fn all() -> impl Iterator<Item = Part> {
        (0..PARTS).map(Part)
    }

    /// Returns the part that holds a job.
    pub fn of(job: JobKey) -> Part {
        Part((job.0 % u64::from(PARTS)) as u8)
    }

    /// Returns the name of the part in the store.
    pub fn name(self) -> String {
        format!("p{}", self.0)
    }
}

/// A part of the table of progress. Each has a head row and is written by one
/// transaction at a time. The row of a job may be in several lanes; the newest
/// counts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Lane(pub u8);

impl Lane {
    /// Returns all lanes, in the order in which they come into use.
    pub fn all() -> impl Iterator<Item = Lane> {
        (0..LANES).map(Lane)
    }

    /// Returns the name of the part in the store. The first one is that of
    /// versions which had a single lane.
    pub fn part(self) -> String {
        match self.0 {
            0 => "p".to_owned(),
            number => format!("p{number}"),
        }
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

/// Returns the row that orders the owner's writes to a lane.
pub fn head_row(lane: Lane) -> RowName {
    RowName {
        table: PROGRESS_TABLE.to_owned(),
        part: lane.part(),
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

/// Returns the row of a job's progress in a lane.
pub fn progress_row(lane: Lane, job: JobKey) -> RowName {
    RowName {
        table: PROGRESS_TABLE.to_owned(),
        part: lane.part(),
        key: job.to_string(),
    }
}

/// Returns a row of learnt speeds, by its number.
pub fn speeds_row(number: usize) -> RowName {
    RowName {
        table: SPEEDS_TABLE.to_owned(),
        part: String::new(),
        key: number.to_string(),
    }
}

/// Returns the row of the table of jobs whose key is a job's id and `suffix`.
fn jobs_row(job: JobKey, suffix: &str) -> RowName {
    RowName {
        table: JOBS_TABLE.to_owned(),
        part: Part::of(job).name(),
        key: format!("{job}{suffix}"),
    }
}

/// A parsed key of the table of jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobsKey {
    /// An accepted job.
    Job(JobKey),
    /// The cancellation of a job.
    Cancel(JobKey),
}

/// Parses a key of the table of jobs; `None` for an unknown kind of key.
pub fn parse_jobs_key(key: &str) -> Option<JobsKey> {
    match key.strip_suffix(CANCEL_SUFFIX) {
        Some(job) => job.parse().ok().map(JobsKey::Cancel),
        None => key.parse().ok().map(JobsKey::Job),
    }
}

/// The cancellation of a job. Earlier versions wrote a single byte, which
/// isn't decoded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct CancelRecord {
    /// When it was requested, by the clock of the instance that wrote it.
    pub requested_unix_ms: u64,
    /// Distinguishes the request from others for the same job.
    pub request: u64,
}

/// The row that orders the owner's writes to a lane.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct HeadRecord {
    /// The owner's term.
    pub term: u64,
    /// The number of the latest write within the term.
    pub sequence: u64,
}

/// The learnt speeds of some of the machines.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct SpeedsRecord {
    /// The term of the owner that wrote them.
    pub term: u64,
    /// The speeds.
    pub speeds: Vec<MachineSpeed>,
}

/// Returns how many bytes a row of this value takes in a transaction, at most:
/// its value in Base64, and its name in the write and in a condition.
pub fn row_bytes(value: &[u8]) -> usize {
    value.len().div_ceil(3) * 4 + ROW_OVERHEAD_BYTES
}

/// The fields of a step that versions of this system have appended. They
/// follow the record of a job, since a step lies inside of the record and
/// cannot be extended there.
#[derive(serde::Deserialize, serde::Serialize)]
struct AppendedToStep {
    /// The index of the step.
    step: u32,
    image: String,
    target_ms: u64,
}

/// Encodes the record of an accepted job. Without any appended field the
/// encoding is that of earlier versions; these ignore what follows it.
pub fn encode_job(record: &JobRecord) -> Vec<u8> {
    let mut bytes = encode(record);
    let steps = record.spec.steps.iter().enumerate();
    let appended: Vec<AppendedToStep> = steps
        .filter(|(_, step)| !step.image.is_empty() || step.target_ms != 0)
        .map(|(number, step)| AppendedToStep {
            step: number as u32,
            image: step.image.clone(),
            target_ms: step.target_ms,
        })
        .collect();
    if !appended.is_empty() {
        bytes.extend(encode(&appended));
    }
    bytes
}

/// Decodes the record of an accepted job; `None` if it is invalid.
pub fn decode_job(bytes: &[u8]) -> Option<JobRecord> {
    let (mut record, rest): (JobRecord, &[u8]) =
        postcard::take_from_bytes(bytes).ok()?;
    if rest.is_empty() {
        return Some(record);
    }
    let appended: Vec<AppendedToStep> = decode(rest)?;
    for of_step in appended {
        let step = record.spec.steps.get_mut(of_step.step as usize)?;
        step.image = of_step.image;
        step.target_ms = of_step.target_ms;
    }
    Some(record)
}

/// Encodes a value for the store or the link with postcard.
pub fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    // Encoding the types of this system cannot fail.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes a value of the store or the link; `None` if it is invalid.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// Decodes a value to which the current version has appended fields. Where
/// they are missing, `defaults` takes their place: their encoding.
pub fn decode_extended<T: serde::de::DeserializeOwned>(
    bytes: &[u8],
    defaults: &[u8],
) -> Option<T> {
    decode(bytes).or_else(|| decode(&[bytes, defaults].concat()))
}
