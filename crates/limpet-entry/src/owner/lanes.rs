//! The lanes of progress: which of them are being written, and when another
//! one comes into use.
//!
//! A calm store answers before a second transaction would help, and each call
//! has a cost, so one lane is enough for it. While the store is slow, changes
//! don't wait for its answer to earlier ones but go to further lanes.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use limpet_core::TimeMs;
use limpet_workflow::JobKey;

use crate::rows::{LANES, Lane};

/// A further lane comes into use when the latest write to another has been
/// pending for this long. A calm store answers in a third of it, and an urgent
/// job has some ten times as long.
pub const NEXT_LANE_MS: u64 = 20;

/// The state of all lanes of an owner.
#[derive(Debug, Default)]
pub struct Lanes {
    lanes: [LaneState; LANES as usize],
    /// The jobs that are being written, with the number of writes of each.
    in_flight: RefCell<HashMap<JobKey, u32>>,
    /// When a write was last answered.
    answered_at: Cell<TimeMs>,
    /// Whether the store refused the latest write that it has decided on.
    refused: Cell<bool>,
}

#[derive(Debug, Default)]
struct LaneState {
    /// The version of the head row.
    head_version: Cell<u64>,
    /// The number of the latest write in this term.
    sequence: Cell<u64>,
    /// When the pending write was first sent; `None` if none is pending.
    began_at: Cell<Option<TimeMs>>,
}

impl Lanes {
    fn state(&self, lane: Lane) -> &LaneState {
        &self.lanes[usize::from(lane.0)]
    }

    /// Returns the version of a lane's head row.
    pub fn head_version(&self, lane: Lane) -> u64 {
        self.state(lane).head_version.get()
    }

    /// Records the version of a lane's head row.
    pub fn set_head_version(&self, lane: Lane, version: u64) {
        self.state(lane).head_version.set(version);
    }

    /// Returns the number of the next write to a lane.
    pub fn next_sequence(&self, lane: Lane) -> u64 {
        self.state(lane).sequence.get() + 1
    }

    /// Returns whether no write to a lane is pending.
    pub fn is_free(&self, lane: Lane) -> bool {
        self.state(lane).began_at.get().is_none()
    }

    /// Returns whether a write is pending.
    pub fn is_writing(&self) -> bool {
        Lane::all().any(|lane| !self.is_free(lane))
    }

    /// Records whether the store refused a write.
    pub fn record_refusal(&self, refused: bool) {
        self.refused.set(refused);
    }

    /// Returns whether no further lane may come into use: a store that refuses
    /// a write refuses others too, and each try has a cost.
    fn is_refused(&self) -> bool {
        self.refused.get() && self.is_writing()
    }

    /// Returns the lane of the next write, of those for which `may_use` returns
    /// true; `None` if there is none, or while the store refuses writes.
    pub fn next(&self, may_use: impl Fn(Lane) -> bool) -> Option<Lane> {
        if self.is_refused() {
            return None;
        }
        Lane::all().find(|lane| self.is_free(*lane) && may_use(*lane))
    }

    /// Returns how long a further write has to wait, since the store may
    /// answer the pending ones by then.
    pub fn pause_ms(&self, now: TimeMs) -> u64 {
        let latest =
            self.lanes.iter().filter_map(|lane| lane.began_at.get()).max();
        latest.map_or(0, |at| NEXT_LANE_MS.saturating_sub(now.ms_since(at)))
    }

    /// Returns whether writes are pending and none has been answered for
    /// `limit_ms`.
    pub fn is_stuck(&self, now: TimeMs, limit_ms: u64) -> bool {
        let oldest =
            self.lanes.iter().filter_map(|lane| lane.began_at.get()).min();
        oldest.is_some_and(|began_at| {
            let since = began_at.max(self.answered_at.get());
            now.ms_since(since) >= limit_ms
        })
    }

    /// Returns whether a write of a job is pending.
    pub fn is_in_flight(&self, job: JobKey) -> bool {
        self.in_flight.borrow().contains_key(&job)
    }

    /// Records that a write of these jobs begins.
    pub fn begin(
        &self,
        lane: Lane,
        jobs: impl Iterator<Item = JobKey>,
        now: TimeMs,
    ) {
        let state = self.state(lane);
        state.sequence.set(state.sequence.get() + 1);
        state.began_at.set(Some(now));
        let mut in_flight = self.in_flight.borrow_mut();
        for job in jobs {
            *in_flight.entry(job).or_default() += 1;
        }
    }

    /// Records that a write of these jobs has ended. A write that the store
    /// rejected leaves its number to the next one.
    pub fn finish(
        &self,
        lane: Lane,
        jobs: impl Iterator<Item = JobKey>,
        was_applied: bool,
        now: TimeMs,
    ) {
        let state = self.state(lane);
        if !was_applied {
            state.sequence.set(state.sequence.get() - 1);
        }
        state.began_at.set(None);
        self.answered_at.set(now);
        let mut in_flight = self.in_flight.borrow_mut();
        for job in jobs {
            if let Some(count) = in_flight.get_mut(&job) {
                *count -= 1;
                if *count == 0 {
                    in_flight.remove(&job);
                }
            }
        }
    }
}
