use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use limpet_core::{
    JobId, Resources, TaskId, TaskOutcome, TeamName, TimeMs, WorkerId,
    check::PlacementChecks,
    scheduler::{Effect, Event, StopReason},
};

use super::{metrics::Metrics, variant::Decide};
use crate::workload::{Arrival, FaultKind, WorkClass, Workload};

/// The time from a start order to the worker's report that the task runs.
const CONFIRM_MS: u64 = 50;
/// The time from a stop order to the end of the task.
const STOP_MS: u64 = 150;
/// The time from a checkpoint order to the end of the task, with its progress
/// saved.
const CHECKPOINT_MS: u64 = 250;
/// The time from the start of a failing task to its failure.
const FAIL_MS: u64 = 500;
/// The interval between the scheduler's ticks.
const TICK_MS: u64 = 100;
/// The interval between samples of shares and packing.
const SAMPLE_MS: u64 = 2_000;
/// How long the cell must have been full before a sample counts, so that the
/// teams' shares have settled.
const SETTLE_MS: u64 = 60_000;

/// A step of the simulation. Indices refer to the lists of the workload, and
/// the `u32` is the number of a run: a step for an earlier run of the task is
/// ignored.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    /// A job arrives.
    Arrive(usize),
    /// A job is cancelled.
    Cancel(usize),
    /// A fault happens.
    Fault(usize),
    /// The worker confirms that a task runs.
    Confirm(TaskId, u32),
    /// A task ends.
    End(TaskId, u32, End),
    /// The scheduler gets a tick.
    Tick,
    /// Shares and packing are sampled.
    Sample,
}

/// How a task ends.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum End {
    Done,
    Failed,
    Stopped,
    Checkpointed,
}

/// A run of a task on a worker.
#[derive(Clone, Debug)]
struct Run {
    worker: WorkerId,
    size: Resources,
    /// The number of this run, unique in the replay.
    number: u32,
    started_ms: u64,
}

/// A team's weight and the resources of its tasks.
#[derive(Clone, Debug, Default)]
struct TeamUsage {
    weight: f64,
    running: Resources,
    waiting: Resources,
}

/// Replays a workload on a virtual clock against one scheduler. The workers
/// are simulated: they carry out the scheduler's orders after fixed delays.
pub(super) struct Replay<'a> {
    workload: &'a Workload,
    decide: Decide,
    checks: PlacementChecks,
    now_ms: u64,
    /// Time, sequence number and step. Steps at the same time are taken in
    /// the order in which they were scheduled.
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    sequence: u64,
    runs: BTreeMap<TaskId, Run>,
    /// The fraction of its work that each task has saved by checkpoints.
    saved: BTreeMap<TaskId, f64>,
    /// The tasks of each job that have never started.
    unstarted: BTreeMap<JobId, BTreeSet<u32>>,
    teams: BTreeMap<TeamName, TeamUsage>,
    /// The capacity of all workers in the cell.
    capacity: Resources,
    /// The workers on which every task fails.
    failing: BTreeSet<WorkerId>,
    /// The number of runs so far, which is also the number of the last one.
    run_count: u32,
    /// The time of the first of the latest samples at which the demand
    /// exceeded the cell's capacity; `None` while it fits.
    full_since_ms: Option<u64>,
    metrics: Metrics,
}

impl<'a> Replay<'a> {
    pub(super) fn new(workload: &'a Workload, decide: Decide) -> Replay<'a> {
        Replay {
            workload,
            decide,
            checks: PlacementChecks::default(),
            now_ms: 0,
            steps: BinaryHeap::new(),
            sequence: 0,
            runs: BTreeMap::new(),
            saved: BTreeMap::new(),
            unstarted: BTreeMap::new(),
            teams: BTreeMap::new(),
            capacity: Resources::ZERO,
            failing: BTreeSet::new(),
            run_count: 0,
            full_since_ms: None,
            metrics: Metrics::default(),
        }
    }

    /// Runs the replay up to the workload's horizon.
    pub(super) fn run(mut self) -> Metrics {
        self.set_up();
        while let Some(Reverse((at_ms, _, step))) = self.steps.pop() {
            if at_ms > self.workload.horizon_ms {
                break;
            }
            self.now_ms = at_ms;
            self.take_step(step);
        }
        self.record_unstarted();
        self.metrics
    }

    /// Feeds the setup and the workers to the scheduler and schedules the
    /// arrivals and faults.
    fn set_up(&mut self) {
        let workload = self.workload;
        for event in &workload.setup {
            if let Event::ShareChanged { team, weight } = event {
                let team = self.teams.entry(team.clone()).or_default();
                team.weight = f64::from(*weight);
            }
            self.feed(event.clone());
        }
        for shape in &workload.workers {
            self.capacity = self.capacity.plus(&shape.held);
            self.feed(Event::WorkerJoined { shape: shape.clone() });
        }
        for (index, arrival) in workload.arrivals.iter().enumerate() {
            self.schedule(arrival.at_ms, Step::Arrive(index));
            if let Some(at_ms) = arrival.cancelled_at_ms {
                self.schedule(at_ms, Step::Cancel(index));
            }
        }
        for (index, fault) in workload.faults.iter().enumerate() {
            self.schedule(fault.at_ms, Step::Fault(index));
        }
        self.schedule(0, Step::Tick);
        self.schedule(0, Step::Sample);
    }

    /// Schedules a step at a time of the virtual clock.
    fn schedule(&mut self, at_ms: u64, step: Step) {
        self.sequence += 1;
        self.steps.push(Reverse((at_ms, self.sequence, step)));
    }

    fn take_step(&mut self, step: Step) {
        match step {
            Step::Arrive(index) => self.arrive(index),
            Step::Cancel(index) => self.cancel(index),
            Step::Fault(index) => self.inject_fault(index),
            Step::Confirm(task, run) => self.confirm(task, run),
            Step::End(task, run, end) => self.end_run(task, run, end),
            Step::Tick => {
                self.feed(Event::Tick);
                self.schedule(self.now_ms + TICK_MS, Step::Tick);
            }
            Step::Sample => {
                self.sample();
                self.schedule(self.now_ms + SAMPLE_MS, Step::Sample);
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let spec = self.workload.arrivals[index].spec.clone();
        let job = job_id(index);
        self.unstarted.insert(job, (0..spec.task_count()).collect());
        let team = self.teams.entry(spec.team.clone()).or_default();
        team.waiting = team.waiting.plus(&spec.total_size());
        self.feed(Event::JobAccepted { job, spec });
    }

    fn cancel(&mut self, index: usize) {
        let job = job_id(index);
        // Tasks that never started no longer count as waiting.
        for task in self.unstarted.remove(&job).unwrap_or_default() {
            let size = self.size_of(TaskId::new(job, task));
            let team = self.team_mut(job);
            team.waiting = team.waiting.minus(&size);
        }
        self.feed(Event::JobCancelled { job });
    }

    fn inject_fault(&mut self, index: usize) {
        match self.workload.faults[index].kind.clone() {
            FaultKind::FailsAll(worker) => {
                self.failing.insert(worker);
            }
            FaultKind::Repaired(worker) => {
                self.failing.remove(&worker);
            }
            FaultKind::LeasesExpire(worker) => self.lose_worker(worker),
            FaultKind::Returns(shape) => {
                self.capacity = self.capacity.plus(&shape.held);
                self.feed(Event::WorkerJoined { shape });
            }
            FaultKind::Leaves(worker) => {
                self.feed(Event::WorkerLeaving { worker });
            }
        }
    }

    /// Removes a worker whose leases have expired, with its runs.
    fn lose_worker(&mut self, worker: WorkerId) {
        let shape = self.workload.workers.iter().find(|s| s.worker == worker);
        self.capacity =
            self.capacity.minus(&shape.map_or(Resources::ZERO, |s| s.held));
        let lost: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.worker == worker)
            .map(|(&task, _)| task)
            .collect();
        for task in lost {
            self.remove_run(task, true);
        }
        self.feed(Event::WorkerLapsed { worker });
    }

    fn confirm(&mut self, task: TaskId, number: u32) {
        let Some(run) = self.runs.get(&task) else { return };
        if run.number == number {
            let worker = run.worker.clone();
            self.feed(Event::TaskRunning { task, worker });
        }
    }

    fn end_run(&mut self, task: TaskId, number: u32, end: End) {
        let Some(run) = self.runs.get(&task) else { return };
        if run.number != number {
            return;
        }
        let worker = run.worker.clone();
        let outcome = match end {
            End::Done => TaskOutcome::Done,
            End::Failed => TaskOutcome::Failed,
            End::Stopped => TaskOutcome::Stopped,
            End::Checkpointed => TaskOutcome::Checkpointed,
        };
        if end == End::Checkpointed {
            self.save_progress(task);
        }
        self.remove_run(task, end == End::Stopped);
        if end == End::Done {
            self.metrics.done_core_s += self.work_core_s(task);
        }
        let runs_again = matches!(end, End::Stopped | End::Checkpointed);
        if runs_again && self.arrival(task.job).cancelled_at_ms.is_none() {
            let size = self.size_of(task);
            let team = self.team_mut(task.job);
            team.waiting = team.waiting.plus(&size);
        }
        self.feed(Event::TaskEnded { task, worker, outcome });
    }

    /// Feeds an event to the scheduler, checks the invariants and carries
    /// out the scheduler's effects.
    fn feed(&mut self, event: Event) {
        self.checks.observe_event(&event);
        let now = TimeMs::from_ms(self.now_ms);
        let effects = (self.decide)(&event, now);
        for violation in self.checks.observe_effects(&effects) {
            self.metrics.violations.push(violation.to_string());
        }
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Start { task, worker, size, .. } => {
                self.start(task, worker, size);
            }
            Effect::Stop { task, reason, .. }
                if reason != StopReason::Stray =>
            {
                self.end_in(task, STOP_MS, End::Stopped);
            }
            Effect::Checkpoint { task, .. } => {
                self.end_in(task, CHECKPOINT_MS, End::Checkpointed);
            }
            _ => {}
        }
    }

    fn start(&mut self, task: TaskId, worker: WorkerId, size: Resources) {
        self.run_count += 1;
        self.metrics.starts += 1;
        let number = self.run_count;
        let fails = self.failing.contains(&worker)
            || self.arrival(task.job).always_fails;
        let started_ms = self.now_ms + CONFIRM_MS;
        self.runs.insert(task, Run { worker, size, number, started_ms });
        self.count_start(task, &size);
        self.schedule(started_ms, Step::Confirm(task, number));
        if fails {
            let at_ms = started_ms + FAIL_MS;
            self.schedule(at_ms, Step::End(task, number, End::Failed));
        } else if let Some(remaining_ms) = self.remaining_ms(task) {
            self.schedule(
                started_ms + remaining_ms,
                Step::End(task, number, End::Done),
            );
        }
    }

    /// Moves a task's resources from waiting to running, and records its wait
    /// if this is its first start.
    fn count_start(&mut self, task: TaskId, size: &Resources) {
        let team = self.team_mut(task.job);
        team.running = team.running.plus(size);
        team.waiting = team.waiting.minus(size);
        let is_first_start = self
            .unstarted
            .get_mut(&task.job)
            .is_some_and(|tasks| tasks.remove(&task.index));
        if is_first_start {
            self.record_wait(task.job);
        }
    }

    /// Records how long a task of a job has waited until now.
    fn record_wait(&mut self, job: JobId) {
        let arrival = self.arrival(job);
        let (class, at_ms) = (arrival.class, arrival.at_ms);
        let wait_s = (self.now_ms - at_ms) as f64 / 1000.0;
        self.metrics.waits_s.entry(class).or_default().push(wait_s);
        let at_peak = self.workload.peak_ms.contains(&at_ms);
        if class == WorkClass::Interactive && at_peak {
            self.metrics.peak_waits_s.push(wait_s);
        }
    }

    /// Schedules the end of a task's current run.
    fn end_in(&mut self, task: TaskId, delay_ms: u64, end: End) {
        if let Some(run) = self.runs.get(&task) {
            let step = Step::End(task, run.number, end);
            self.schedule(self.now_ms + delay_ms, step);
        }
    }

    /// Removes a run, and counts its work as lost if `lost`.
    fn remove_run(&mut self, task: TaskId, lost: bool) {
        let Some(run) = self.runs.remove(&task) else { return };
        let team = self.team_mut(task.job);
        team.running = team.running.minus(&run.size);
        if lost {
            let ran_ms = self.now_ms.saturating_sub(run.started_ms);
            self.metrics.lost_core_s += core_s(&run.size, ran_ms);
        }
    }

    /// Adds the work of a task's current run to its saved progress.
    fn save_progress(&mut self, task: TaskId) {
        let Some(run) = self.runs.get(&task) else { return };
        let ran_ms = self.now_ms.saturating_sub(run.started_ms) as f64;
        if let Some(total_ms) = self.total_run_time_ms(task) {
            let fraction = ran_ms / total_ms.max(1.0);
            *self.saved.entry(task).or_default() += fraction;
        }
    }

    /// Returns the true run time of a task, or `None` if it runs until it is
    /// stopped.
    fn total_run_time_ms(&self, task: TaskId) -> Option<f64> {
        let arrival = self.arrival(task.job);
        let declared_ms = arrival.spec.tasks[0].run_time_ms?;
        Some(declared_ms as f64 * arrival.run_factor)
    }

    /// Returns the true run time that a task still needs, given its saved
    /// progress, or `None` if it runs until it is stopped.
    fn remaining_ms(&self, task: TaskId) -> Option<u64> {
        let saved = self.saved.get(&task).copied().unwrap_or(0.0);
        Some((self.total_run_time_ms(task)? * (1.0 - saved).max(0.0)) as u64)
    }

    fn work_core_s(&self, task: TaskId) -> f64 {
        let total_ms = self.total_run_time_ms(task).unwrap_or(0.0) as u64;
        core_s(&self.size_of(task), total_ms)
    }

    fn arrival(&self, job: JobId) -> &'a Arrival {
        &self.workload.arrivals[job.get() as usize - 1]
    }

    fn size_of(&self, task: TaskId) -> Resources {
        self.arrival(task.job).spec.tasks[0].size()
    }

    fn team_mut(&mut self, job: JobId) -> &mut TeamUsage {
        let team = &self.arrival(job).spec.team;
        self.teams.entry(team.clone()).or_default()
    }

    /// Samples shares and packing while the tasks ask for more than the
    /// cell's capacity.
    fn sample(&mut self) {
        let demand = self.teams.values().fold(Resources::ZERO, |sum, team| {
            sum.plus(&team.running).plus(&team.waiting)
        });
        if demand.fits_in(&self.capacity) {
            self.full_since_ms = None;
            return;
        }
        let since_ms = *self.full_since_ms.get_or_insert(self.now_ms);
        let running = self
            .teams
            .values()
            .fold(Resources::ZERO, |sum, team| sum.plus(&team.running));
        // Packing is measured by the dominant share: whatever the mix of
        // tasks, no more than all of one resource can be committed.
        let packed = running.dominant_share(&self.capacity) * 100.0;
        if self.now_ms - since_ms >= SETTLE_MS {
            self.metrics.packing_percent.push(packed);
            self.record_share_deviations();
        }
    }

    /// Records how far each team with waiting tasks is from its fair
    /// fraction of the cell.
    fn record_share_deviations(&mut self) {
        let teams: Vec<&TeamUsage> = self.teams.values().collect();
        let fractions: Vec<f64> = teams
            .iter()
            .map(|team| team.running.dominant_share(&self.capacity))
            .collect();
        let fair = self.fair_fractions(&teams, fractions.iter().sum());
        for ((team, actual), fair) in teams.iter().zip(&fractions).zip(&fair) {
            if !team.waiting.is_zero() {
                let points = (actual - fair).abs() * 100.0;
                self.metrics.deviations_points.push(points);
            }
        }
    }

    /// Returns the fair fraction of each team by weighted max-min fairness:
    /// a level is found by bisection at which teams that take the level times
    /// their weight, but no more than they ask for, use `total` together.
    /// This reference is independent of the scheduler's own computation.
    fn fair_fractions(&self, teams: &[&TeamUsage], total: f64) -> Vec<f64> {
        let demands: Vec<f64> = teams
            .iter()
            .map(|team| {
                team.running.plus(&team.waiting).dominant_share(&self.capacity)
            })
            .collect();
        let fractions_at = |level: f64| -> Vec<f64> {
            teams
                .iter()
                .zip(&demands)
                .map(|(team, &demand)| {
                    demand.min(level * team.weight.max(1.0))
                })
                .collect()
        };
        let (mut low, mut high) = (0.0, total.max(1.0));
        for _ in 0..50 {
            let middle = f64::midpoint(low, high);
            if fractions_at(middle).iter().sum::<f64>() > total {
                high = middle;
            } else {
                low = middle;
            }
        }
        fractions_at(low)
    }

    /// Records the wait of tasks that never started, up to the horizon.
    fn record_unstarted(&mut self) {
        self.now_ms = self.workload.horizon_ms;
        for (job, tasks) in std::mem::take(&mut self.unstarted) {
            for _ in tasks {
                self.record_wait(job);
            }
        }
    }
}

/// Returns the id of the job of an arrival, by its index in the workload.
fn job_id(index: usize) -> JobId {
    JobId::new(index as u64 + 1)
}

/// Returns the seconds of one core that a task of this size uses in a time.
fn core_s(size: &Resources, run_time_ms: u64) -> f64 {
    size.cores_milli as f64 / 1000.0 * run_time_ms as f64 / 1000.0
}
