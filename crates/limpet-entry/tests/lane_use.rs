//! Which lanes of progress are in use: one while the store is calm, more while
//! it is slow, one again while it refuses writes.

use limpet_core::TimeMs;
use limpet_entry::{LANES, Lane, Lanes, NEXT_LANE_MS};
use limpet_workflow::JobKey;

fn begin(lanes: &Lanes, job: u64, at_ms: u64) -> Lane {
    let lane = lanes.next(|_| true).expect("a lane");
    let jobs = std::iter::once(JobKey(job));
    lanes.begin(lane, jobs, TimeMs::from_ms(at_ms));
    lane
}

/// Guards against more calls of a calm store: changes wait for its answer.
#[test]
fn calm_store() {
    let lanes = Lanes::default();
    for number in 0..100 {
        let now_ms = number * 40;
        assert_eq!(lanes.pause_ms(TimeMs::from_ms(now_ms)), 0);
        assert_eq!(begin(&lanes, number, now_ms), Lane(0));
        let answered_at = TimeMs::from_ms(now_ms + 8);
        assert!(lanes.pause_ms(answered_at) > 0, "a second write begins");
        let jobs = std::iter::once(JobKey(number));
        lanes.finish(Lane(0), jobs, true, answered_at);
    }
}

/// A store that takes 400 ms for a write: guards against changes that wait for
/// its answer to earlier ones.
#[test]
fn slow_store() {
    let lanes = Lanes::default();
    let mut now_ms = 1_000;
    for number in 0..u64::from(LANES) {
        now_ms += lanes.pause_ms(TimeMs::from_ms(now_ms));
        begin(&lanes, number, now_ms);
    }
    assert_eq!(now_ms, 1_000 + u64::from(LANES - 1) * NEXT_LANE_MS);
    assert_eq!(lanes.next(|_| true), None);
    assert!(!lanes.is_stuck(TimeMs::from_ms(now_ms), 400));
    let answered_at = TimeMs::from_ms(1_400);
    lanes.finish(Lane(0), std::iter::once(JobKey(0)), true, answered_at);
    assert_eq!(lanes.next(|_| true), Some(Lane(0)));
    // The other writes are older than the limit, but the store answers.
    assert!(!lanes.is_stuck(TimeMs::from_ms(1_600), 400));
    assert!(lanes.is_stuck(TimeMs::from_ms(1_801), 400));
}

/// A store that refuses all writes: guards against tries in every lane, each
/// of which has a cost.
#[test]
fn refusing_store() {
    let lanes = Lanes::default();
    begin(&lanes, 1, 1_000);
    lanes.record_refusal(true);
    assert_eq!(lanes.next(|_| true), None);
    lanes.record_refusal(false);
    assert_eq!(lanes.next(|_| true), Some(Lane(1)));
}
