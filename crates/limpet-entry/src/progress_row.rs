//! The rows of the progress of jobs, and how they are encoded.
//!
//! The plain encoding spells out each task, and is the one of earlier versions.
//! Where it can't express the progress, or would be long, the row has the
//! compact encoding, which begins with a byte that no plain row begins with.
//! It names each life of a worker once, and writes equal tasks in a row as one
//! group.

use std::collections::BTreeMap;

use limpet_workflow::{
    ClaimProgress, JobPhase, JobProgress, StepProgress, TaskCrashes,
    TaskProgress,
};

use crate::rows::{decode, decode_extended, encode};

/// The first byte of a row in the compact encoding. A plain row begins with a
/// [`JobPhase`], of which there are fewer.
const COMPACT_MARK: u8 = 0x40;
/// Longer rows have the compact encoding. The store takes 65,536 bytes.
const MAX_PLAIN_BYTES: usize = 49_152;
/// Longer compact rows leave out the checkpoints of runs in progress, which
/// the workers report again.
const MAX_COMPACT_BYTES: usize = 60_000;

/// Orders the rows of a job's progress: the greatest is the newest.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ProgressStamp {
    /// The version of the job's row, which tells one submission from a later
    /// one of the same job; 0 in rows of versions without stamps.
    pub submission: u64,
    /// The term of the owner that wrote the row.
    pub term: u64,
    /// The version of the job's state within the term.
    pub version: u64,
}

/// A row of a job's progress.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgressRecord {
    /// The progress.
    pub progress: JobProgress,
    /// What orders the row among those of the job.
    pub stamp: ProgressStamp,
}

/// The plain encoding: all occurrences from the first on, up to the last that
/// has begun.
#[derive(serde::Deserialize, serde::Serialize)]
struct PlainRecord {
    phase: JobPhase,
    occurrences: Vec<Vec<PlainStep>>,
    crashes: Vec<TaskCrashes>,
    stamp: ProgressStamp,
}

/// A step in the plain encoding.
#[derive(serde::Deserialize, serde::Serialize)]
struct PlainStep {
    gang_failures: u32,
    /// The tasks; empty if all of them are done.
    tasks: Vec<TaskProgress>,
}

/// The compact encoding.
#[derive(serde::Deserialize, serde::Serialize)]
struct CompactRecord {
    phase: JobPhase,
    next_occurrence: u32,
    /// The lives of workers that claims name.
    lives: Vec<ClaimProgress>,
    occurrences: Vec<CompactOccurrence>,
    crashes: Vec<TaskCrashes>,
    stamp: ProgressStamp,
}

/// An occurrence in the compact encoding.
#[derive(serde::Deserialize, serde::Serialize)]
struct CompactOccurrence {
    number: u32,
    steps: Vec<CompactStep>,
}

/// A step in the compact encoding.
#[derive(serde::Deserialize, serde::Serialize)]
struct CompactStep {
    gang_failures: u32,
    done: u32,
    groups: Vec<TaskGroup>,
}

/// Consecutive equal tasks.
#[derive(serde::Deserialize, serde::Serialize)]
struct TaskGroup {
    count: u32,
    task: CompactTask,
}

/// A task in the compact encoding.
#[derive(Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct CompactTask {
    done: bool,
    run: u32,
    failures: u32,
    checkpoint: String,
    /// The index of the worker's life.
    life: Option<u32>,
}

/// The defaults of the fields that versions of this system have appended to
/// the progress of a job: no crashes, and a stamp of zeros.
const APPENDED_TO_PROGRESS: [u8; 4] = [0; 4];
/// The defaults of a stamp.
const APPENDED_STAMP: [u8; 3] = [0; 3];

/// Encodes the progress of a job.
pub fn encode_progress(record: &ProgressRecord) -> Vec<u8> {
    if let Some(plain) = PlainRecord::of(record) {
        let bytes = encode(&plain);
        if bytes.len() <= MAX_PLAIN_BYTES {
            return bytes;
        }
    }
    let bytes = encode_compact(record, true);
    match bytes.len() <= MAX_COMPACT_BYTES {
        true => bytes,
        false => encode_compact(record, false),
    }
}

fn encode_compact(record: &ProgressRecord, with_checkpoints: bool) -> Vec<u8> {
    let compact = CompactRecord::of(record, with_checkpoints);
    let mut bytes = vec![COMPACT_MARK];
    bytes.extend(encode(&compact));
    bytes
}

/// Decodes the progress of a job; `None` if it is invalid.
pub fn decode_progress(bytes: &[u8]) -> Option<ProgressRecord> {
    if let Some((&COMPACT_MARK, rest)) = bytes.split_first() {
        return decode::<CompactRecord>(rest)?.into_record();
    }
    let plain: PlainRecord = decode_extended(bytes, &APPENDED_STAMP)
        .or_else(|| decode_extended(bytes, &APPENDED_TO_PROGRESS))?;
    Some(plain.into_record())
}

impl PlainRecord {
    /// Returns the record in the plain form; `None` if an occurrence is done
    /// before a later one, or if tasks of a step are not open.
    fn of(record: &ProgressRecord) -> Option<PlainRecord> {
        let progress = &record.progress;
        let numbers = progress.occurrences.keys().copied();
        if !numbers.eq(0..progress.next_occurrence) {
            return None;
        }
        let plain_steps = |steps: &Vec<StepProgress>| {
            steps.iter().map(PlainStep::of).collect::<Option<Vec<_>>>()
        };
        let occurrences = progress.occurrences.values().map(plain_steps);
        Some(PlainRecord {
            phase: progress.phase,
            occurrences: occurrences.collect::<Option<_>>()?,
            crashes: progress.crashes.clone(),
            stamp: record.stamp,
        })
    }

    /// Returns the record. Occurrences that are done are left out, and the
    /// last ones as far as nothing has run in them: earlier versions stored
    /// all.
    fn into_record(self) -> ProgressRecord {
        let last = self
            .occurrences
            .iter()
            .rposition(|steps| steps.iter().any(|step| !step.is_untouched()));
        let next_occurrence = last.map_or(0, |last| last as u32 + 1);
        let steps = |steps: Vec<PlainStep>| {
            steps.into_iter().map(PlainStep::into_progress).collect()
        };
        let occurrences = (0..next_occurrence)
            .zip(self.occurrences)
            .filter(|(_, steps)| steps.iter().any(|step| !step.is_done()))
            .map(|(number, plain)| (number, steps(plain)))
            .collect();
        let progress = JobProgress {
            phase: self.phase,
            next_occurrence,
            occurrences,
            crashes: self.crashes,
        };
        ProgressRecord { progress, stamp: self.stamp }
    }
}

impl PlainStep {
    /// Returns the step in the plain form; `None` if it has none.
    fn of(step: &StepProgress) -> Option<PlainStep> {
        let gang_failures = step.gang_failures;
        let tasks = match step.done {
            u32::MAX => Vec::new(),
            // No tasks would mean that all are done.
            0 if !step.tasks.is_empty() => step.tasks.clone(),
            _ => return None,
        };
        Some(PlainStep { gang_failures, tasks })
    }

    fn is_done(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns whether no task has ever run.
    fn is_untouched(&self) -> bool {
        let untouched = TaskProgress::default();
        !self.is_done()
            && self.gang_failures == 0
            && self.tasks.iter().all(|task| *task == untouched)
    }

    fn into_progress(self) -> StepProgress {
        StepProgress {
            gang_failures: self.gang_failures,
            done: if self.is_done() { u32::MAX } else { 0 },
            tasks: self.tasks,
        }
    }
}

impl CompactRecord {
    fn of(record: &ProgressRecord, with_checkpoints: bool) -> CompactRecord {
        let progress = &record.progress;
        let mut lives = Lives { known: BTreeMap::new(), with_checkpoints };
        let occurrences = progress
            .occurrences
            .iter()
            .map(|(number, steps)| CompactOccurrence {
                number: *number,
                steps: steps.iter().map(|step| lives.compact(step)).collect(),
            })
            .collect();
        CompactRecord {
            phase: progress.phase,
            next_occurrence: progress.next_occurrence,
            lives: lives.into_list(),
            occurrences,
            crashes: progress.crashes.clone(),
            stamp: record.stamp,
        }
    }

    /// Returns the record; `None` if a claim names no life.
    fn into_record(self) -> Option<ProgressRecord> {
        let lives = &self.lives;
        let occurrences = self
            .occurrences
            .into_iter()
            .map(|occurrence| {
                let steps = occurrence.steps.into_iter();
                let steps = steps.map(|step| step.into_progress(lives));
                Some((occurrence.number, steps.collect::<Option<_>>()?))
            })
            .collect::<Option<_>>()?;
        let progress = JobProgress {
            phase: self.phase,
            next_occurrence: self.next_occurrence,
            occurrences,
            crashes: self.crashes,
        };
        Some(ProgressRecord { progress, stamp: self.stamp })
    }
}

impl CompactStep {
    fn into_progress(self, lives: &[ClaimProgress]) -> Option<StepProgress> {
        let mut tasks = Vec::new();
        for TaskGroup { count, task } in self.groups {
            let claim = match task.life {
                Some(index) => Some(lives.get(index as usize)?.clone()),
                None => None,
            };
            let task = TaskProgress {
                done: task.done,
                run: task.run,
                failures: task.failures,
                checkpoint: task.checkpoint,
                claim,
            };
            tasks.extend((0..count).map(|_| task.clone()));
        }
        let (gang_failures, done) = (self.gang_failures, self.done);
        Some(StepProgress { gang_failures, done, tasks })
    }
}

/// The lives of workers that a row names, by worker and incarnation.
struct Lives<'a> {
    known: BTreeMap<(&'a str, u64), u32>,
    /// Whether the checkpoints of runs in progress are kept.
    with_checkpoints: bool,
}

impl<'a> Lives<'a> {
    fn compact(&mut self, step: &'a StepProgress) -> CompactStep {
        let mut groups: Vec<TaskGroup> = Vec::new();
        for task in &step.tasks {
            let task = self.compact_task(task);
            match groups.last_mut() {
                Some(group) if group.task == task => group.count += 1,
                _ => groups.push(TaskGroup { count: 1, task }),
            }
        }
        let (gang_failures, done) = (step.gang_failures, step.done);
        CompactStep { gang_failures, done, groups }
    }

    fn compact_task(&mut self, task: &'a TaskProgress) -> CompactTask {
        let life = task.claim.as_ref().map(|claim| self.index(claim));
        let keeps_checkpoint =
            !task.done && (self.with_checkpoints || life.is_none());
        let checkpoint = match keeps_checkpoint {
            true => task.checkpoint.clone(),
            false => String::new(),
        };
        // What a task that is done has done before matters no more.
        let (run, failures) = match task.done {
            true if life.is_none() => (0, 0),
            _ => (task.run, task.failures),
        };
        CompactTask { done: task.done, run, failures, checkpoint, life }
    }

    /// Returns the index of the life that a claim names.
    fn index(&mut self, claim: &'a ClaimProgress) -> u32 {
        let next = self.known.len() as u32;
        let life = (claim.worker.as_str(), claim.incarnation);
        *self.known.entry(life).or_insert(next)
    }

    /// Returns the lives by index.
    fn into_list(self) -> Vec<ClaimProgress> {
        let mut lives: Vec<(u32, ClaimProgress)> = self
            .known
            .into_iter()
            .map(|((worker, incarnation), index)| {
                let worker = worker.to_owned();
                (index, ClaimProgress { worker, incarnation })
            })
            .collect();
        lives.sort_by_key(|(index, _)| *index);
        lives.into_iter().map(|(_, life)| life).collect()
    }
}
