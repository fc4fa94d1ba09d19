//! The promises over jobs of steps, checked on what workers really did.

use std::collections::{BTreeMap, BTreeSet};

use limpet_core::Resources;
use limpet_workflow::{JobKey, JobRecord, TaskKey};

/// What workers did, as far as the promises need it.
#[derive(Debug, Default)]
pub struct History {
    pub records: BTreeMap<JobKey, JobRecord>,
    /// Runs under way: worker and run.
    pub live: BTreeMap<TaskKey, BTreeSet<(String, u32)>>,
    /// Tasks with a run that ended well.
    pub done: BTreeSet<TaskKey>,
    /// Tasks whose good end was acknowledged.
    pub noted: BTreeSet<TaskKey>,
    pub failures: BTreeMap<TaskKey, u32>,
    pub team_usage: BTreeMap<String, Resources>,
    pub limits: BTreeMap<String, Resources>,
    pub max_attempts: u32,
    pub violations: Vec<String>,
}

impl History {
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
        if self.noted.contains(&task) {
            self.fail(format!(
                "{task} starts after its noted end, run {run} at {worker}"
            ));
        }
        if self.failures.get(&task).copied().unwrap_or(0) >= self.max_attempts
        {
            self.fail(format!("{task} starts after its last attempt"));
        }
        self.check_order(task);
        self.use_team(task, true);
    }

    pub fn end(&mut self, worker: &str, task: TaskKey, run: u32) {
        if let Some(live) = self.live.get_mut(&task)
            && live.remove(&(worker.to_owned(), run))
        {
            self.use_team(task, false);
        }
    }

    pub fn finish(&mut self, task: TaskKey, gang: bool) {
        self.done.insert(task);
        if gang && let Some(record) = self.records.get(&task.step.job) {
            let count = record.spec.steps[task.step.step as usize].count;
            for index in 0..count {
                self.done.insert(task.step.task(index));
            }
        }
    }

    pub fn note(&mut self, task: TaskKey) {
        if self.done.contains(&task) {
            self.noted.insert(task);
        }
    }

    pub fn count_failure(&mut self, task: TaskKey) {
        *self.failures.entry(task).or_default() += 1;
    }

    /// Checks that a job that is shown as completed has every task done.
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
                .find(|one| !self.done.contains(one))
            {
                self.fail(format!("{task} starts before {missing}"));
                return;
            }
        }
    }

    fn use_team(&mut self, task: TaskKey, begins: bool) {
        let Some(record) = self.records.get(&task.step.job) else { return };
        let resources = record.spec.steps[task.step.step as usize].task;
        let team = record.team.clone();
        let usage = self.team_usage.entry(team.clone()).or_default();
        *usage = match begins {
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
