//! Rows of accepted jobs keep their steps' appended fields, and rows of
//! earlier versions are read.

use limpet_core::Resources;
use limpet_entry::{decode_job, encode_job};
use limpet_workflow::{JobRecord, JobSpec, QueuePolicy, StepSpec};

/// A step as versions without `image` and `target_ms` stored it.
#[derive(serde::Deserialize, serde::Serialize)]
struct EarlierStep {
    count: u32,
    task: Resources,
    estimate_ms: u64,
    after: Vec<u32>,
    checkpointing: bool,
    gang: bool,
    same_rack: bool,
    required_label: Option<String>,
    data_rack: Option<String>,
    max_per_worker: u32,
    copies_allowed: bool,
    long_running: bool,
    fills: bool,
    max_away: u32,
}

/// The specification, in the field order of those versions.
#[derive(serde::Deserialize, serde::Serialize)]
struct EarlierSpec {
    payload: String,
    steps: Vec<EarlierStep>,
    repeat: Option<limpet_workflow::Repeat>,
}

#[derive(serde::Deserialize, serde::Serialize)]
struct EarlierRecord {
    queue: String,
    policy: QueuePolicy,
    team: String,
    accepted_unix_ms: u64,
    submission: u64,
    spec: EarlierSpec,
}

fn earlier_step(count: u32) -> EarlierStep {
    EarlierStep {
        count,
        task: Resources::new(1_500, 300, 1),
        estimate_ms: 700,
        after: vec![0, 1],
        checkpointing: true,
        gang: false,
        same_rack: true,
        required_label: Some("fast".to_owned()),
        data_rack: None,
        max_per_worker: 2,
        copies_allowed: false,
        long_running: true,
        fills: false,
        max_away: 3,
    }
}

fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        task: Resources::new(1_500, 300, 1),
        estimate_ms: 700,
        after: vec![0, 1],
        checkpointing: true,
        same_rack: true,
        required_label: Some("fast".to_owned()),
        max_per_worker: 2,
        long_running: true,
        max_away: 3,
        ..StepSpec::default()
    }
}

fn record(steps: Vec<StepSpec>) -> JobRecord {
    JobRecord {
        queue: "q".to_owned(),
        policy: QueuePolicy::default(),
        team: "t".to_owned(),
        accepted_unix_ms: 7,
        submission: 9,
        spec: JobSpec { payload: "p".to_owned(), steps, repeat: None },
    }
}

fn earlier_record(steps: Vec<EarlierStep>) -> EarlierRecord {
    EarlierRecord {
        queue: "q".to_owned(),
        policy: QueuePolicy::default(),
        team: "t".to_owned(),
        accepted_unix_ms: 7,
        submission: 9,
        spec: EarlierSpec { payload: "p".to_owned(), steps, repeat: None },
    }
}

/// Guards against an update after which the accepted jobs are undecodable, and
/// against rows that an instance of the earlier version can't read beside it.
#[test]
fn earlier_rows() {
    let earlier = earlier_record(vec![earlier_step(2), earlier_step(5)]);
    let bytes = postcard::to_stdvec(&earlier).expect("it can be encoded");
    let current = record(vec![step(2), step(5)]);
    assert_eq!(decode_job(&bytes), Some(current.clone()));
    assert_eq!(encode_job(&current), bytes);
    let mut with_image = current;
    with_image.spec.steps[1].image = "web".to_owned();
    let bytes = encode_job(&with_image);
    let read: EarlierRecord =
        postcard::from_bytes(&bytes).expect("earlier versions decode it");
    assert_eq!(read.spec.steps[1].count, 5);
    assert_eq!(read.submission, 9);
}

/// Guards against fields that are lost or given to another step.
#[test]
fn appended_fields() {
    let web = StepSpec { image: "web".to_owned(), target_ms: 40, ..step(1) };
    let serving = StepSpec { target_ms: 300, ..step(4) };
    let record = record(vec![step(2), web, step(3), serving]);
    assert_eq!(decode_job(&encode_job(&record)), Some(record));
}

/// Guards against invalid rows that are taken for jobs, or stop the owner.
#[test]
fn invalid_rows() {
    let web = StepSpec { image: "web".to_owned(), ..step(1) };
    let bytes = encode_job(&record(vec![web]));
    for length in 0..bytes.len() {
        let read = decode_job(&bytes[..length]);
        let plain =
            read.is_none_or(|read| read.spec.steps[0].image.is_empty());
        assert!(plain, "{length} of {} bytes", bytes.len());
    }
    let mut other_step = bytes.clone();
    let appended = bytes.len() - "web".len() - 3;
    assert_eq!(other_step[appended], 0, "the index of the step");
    other_step[appended] = 1;
    assert_eq!(decode_job(&other_step), None);
}
