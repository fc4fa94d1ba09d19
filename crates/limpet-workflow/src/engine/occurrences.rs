//! The occurrences of a job, of which only those are held that have begun and
//! are not over.
//!
//! A client chooses the number of occurrences freely, so none is held before it
//! is due, and not more at once than [`MAX_OVERLAPPING`] and [`MAX_OPEN_TASKS`]
//! allow. Later ones wait for earlier ones then.

use super::{
    job::{Step, Task},
    tasks::{MAX_OPEN_TASKS, Tasks},
};
use crate::spec::{JobSpec, Repeat, StepSpec};

/// The most occurrences of a job that are in progress at once. A scheduling pass
/// compares each of its waiting steps with all others of the job.
const MAX_OVERLAPPING: u64 = 100;

/// One execution of a job's steps.
#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    /// Its number, from 0.
    pub(super) number: u32,
    pub(super) steps: Vec<Step>,
}

/// The occurrences of a job.
#[derive(Clone, Debug, Default)]
pub(super) struct Occurrences {
    /// Those that have begun and are not over, by number.
    begun: Vec<Occurrence>,
    /// The number of the next one. All before it have begun.
    next: u32,
    /// How many there are.
    count: u32,
    /// The schedule; without one the only occurrence is due at once.
    repeat: Option<Repeat>,
}

impl Occurrence {
    pub(super) fn new(steps: &[StepSpec], number: u32) -> Occurrence {
        let steps = steps
            .iter()
            .map(|spec| Step {
                tasks: Tasks::closed(spec.count),
                remaining: spec.count,
                ..Step::default()
            })
            .collect();
        Occurrence { number, steps }
    }

    /// Returns whether all tasks are done.
    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.remaining == 0)
    }

    /// Returns whether all tasks are done and nothing refers to its steps any
    /// more: no claim, and no advice request.
    fn is_over(&self) -> bool {
        let is_quiet =
            |s: &Step| !s.has_claims() && s.advice_request.is_none();
        self.is_done() && self.steps.iter().all(is_quiet)
    }

    /// Returns the number of open tasks that are not done.
    fn open_tasks(&self) -> u32 {
        self.steps.iter().map(|step| step.tasks.open_count()).sum()
    }
}

impl Occurrences {
    /// Returns the occurrences of a submitted job. One that doesn't repeat has
    /// begun.
    pub(super) fn new(spec: &JobSpec) -> Occurrences {
        let mut occurrences = Occurrences {
            begun: Vec::new(),
            next: 0,
            count: spec.occurrences(),
            repeat: spec.repeat,
        };
        if spec.repeat.is_none() {
            occurrences.begin(&spec.steps);
        }
        occurrences
    }

    /// Returns the occurrences of a job that has ended.
    pub(super) fn of_ended() -> Occurrences {
        Occurrences::default()
    }

    /// Forgets all that have begun, and goes on with number `next`.
    pub(super) fn restart_at(&mut self, next: u32) {
        self.begun.clear();
        self.next = next.min(self.count);
    }

    /// Adds an occurrence before the next one, as not begun.
    pub(super) fn restore(&mut self, steps: &[StepSpec], number: u32) {
        self.begun.push(Occurrence::new(steps, number));
    }

    /// Begins the next occurrence and returns its number.
    pub(super) fn begin(&mut self, steps: &[StepSpec]) -> u32 {
        let number = self.next;
        self.begun.push(Occurrence::new(steps, number));
        self.next += 1;
        number
    }

    /// Returns when the next occurrence is due, in milliseconds since the Unix
    /// epoch; `None` after the last.
    pub(super) fn next_due_unix_ms(&self) -> Option<u64> {
        let repeat = self.repeat?;
        (self.next < self.count).then(|| {
            let passed_ms =
                repeat.interval_ms.saturating_mul(self.next.into());
            repeat.first_unix_ms.saturating_add(passed_ms)
        })
    }

    /// Returns how many more occurrences of `steps` may begin.
    pub(super) fn room(&self, steps: &[StepSpec]) -> u64 {
        let each: u64 = steps.iter().map(|step| u64::from(step.count)).sum();
        let most = u64::from(MAX_OPEN_TASKS) / each.max(1);
        let most = most.clamp(1, MAX_OVERLAPPING);
        let begun = self.begun.iter().filter(|o| !o.is_done()).count();
        most.saturating_sub(begun as u64)
    }

    /// Drops the occurrences of a schedule that are over.
    pub(super) fn drop_over(&mut self) {
        if self.repeat.is_some() {
            self.begun.retain(|occurrence| !occurrence.is_over());
        }
    }

    /// Returns how many more tasks may be open.
    pub(super) fn open_left(&self) -> u32 {
        let open: u32 = self.begun.iter().map(Occurrence::open_tasks).sum();
        MAX_OPEN_TASKS.saturating_sub(open)
    }

    /// Returns whether all occurrences have begun and all tasks are done.
    pub(super) fn are_done(&self) -> bool {
        self.next == self.count && self.begun.iter().all(Occurrence::is_done)
    }

    /// Returns the number of the next occurrence.
    pub(super) fn next(&self) -> u32 {
        self.next
    }

    /// Returns an occurrence that has begun and is not over.
    pub(super) fn get(&self, number: u32) -> Option<&Occurrence> {
        let index = self.begun.binary_search_by_key(&number, |o| o.number);
        self.begun.get(index.ok()?)
    }

    /// Returns an occurrence that has begun and is not over.
    pub(super) fn get_mut(&mut self, number: u32) -> Option<&mut Occurrence> {
        let index = self.begun.binary_search_by_key(&number, |o| o.number);
        self.begun.get_mut(index.ok()?)
    }

    /// Returns the occurrences that have begun and are not over, by number.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Occurrence> {
        self.begun.iter()
    }

    /// Returns the open tasks of all of them.
    pub(super) fn tasks(&self) -> impl Iterator<Item = &Task> {
        let steps = self.begun.iter().flat_map(|o| &o.steps);
        steps.flat_map(|step| step.tasks.iter())
    }
}
