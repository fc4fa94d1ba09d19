/// Which parts of the policy a [`Scheduler`](super::Scheduler) uses.
///
/// Everything is on by default. Parts are switched off to measure what each
/// is worth (docs/PLACEMENT.md); no switch weakens a promise.
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
    /// Returns the options with every part on.
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

    /// Sets whether the team furthest below its share goes first; where
    /// not, the lowest rank of all teams does.
    pub const fn shares(mut self, shares: bool) -> SchedulerOptions {
        self.shares = shares;
        self
    }

    /// Sets whether running work makes room for urgent work and for teams
    /// below their share.
    pub const fn preemption(mut self, preemption: bool) -> SchedulerOptions {
        self.preemption = preemption;
        self
    }

    /// Sets whether run times are estimated from those seen; where not, the
    /// declared ones count.
    pub const fn learning(mut self, learning: bool) -> SchedulerOptions {
        self.learning = learning;
        self
    }

    /// Sets whether short work overtakes long work of its team.
    pub const fn short_first(mut self, short_first: bool) -> SchedulerOptions {
        self.short_first = short_first;
        self
    }

    /// Sets whether short work runs on room that is kept for a gang.
    pub const fn backfill(mut self, backfill: bool) -> SchedulerOptions {
        self.backfill = backfill;
        self
    }

    /// Sets whether each start comes with a [`Decision`](super::Decision)
    /// for the log.
    pub const fn decisions(mut self, decisions: bool) -> SchedulerOptions {
        self.decisions = decisions;
        self
    }
}
