//! The instances that may succeed the owner, as their pulls show them.

use std::{cell::RefCell, collections::BTreeMap};

use limpet_core::TimeMs;

/// An instance that has not pulled for this long is no candidate. Covers a
/// pull and an advice request.
const PULL_TIMEOUT_MS: u64 = 2_000;
/// How long a larger instance has to be ready before the owner hands the cell
/// over to it. Also the minimum time between two handovers.
const STEADY_MS: u64 = 2_000;
/// An instance is clearly larger if it has at least this many times the
/// capacity of the owner.
const HANDOVER_RATIO: u64 = 2;

/// The instances that have pulled from the owner in this term.
#[derive(Debug, Default)]
pub struct Candidates(RefCell<BTreeMap<String, Pulls>>);

/// What an instance's pulls have shown.
#[derive(Clone, Copy, Debug)]
struct Pulls {
    /// The capacity of the instance.
    capacity_milli: u64,
    /// Since when each pull has shown the instance as ready.
    ready_since: Option<TimeMs>,
    /// The time of the latest pull.
    latest: TimeMs,
}

/// An instance that may take the cell over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The name of the instance.
    pub instance: String,
    /// The capacity of the instance.
    pub capacity_milli: u64,
}

impl Candidates {
    /// Records a pull.
    pub fn record_pull(
        &self,
        instance: &str,
        capacity_milli: u64,
        is_ready: bool,
        now: TimeMs,
    ) {
        let mut all = self.0.borrow_mut();
        let ready_before = all
            .get(instance)
            .filter(|pulls| pulls.is_recent(now))
            .and_then(|pulls| pulls.ready_since);
        let ready_since = is_ready.then(|| ready_before.unwrap_or(now));
        let pulls = Pulls { capacity_milli, ready_since, latest: now };
        all.insert(instance.to_owned(), pulls);
    }

    /// Returns the largest instance that is ready; among equals the one that
    /// pulled last.
    pub fn largest(&self, now: TimeMs) -> Option<Candidate> {
        self.best(now, |_| true)
    }

    /// Returns the largest instance that has been ready for [`STEADY_MS`], if
    /// it is clearly larger than `capacity_milli`.
    pub fn larger_than(
        &self,
        capacity_milli: u64,
        now: TimeMs,
    ) -> Option<Candidate> {
        let threshold_milli = capacity_milli * HANDOVER_RATIO;
        self.best(now, |pulls| {
            pulls.capacity_milli >= threshold_milli
                && pulls.ready_ms(now) >= STEADY_MS
        })
    }

    fn best(
        &self,
        now: TimeMs,
        is_suitable: impl Fn(&Pulls) -> bool,
    ) -> Option<Candidate> {
        let all = self.0.borrow();
        let (instance, pulls) = all
            .iter()
            .filter(|(_, pulls)| pulls.ready_since.is_some())
            .filter(|(_, pulls)| pulls.is_recent(now) && is_suitable(pulls))
            .max_by_key(|(_, pulls)| (pulls.capacity_milli, pulls.latest))?;
        Some(Candidate {
            instance: instance.clone(),
            capacity_milli: pulls.capacity_milli,
        })
    }
}

impl Pulls {
    fn is_recent(&self, now: TimeMs) -> bool {
        now.ms_since(self.latest) < PULL_TIMEOUT_MS
    }

    fn ready_ms(&self, now: TimeMs) -> u64 {
        self.ready_since.map_or(0, |since| now.ms_since(since))
    }
}
