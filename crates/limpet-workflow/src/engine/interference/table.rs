//! The table of pairs of images, and what else is learnt from paces.

use std::collections::VecDeque;

use limpet_core::TimeMs;
use rustc_hash::{FxHashMap, FxHashSet};

use super::{
    InterferingPair,
    level::Level,
    pair::{EVIDENCE_KEPT_MS, Pair, Source, Verdict},
};
use crate::{
    effect::{Effect, PairDropped},
    key::{JobKey, TaskKey},
    worker::WorkerSlot,
};

/// The number of pairs that are kept. Each takes up to 2.5 KB.
const MAX_PAIRS: usize = 512;
/// The minimum time between two searches of a full table for pairs to evict.
const EVICTION_PERIOD_MS: u64 = 1_000;
/// A full table evicts pairs that were not seen for this long.
const UNSEEN_MS: u64 = 120_000;
/// How long departed tasks are remembered. Longer than the time between two
/// reports from which a pace is measured, but for runs of several minutes.
const DEPARTED_KEPT_MS: u64 = 15_000;
/// The departed tasks that are remembered of one worker.
const MAX_DEPARTED: usize = 64;
/// The time between two searches for old pairs.
const EXPIRY_PERIOD_MS: u64 = 1_000;

/// A task beside a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Neighbour<'a> {
    pub(super) image: &'a str,
    pub(super) job: JobKey,
}

/// The pace of a run between two reports, and the tasks beside it.
#[derive(Debug)]
pub(super) struct Window<'a> {
    pub(super) worker: WorkerSlot,
    pub(super) job: JobKey,
    pub(super) image: &'a str,
    pub(super) source: Source,
    /// The logarithm of the pace relative to its step elsewhere.
    pub(super) pace: f64,
    /// The tasks that were beside it all the time, one of each image.
    pub(super) beside: Vec<Neighbour<'a>>,
    /// The images of all tasks that were beside it at any time.
    pub(super) overlapping: Vec<String>,
}

/// A pair that was found interfering, or is no longer.
#[derive(Debug)]
pub(super) enum PairChange {
    Detected(InterferingPair),
    Dropped(InterferingPair, PairDropped),
}

impl From<PairChange> for Effect {
    fn from(change: PairChange) -> Effect {
        match change {
            PairChange::Detected(pair) => Effect::InterferenceDetected(pair),
            PairChange::Dropped(pair, reason) => {
                Effect::InterferenceDropped { pair, reason }
            }
        }
    }
}

/// What is known of interference between images.
#[derive(Debug, Default)]
pub(crate) struct Interference {
    /// The pairs, by the image that may be slowed and the other one.
    pairs: FxHashMap<Box<str>, FxHashMap<Box<str>, Pair>>,
    /// The number of pairs.
    len: usize,
    /// The images that each image is kept apart from.
    apart: FxHashMap<Box<str>, FxHashSet<Box<str>>>,
    /// The usual pace on each worker.
    workers: FxHashMap<WorkerSlot, Level>,
    /// The usual pace of each serving task.
    runs: FxHashMap<TaskKey, Level>,
    /// The images of tasks that have left each worker, oldest first.
    departed: FxHashMap<WorkerSlot, VecDeque<(TimeMs, Box<str>)>>,
    /// The latest time that is known.
    now: TimeMs,
    /// When old pairs were last searched for.
    expired_at: TimeMs,
    /// When pairs to evict were last searched for.
    evicted_at: TimeMs,
    /// The starts that were kept apart.
    pub(crate) starts_kept_apart: u64,
}

impl Interference {
    /// Returns the number of pairs of which something is known.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of interfering pairs.
    pub(crate) fn interfering_count(&self) -> usize {
        self.all().filter(|(_, _, pair)| pair.is_interfering()).count()
    }

    /// Returns the images that tasks of an image are kept apart from.
    pub(super) fn images_to_avoid(
        &self,
        image: &str,
    ) -> Option<&FxHashSet<Box<str>>> {
        self.apart.get(image)
    }

    pub(super) fn interfering_pairs(&self) -> Vec<InterferingPair> {
        let mut pairs: Vec<InterferingPair> = self
            .all()
            .filter(|(_, _, pair)| pair.is_interfering())
            .map(|(slowed, by, pair)| described(slowed, by, pair))
            .collect();
        pairs.sort_by(|a, b| (&a.slowed, &a.by).cmp(&(&b.slowed, &b.by)));
        pairs
    }

    fn all(&self) -> impl Iterator<Item = (&str, &str, &Pair)> {
        self.pairs.iter().flat_map(|(slowed, others)| {
            let named = move |(by, pair)| (&**slowed, by, pair);
            others.iter().map(|(by, pair)| (&**by, pair)).map(named)
        })
    }

    /// Returns the logarithm of a worker's usual pace.
    pub(super) fn worker_speed(&self, worker: WorkerSlot) -> f64 {
        self.workers.get(&worker).map_or(0.0, |level| level.mean)
    }

    /// Forgets the speed of a worker that has a new life.
    pub(crate) fn forget_worker(&mut self, worker: WorkerSlot) {
        self.workers.remove(&worker);
    }

    /// Records that a task has left its worker, and forgets its latency.
    pub(super) fn record_departure(
        &mut self,
        worker: WorkerSlot,
        key: TaskKey,
        image: &str,
    ) {
        self.runs.remove(&key);
        if image.is_empty() {
            return;
        }
        let now = self.now;
        let departed = self.departed.entry(worker).or_default();
        departed.push_back((now, image.into()));
        while departed.len() > MAX_DEPARTED
            || departed
                .front()
                .is_some_and(|(at, _)| now.ms_since(*at) > DEPARTED_KEPT_MS)
        {
            departed.pop_front();
        }
    }

    /// Returns the images of the tasks that have left a worker since a time.
    pub(super) fn departed_since(
        &self,
        worker: WorkerSlot,
        since: TimeMs,
    ) -> Vec<String> {
        let mut images: Vec<String> = Vec::new();
        let departed = self.departed.get(&worker).into_iter().flatten();
        for (_, image) in departed.rev().take_while(|(at, _)| *at >= since) {
            if !images.iter().any(|known| **known == **image) {
                images.push(image.to_string());
            }
        }
        images
    }

    /// Learns from the pace of a run. Returns the pairs whose state has
    /// changed.
    ///
    /// A pace beside an image that looks like a cause says nothing about the
    /// other images beside it, nor about the worker.
    pub(super) fn record(
        &mut self,
        window: &Window<'_>,
        now: TimeMs,
    ) -> Vec<PairChange> {
        self.now = self.now.max(now);
        let cause = self.likely_cause(window).map(str::to_owned);
        let level = match window.source {
            Source::Worker(worker) => self.workers.entry(worker).or_default(),
            Source::Run(key) => self.runs.entry(key).or_default(),
        };
        let value = level.difference(window.pace);
        if cause.is_none() {
            level.add(window.pace);
        }
        let Some(value) = value else { return Vec::new() };
        if cause.is_none()
            && let Some(others) = self.pairs.get_mut(window.image)
        {
            for (image, pair) in others {
                if !window.overlapping.iter().any(|known| **known == **image) {
                    pair.add_without(value);
                }
            }
        }
        let mut changes = Vec::new();
        for neighbour in &window.beside {
            let is_explained =
                cause.as_ref().is_some_and(|cause| cause != neighbour.image);
            if !is_explained {
                changes.extend(
                    self.record_beside(window, *neighbour, value, now),
                );
            }
        }
        if !changes.is_empty() {
            self.update_apart();
        }
        changes
    }

    fn record_beside(
        &mut self,
        window: &Window<'_>,
        neighbour: Neighbour<'_>,
        value: f64,
        now: TimeMs,
    ) -> Option<PairChange> {
        let (slowed, by) = (window.image, neighbour.image);
        let is_known = self
            .pairs
            .get(slowed)
            .is_some_and(|others| others.contains_key(by));
        if !is_known {
            if !self.has_space(now) {
                return None;
            }
            let others = self.pairs.entry(slowed.into()).or_default();
            others.insert(by.into(), Pair::default());
            self.len += 1;
        }
        let pair = self.pairs.get_mut(slowed)?.get_mut(by)?;
        let before = described(slowed, by, pair);
        let (worker, job) = (window.worker, window.job);
        match pair.add_beside(worker, job, neighbour.job, value, now) {
            Verdict::Unchanged => None,
            Verdict::Detected => {
                Some(PairChange::Detected(described(slowed, by, pair)))
            }
            Verdict::Restored => {
                Some(PairChange::Dropped(before, PairDropped::Restored))
            }
        }
    }

    /// Returns the image beside a run that appears to slow it most, if any
    /// does.
    fn likely_cause<'a>(&self, window: &'a Window<'_>) -> Option<&'a str> {
        let others = self.pairs.get(window.image)?;
        window
            .overlapping
            .iter()
            .filter_map(|image| Some((image, others.get(image.as_str())?)))
            .filter(|(_, pair)| pair.looks_slow())
            .min_by(|(_, a), (_, b)| a.pace().total_cmp(&b.pace()))
            .map(|(image, _)| image.as_str())
    }

    /// Drops the pairs that were not seen for [`EVIDENCE_KEPT_MS`]. Returns
    /// those of them that were interfering.
    pub(super) fn expire(&mut self, now: TimeMs) -> Vec<PairChange> {
        self.now = self.now.max(now);
        if now.ms_since(self.expired_at) < EXPIRY_PERIOD_MS {
            return Vec::new();
        }
        self.expired_at = now;
        let is_old =
            |pair: &Pair| now.ms_since(pair.seen_at) >= EVIDENCE_KEPT_MS;
        let dropped = self.remove_pairs(is_old);
        if !dropped.is_empty() {
            self.update_apart();
        }
        let change = |pair| PairChange::Dropped(pair, PairDropped::Old);
        dropped.into_iter().map(change).collect()
    }

    /// Returns whether there is space for another pair. Evicts the pairs that
    /// are least useful if the table is full: those that show no slowdown, and
    /// those that are rarely seen. The others stay, so that their evidence
    /// becomes enough for a decision, and then make space for new ones.
    fn has_space(&mut self, now: TimeMs) -> bool {
        let is_due = now.ms_since(self.evicted_at) >= EVICTION_PERIOD_MS;
        if self.len >= MAX_PAIRS && is_due {
            self.evicted_at = now;
            let is_useless = |pair: &Pair| {
                let unseen_ms = now.ms_since(pair.seen_at);
                !pair.is_interfering()
                    && (pair.looks_unaffected() || unseen_ms >= UNSEEN_MS)
            };
            self.remove_pairs(is_useless);
        }
        self.len < MAX_PAIRS
    }

    /// Removes pairs. Returns those of them that were interfering.
    fn remove_pairs(
        &mut self,
        is_removed: impl Fn(&Pair) -> bool,
    ) -> Vec<InterferingPair> {
        let mut removed = Vec::new();
        for (slowed, others) in &mut self.pairs {
            others.retain(|by, pair| {
                if !is_removed(pair) {
                    return true;
                }
                if pair.is_interfering() {
                    removed.push(described(slowed, by, pair));
                }
                self.len -= 1;
                false
            });
        }
        self.pairs.retain(|_, others| !others.is_empty());
        removed
    }

    /// Collects the images that each image is kept apart from.
    fn update_apart(&mut self) {
        let mut apart: FxHashMap<Box<str>, FxHashSet<Box<str>>> =
            FxHashMap::default();
        for (slowed, by, pair) in self.all() {
            if pair.is_interfering() {
                apart.entry(slowed.into()).or_default().insert(by.into());
                apart.entry(by.into()).or_default().insert(slowed.into());
            }
        }
        self.apart = apart;
    }
}

fn described(slowed: &str, by: &str, pair: &Pair) -> InterferingPair {
    InterferingPair {
        slowed: slowed.to_owned(),
        by: by.to_owned(),
        pace: pair.pace(),
        samples: pair.sample_count(),
    }
}
