//! Cancellations that no job has followed: how long they are kept, and how
//! many.

use limpet_core::TimeMs;
use limpet_entry::EarlyCancels;
use limpet_workflow::JobKey;

const JOB: JobKey = JobKey(1);
const KEPT_MS: u64 = 120_000;
const MIN_KEPT_MS: u64 = 30_000;
const MAX_KEPT: usize = 10_000;
const START: TimeMs = TimeMs::from_ms(1_000_000);

/// Guards against a cancellation that has no effect on its job, and against
/// one that has an effect on a later job as well.
#[test]
fn taken_once() {
    let mut cancels = EarlyCancels::new(KEPT_MS);
    cancels.record(JOB, 7, 0, START);
    assert!(cancels.take(JOB));
    assert!(!cancels.take(JOB));
    assert!(cancels.is_empty());
}

/// Guards against a cancellation that a late change of the feed takes back
/// after it was requested again.
#[test]
fn older_removal() {
    let mut cancels = EarlyCancels::new(KEPT_MS);
    cancels.record(JOB, 9, 0, START);
    cancels.record(JOB, 7, 0, START);
    cancels.forget(JOB, 8);
    assert_eq!(cancels.expired(START.plus_ms(KEPT_MS)), [(JOB, 9)]);
    cancels.forget(JOB, 10);
    assert!(cancels.is_empty());
}

/// Guards against rows that stay for good, and against ones that are removed
/// while a submission may still be on its way.
#[test]
fn kept_for_retention() {
    let mut cancels = EarlyCancels::new(KEPT_MS);
    cancels.record(JOB, 7, 0, START);
    assert_eq!(cancels.expired(START.plus_ms(KEPT_MS - 1)), []);
    assert_eq!(cancels.expired(START.plus_ms(KEPT_MS)), [(JOB, 7)]);
    cancels.renew(JOB, START.plus_ms(KEPT_MS));
    assert_eq!(cancels.expired(START.plus_ms(2 * KEPT_MS - 1)), []);
}

/// Guards against rows that stay for as long as owners change, and against a
/// clock that is wrong by days.
#[test]
fn age_is_inherited() {
    for (age_ms, left_ms) in [
        (50_000, KEPT_MS - 50_000),
        (110_000, MIN_KEPT_MS),
        (u64::MAX, MIN_KEPT_MS),
    ] {
        let mut cancels = EarlyCancels::new(KEPT_MS);
        cancels.record(JOB, 7, age_ms, START);
        assert_eq!(cancels.expired(START.plus_ms(left_ms - 1)), []);
        assert_eq!(cancels.expired(START.plus_ms(left_ms)), [(JOB, 7)]);
    }
}

/// Guards against an owner whose memory, and a store whose rows, grow with the
/// cancellations of jobs that never existed; and against one that drops the
/// latest of them.
#[test]
fn bounded_flood() {
    let mut cancels = EarlyCancels::new(KEPT_MS);
    let mut now = START;
    let mut most = 0;
    // 600 a second, which is what the store of the users' sites writes.
    for second in 0..240u64 {
        for number in 0..600 {
            let job = JobKey(second * 600 + number);
            cancels.record(job, 1 + second, 0, now);
        }
        now = now.plus_ms(1_000);
        for (job, version) in cancels.expired(now) {
            let age_s = second + 1 - job.0 / 600;
            assert!(age_s * 1_000 >= MIN_KEPT_MS, "{age_s} s");
            cancels.forget(job, version);
        }
        most = most.max(cancels.len());
    }
    assert!(most > MAX_KEPT, "{most}");
    assert!(most as u64 <= 600 * (MIN_KEPT_MS / 1_000 + 1), "{most}");
    for (job, version) in cancels.expired(now.plus_ms(KEPT_MS)) {
        cancels.forget(job, version);
    }
    assert!(cancels.is_empty());
}
