/// Which parts of the policy a [`Scheduler`](super::Scheduler) uses.
///
/// All parts are on by default. Benchmarks switch parts off to measure the
/// effect of each (docs/PLACEMENT.md). Limits, capacities and the other
/// guarantees of the scheduler hold with any combination.
///
/// # Examples
///
/// ```
/// use limpet_core::scheduler::{Scheduler, SchedulerOptions};
///
/// let options = SchedulerOptions::new().preemption(false);
/// let scheduler = Scheduler::with_options(options);
/// assert!(scheduler.jobs().is_empty());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SchedulerOptions {
    pub(super) shares: bool,
    pub(super) preemption: bool,
    pub(super) learning: bool,
    pub(super) short_first: bool,
    pub(super) backfill: bool,
    pub(super) decisions: bool,
}

impl Default for SchedulerOptions {
    fn default() -> SchedulerOptions {
        SchedulerOptions::new()
    }
}

impl SchedulerOptions {
    /// Returns options with every part switched on.
    pub const fn new() -> SchedulerOptions {
        SchedulerOptions {
            shares: true,
            preemption: true,
            learning: true,
            short_first: true,
            backfill: true,
            decisions: true,
        }
    }

    /// Sets whether the team furthest below its share is served first.
    ///
    /// If off, the waiting work with the lowest rank is served first,
    /// whichever team it belongs to.
    pub const fn shares(mut self, shares: bool) -> SchedulerOptions {
        self.shares = shares;
        self
    }

    /// Sets whether running tasks may be preempted for urgent work and for
    /// teams below their share.
    pub const fn preemption(mut self, preemption: bool) -> SchedulerOptions {
        self.preemption = preemption;
        self
    }

    /// Sets whether run times are estimated from those of ended tasks.
    ///
    /// If off, declared run times are used as they are.
    pub const fn learning(mut self, learning: bool) -> SchedulerOptions {
        self.learning = learning;
        self
    }

    /// Sets whether short jobs are ranked before long jobs of the same team.
    pub const fn short_first(mut self, short_first: bool) -> SchedulerOptions {
        self.short_first = short_first;
        self
    }

    /// Sets whether short tasks may run on workers that are reserved for a
    /// gang until the gang starts.
    pub const fn backfill(mut self, backfill: bool) -> SchedulerOptions {
        self.backfill = backfill;
        self
    }

    /// Sets whether each [`Effect::Start`](super::Effect::Start) is followed
    /// by a [`Decision`](super::Decision) for the log.
    pub const fn decisions(mut self, decisions: bool) -> SchedulerOptions {
        self.decisions = decisions;
        self
    }
}
