//! Invariants over the runs of jobs, checked on what the workers did.

use std::collections::{BTreeMap, BTreeSet};

use limpet_core::Resources;
use limpet_workflow::{JobKey, JobRecord, TaskKey};

/// The history of all runs, with the violations of invariants.
///
/// No worker exceeds its capacity, no task runs twice at the same time, after
/// its acknowledged end, after its last attempt or before its dependencies, no
/// task goes on crashing workers, and no team exceeds its limit.
#[derive(Debug, Default)]
pub struct History {
    pub records: BTreeMap<JobKey, JobRecord>,
    /// The runs in progress of each task: worker and run number.
    pub live: BTreeMap<TaskKey, BTreeSet<(String, u32)>>,
    /// Tasks with a successful run.
    pub done: BTreeSet<TaskKey>,
    /// Tasks whose successful end was acknowledged.
    pub acknowledged: BTreeSet<TaskKey>,
    pub failures: BTreeMap<TaskKey, u32>,
    pub team_usage: BTreeMap<String, Resources>,
    pub limits: BTreeMap<String, Resources>,
    pub max_attempts: u32,
    /// The number of workers that each task has crashed.
    pub crashes: BTreeMap<TaskKey, u32>,
    /// The number of starts of each task after [`MAX_CRASHES`].
    pub starts_after_crashes: BTreeMap<TaskKey, u32>,
    pub violations: Vec<String>,
}

/// After a task has crashed this many workers, and was started as many times
/// more, the platform's rule on crashing tasks is broken.
const MAX_CRASHES: u32 = 3;

impl History {
    /// Records the start of a run; `used` is what its worker uses then.
    pub fn begin(
        &mut self,
        worker: &str,
        task: TaskKey,
        run: u32,
        used: Resources,
        capacity: Resources,
    ) {
        if !used.fits_in(&capacity) {
            self.fail(format!("{worker} holds {used} of {capacity}"));
        }
        let live = self.live.entry(task).or_default();
        live.insert((worker.to_owned(), run));
        if live.len() > 1 {
            let text = format!("{task} runs at {live:?}");
            self.fail(text);
        }
        if self.acknowledged.contains(&task) {
            self.fail(format!(
                "{task} starts after its acknowledged end: run {run}, {worker}"
            ));
        }
        if self.failures.get(&task).copied().unwrap_or(0) >= self.max_attempts
        {
            self.fail(format!("{task} starts after its last attempt"));
        }
        if self.crashes.get(&task).copied().unwrap_or(0) >= MAX_CRASHES {
            let starts = self.starts_after_crashes.entry(task).or_default();
            *starts += 1;
            if *starts == MAX_CRASHES {
                self.fail(format!("{task} starts again and again"));
            }
        }
        self.check_order(task);
        self.update_team_usage(task, true);
    }

    /// Records that a run is over, however it ended.
    pub fn end(&mut self, worker: &str, task: TaskKey, run: u32) {
        if let Some(live) = self.live.get_mut(&task)
            && live.remove(&(worker.to_owned(), run))
        {
            self.update_team_usage(task, false);
        }
    }

    /// Records that a task, or all tasks of its gang, succeeded.
    pub fn finish(&mut self, task: TaskKey, gang: bool) {
        self.done.insert(task);
        if gang && let Some(record) = self.records.get(&task.step.job) {
            let count = record.spec.steps[task.step.step as usize].count;
            for index in 0..count {
                self.done.insert(task.step.task(index));
            }
        }
    }

    /// Records that the engine acknowledged the end of a task.
    pub fn acknowledge(&mut self, task: TaskKey) {
        if self.done.contains(&task) {
            self.acknowledged.insert(task);
        }
    }

    pub fn count_failure(&mut self, task: TaskKey) {
        *self.failures.entry(task).or_default() += 1;
    }

    /// Records that a task has crashed its worker.
    pub fn record_crash(&mut self, task: TaskKey) {
        *self.crashes.entry(task).or_default() += 1;
    }

    /// Checks that all tasks of a job that is shown as completed are done.
    pub fn show_completed(&mut self, job: JobKey) {
        let Some(record) = self.records.get(&job) else {
            self.fail(format!("{job} was never submitted"));
            return;
        };
        let missing: Vec<TaskKey> = all_tasks(job, record)
            .filter(|task| !self.done.contains(task))
            .collect();
        if !missing.is_empty() {
            self.fail(format!("{job} is shown without {missing:?}"));
        }
    }

    fn check_order(&mut self, task: TaskKey) {
        let Some(record) = self.records.get(&task.step.job) else {
            self.fail(format!("{task} belongs to no submitted job"));
            return;
        };
        let steps = &record.spec.steps;
        for earlier in &steps[task.step.step as usize].after {
            let mut step = task.step;
            step.step = *earlier;
            let count = steps[*earlier as usize].count;
            if let Some(missing) = (0..count)
                .map(|index| step.task(index))
                .find(|task| !self.done.contains(task))
            {
                self.fail(format!("{task} starts before {missing}"));
                return;
            }
        }
    }

    fn update_team_usage(&mut self, task: TaskKey, started: bool) {
        let Some(record) = self.records.get(&task.step.job) else { return };
        let resources = record.spec.steps[task.step.step as usize].task;
        let team = record.team.clone();
        let usage = self.team_usage.entry(team.clone()).or_default();
        *usage = match started {
            true => usage.plus(&resources),
            false => usage.minus(&resources),
        };
        let usage = *usage;
        if let Some(limit) = self.limits.get(&team)
            && !usage.fits_in(limit)
        {
            self.fail(format!("team {team} has {usage} of {limit}"));
        }
    }

    fn fail(&mut self, violation: String) {
        self.violations.push(violation);
    }
}

fn all_tasks(
    job: JobKey,
    record: &JobRecord,
) -> impl Iterator<Item = TaskKey> + '_ {
    record.spec.steps.iter().enumerate().flat_map(move |(step, spec)| {
        let step =
            limpet_workflow::StepKey { job, occurrence: 0, step: step as u32 };
        (0..spec.count).map(move |index| step.task(index))
    })
}
