//! Rows of the progress of jobs decode to what was encoded, fit in a row of
//! the store, and are read as earlier versions wrote them.

use std::collections::BTreeMap;

use limpet_entry::{
    ProgressRecord, ProgressStamp, decode_progress, encode_progress,
};
use limpet_workflow::{
    ClaimProgress, JobPhase, JobProgress, MAX_WHOLE_STEP_TASKS, StepProgress,
    TaskProgress,
};

/// What the platform's store takes, in bytes.
const ROW_BYTES: usize = 65_536;
/// The first byte of the compact encoding.
const COMPACT_MARK: u8 = 0x40;

/// The fields in the order of versions without the compact encoding.
#[derive(serde::Serialize)]
struct EarlierRecord {
    phase: JobPhase,
    occurrences: Vec<Vec<EarlierStep>>,
    crashes: Vec<limpet_workflow::TaskCrashes>,
    stamp: ProgressStamp,
}

#[derive(Clone)]
#[derive(serde::Serialize)]
struct EarlierStep {
    gang_failures: u32,
    tasks: Vec<TaskProgress>,
}

const STAMP: ProgressStamp =
    ProgressStamp { submission: 626, term: 7, version: 41 };

fn claimed(worker: usize, checkpoint: &str) -> TaskProgress {
    TaskProgress {
        done: false,
        run: 1,
        failures: 0,
        checkpoint: checkpoint.to_owned(),
        claim: Some(ClaimProgress {
            worker: format!("i-{worker:010x}"),
            incarnation: 1_787_785_801_473 + worker as u64,
        }),
    }
}

fn done() -> TaskProgress {
    TaskProgress { done: true, ..TaskProgress::default() }
}

fn step(done: u32, tasks: Vec<TaskProgress>) -> StepProgress {
    StepProgress { gang_failures: 0, done, tasks }
}

fn running(
    next_occurrence: u32,
    occurrences: impl IntoIterator<Item = (u32, Vec<StepProgress>)>,
) -> ProgressRecord {
    let progress = JobProgress {
        phase: JobPhase::Running,
        next_occurrence,
        occurrences: BTreeMap::from_iter(occurrences),
        crashes: Vec::new(),
    };
    ProgressRecord { progress, stamp: STAMP }
}

#[track_caller]
fn assert_round_trip(record: &ProgressRecord, is_compact: bool) {
    let bytes = encode_progress(record);
    assert_eq!(bytes[0] == COMPACT_MARK, is_compact);
    assert!(bytes.len() <= ROW_BYTES, "{}", bytes.len());
    assert_eq!(decode_progress(&bytes).as_ref(), Some(record));
}

fn untouched(count: usize) -> Vec<TaskProgress> {
    vec![TaskProgress::default(); count]
}

/// Guards against rows that earlier versions can't read although nothing in
/// them is new.
#[test]
fn plain_rows() {
    let steps = vec![
        step(u32::MAX, Vec::new()),
        step(0, vec![claimed(1, ""), done()]),
    ];
    assert_round_trip(&running(1, [(0, steps)]), false);
    let ended = JobProgress::ended(JobPhase::Completed);
    let ended = ProgressRecord { progress: ended, stamp: STAMP };
    assert_round_trip(&ended, false);
}

/// Guards against an occurrence that runs again since the row doesn't say that
/// an earlier one is done.
#[test]
fn later_occurrences() {
    let steps = vec![step(0, vec![claimed(1, ""), claimed(2, "ab")])];
    assert_round_trip(&running(9, [(5, steps.clone()), (8, steps)]), true);
    assert_round_trip(&running(9, []), true);
}

/// Guards against a large step whose first tasks run again.
#[test]
fn opened_steps() {
    let steps = vec![step(70_000, vec![claimed(1, ""), done(), done()])];
    assert_round_trip(&running(1, [(0, steps)]), true);
}

/// Guards against a gang of one member: a step that is not open yet is none of
/// one task.
#[test]
fn closed_steps() {
    let steps = vec![step(0, vec![claimed(1, "")]), step(0, Vec::new())];
    assert_round_trip(&running(1, [(0, steps)]), true);
}

/// Guards against a job that never starts since its progress is longer than a
/// row: 3,600 claims on 48 workers.
#[test]
fn many_claims() {
    let tasks = (0..3_600).map(|n| claimed(n % 48, "")).collect();
    assert_round_trip(&running(1, [(0, vec![step(0, tasks)])]), true);
}

/// Guards against the same with checkpoints: those of runs in progress, which
/// their workers report again, are left out where there are too many.
#[test]
fn many_checkpoints() {
    let members = MAX_WHOLE_STEP_TASKS as usize;
    let saved = |n: usize| claimed(n % 540, &format!("{n:016x}"));
    let mut tasks: Vec<TaskProgress> = (0..members).map(saved).collect();
    tasks[0].claim = None;
    let record = running(1, [(0, vec![step(0, tasks)])]);
    let bytes = encode_progress(&record);
    assert!(bytes.len() <= ROW_BYTES, "{}", bytes.len());
    let read = decode_progress(&bytes).expect("a row").progress;
    let tasks = &read.occurrences[&0][0].tasks;
    assert_eq!(tasks.len(), members);
    assert_eq!(tasks[0].checkpoint, format!("{:016x}", 0));
    assert!(tasks[1..].iter().all(|task| task.checkpoint.is_empty()));
    assert!(tasks[1..].iter().all(|task| task.claim.is_some()));
}

fn earlier(occurrences: Vec<Vec<EarlierStep>>) -> Vec<u8> {
    let record = EarlierRecord {
        phase: JobPhase::Running,
        occurrences,
        crashes: Vec::new(),
        stamp: STAMP,
    };
    postcard::to_stdvec(&record).expect("it can be encoded")
}

/// Guards against occurrences of a stored schedule that run again, or never:
/// earlier versions wrote all occurrences.
#[test]
fn earlier_schedules() {
    let of = |tasks| vec![EarlierStep { gang_failures: 0, tasks }];
    let bytes = earlier(vec![
        of(Vec::new()),
        of(vec![claimed(1, ""), done()]),
        of(Vec::new()),
        of(untouched(2)),
        of(untouched(2)),
    ]);
    let read = decode_progress(&bytes).expect("a row");
    let steps = vec![step(0, vec![claimed(1, ""), done()])];
    assert_eq!(read, running(3, [(1, steps)]));
}

/// Guards against a job without a schedule that earlier versions stored before
/// anything of it had started.
#[test]
fn earlier_untouched() {
    let steps = vec![EarlierStep { gang_failures: 0, tasks: untouched(3) }];
    let read = decode_progress(&earlier(vec![steps])).expect("a row");
    assert_eq!(read, running(0, []));
}

/// Guards against an instance that ends on a row that nobody has written.
#[test]
fn invalid_rows() {
    let steps = vec![step(0, vec![claimed(1, ""), done()])];
    let bytes = encode_progress(&running(9, [(5, steps)]));
    for length in 0..bytes.len() {
        assert_eq!(decode_progress(&bytes[..length]), None, "{length}");
    }
}
