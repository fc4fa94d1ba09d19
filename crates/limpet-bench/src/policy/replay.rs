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

/// The time until a worker says that a task runs.
const CONFIRM_MS: u64 = 50;
/// The time until a stopped task is gone.
const STOP_MS: u64 = 150;
/// The time until a task has saved its progress.
const CHECKPOINT_MS: u64 = 250;
/// The time after which a task fails that fails.
const FAIL_MS: u64 = 500;
/// The time between two ticks.
const TICK_MS: u64 = 100;
/// The time between two looks at shares and packing.
const SAMPLE_MS: u64 = 2_000;
/// How long the cell has to be full before shares count.
const SETTLE_MS: u64 = 60_000;

/// Something that is to happen.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Due {
    Arrive(usize),
    Cancel(usize),
    Fault(usize),
    Confirm(TaskId, u32),
    End(TaskId, u32, End),
    Tick,
    Sample,
}

/// How a task is to end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum End {
    Done,
    Failed,
    Stopped,
    Checkpointed,
}

/// A task on a worker.
#[derive(Clone, Debug)]
struct Run {
    worker: WorkerId,
    size: Resources,
    run: u32,
    from_ms: u64,
}

/// What is known of a team's work.
#[derive(Clone, Debug, Default)]
struct TeamUse {
    weight: f64,
    running: Resources,
    waiting: Resources,
}

/// Replays a workload on a virtual clock against one scheduler.
pub(super) struct Replay<'a> {
    workload: &'a Workload,
    decide: Decide,
    checks: PlacementChecks,
    now_ms: u64,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    sequence: u64,
    runs: BTreeMap<TaskId, Run>,
    /// The part of its work that each task had saved.
    saved: BTreeMap<TaskId, f64>,
    unstarted: BTreeMap<JobId, BTreeSet<u32>>,
    teams: BTreeMap<TeamName, TeamUse>,
    held: Resources,
    failing: BTreeSet<WorkerId>,
    run_count: u32,
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
            due: BinaryHeap::new(),
            sequence: 0,
            runs: BTreeMap::new(),
            saved: BTreeMap::new(),
            unstarted: BTreeMap::new(),
            teams: BTreeMap::new(),
            held: Resources::ZERO,
            failing: BTreeSet::new(),
            run_count: 0,
            full_since_ms: None,
            metrics: Metrics::default(),
        }
    }

    pub(super) fn run(mut self) -> Metrics {
        self.set_up();
        while let Some(Reverse((at_ms, _, due))) = self.due.pop() {
            if at_ms > self.workload.horizon_ms {
                break;
            }
            self.now_ms = at_ms;
            self.happen(due);
        }
        self.close();
        self.metrics
    }

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
            self.held = self.held.plus(&shape.held);
            self.feed(Event::WorkerJoined { shape: shape.clone() });
        }
        for (index, arrival) in workload.arrivals.iter().enumerate() {
            self.push(arrival.at_ms, Due::Arrive(index));
            if let Some(at_ms) = arrival.cancelled_at_ms {
                self.push(at_ms, Due::Cancel(index));
            }
        }
        for (index, fault) in workload.faults.iter().enumerate() {
            self.push(fault.at_ms, Due::Fault(index));
        }
        self.push(0, Due::Tick);
        self.push(0, Due::Sample);
    }

    fn push(&mut self, at_ms: u64, due: Due) {
        self.sequence += 1;
        self.due.push(Reverse((at_ms, self.sequence, due)));
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrive(index) => self.arrive(index),
            Due::Cancel(index) => self.cancel(index),
            Due::Fault(index) => self.fail(index),
            Due::Confirm(task, run) => self.confirm(task, run),
            Due::End(task, run, end) => self.end(task, run, end),
            Due::Tick => {
                self.feed(Event::Tick);
                self.push(self.now_ms + TICK_MS, Due::Tick);
            }
            Due::Sample => {
                self.sample();
                self.push(self.now_ms + SAMPLE_MS, Due::Sample);
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
        // What was cancelled before it started waits for nothing any more.
        for task in self.unstarted.remove(&job).unwrap_or_default() {
            let size = self.size_of(TaskId::new(job, task));
            let team = self.team_mut(job);
            team.waiting = team.waiting.minus(&size);
        }
        self.feed(Event::JobCancelled { job });
    }

    fn fail(&mut self, index: usize) {
        match self.workload.faults[index].kind.clone() {
            FaultKind::FailsAll(worker) => {
                self.failing.insert(worker);
            }
            FaultKind::Repaired(worker) => {
                self.failing.remove(&worker);
            }
            FaultKind::Lapses(worker) => self.lapse(worker),
            FaultKind::Returns(shape) => {
                self.held = self.held.plus(&shape.held);
                self.feed(Event::WorkerJoined { shape });
            }
            FaultKind::Leaves(worker) => {
                self.feed(Event::WorkerLeaving { worker });
            }
        }
    }

    fn lapse(&mut self, worker: WorkerId) {
        let shape = self.workload.workers.iter().find(|s| s.worker == worker);
        self.held =
            self.held.minus(&shape.map_or(Resources::ZERO, |s| s.held));
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
        if run.run == number {
            let worker = run.worker.clone();
            self.feed(Event::TaskRunning { task, worker });
        }
    }

    fn end(&mut self, task: TaskId, number: u32, end: End) {
        let Some(run) = self.runs.get(&task) else { return };
        if run.run != number {
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
        let again = matches!(end, End::Stopped | End::Checkpointed);
        if again && self.arrival(task.job).cancelled_at_ms.is_none() {
            let size = self.size_of(task);
            let team = self.team_mut(task.job);
            team.waiting = team.waiting.plus(&size);
        }
        self.feed(Event::TaskEnded { task, worker, outcome });
    }

    /// Feeds an event to the scheduler and does what it decides.
    fn feed(&mut self, event: Event) {
        self.checks.observe_event(&event);
        let now = TimeMs::from_ms(self.now_ms);
        let effects = (self.decide)(&event, now);
        for violation in self.checks.observe_effects(&effects) {
            self.metrics.violations.push(violation.to_string());
        }
        for effect in effects {
            self.obey(effect);
        }
    }

    fn obey(&mut self, effect: Effect) {
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
        let run = self.run_count;
        let fails =
            self.failing.contains(&worker) || self.arrival(task.job).broken;
        let from_ms = self.now_ms + CONFIRM_MS;
        self.runs.insert(task, Run { worker, size, run, from_ms });
        self.count_start(task, &size);
        self.push(from_ms, Due::Confirm(task, run));
        if fails {
            let at_ms = from_ms + FAIL_MS;
            self.push(at_ms, Due::End(task, run, End::Failed));
        } else if let Some(left_ms) = self.left_ms(task) {
            self.push(from_ms + left_ms, Due::End(task, run, End::Done));
        }
    }

    fn count_start(&mut self, task: TaskId, size: &Resources) {
        let team = self.team_mut(task.job);
        team.running = team.running.plus(size);
        team.waiting = team.waiting.minus(size);
        let first = self
            .unstarted
            .get_mut(&task.job)
            .is_some_and(|tasks| tasks.remove(&task.index));
        if first {
            self.note_wait(task.job);
        }
    }

    /// Notes how long a task of a job has waited until now.
    fn note_wait(&mut self, job: JobId) {
        let arrival = self.arrival(job);
        let (class, at_ms) = (arrival.class, arrival.at_ms);
        let wait_s = (self.now_ms - at_ms) as f64 / 1000.0;
        self.metrics.waits_s.entry(class).or_default().push(wait_s);
        let peak = self.workload.peak_ms.contains(&at_ms);
        if class == WorkClass::Interactive && peak {
            self.metrics.peak_waits_s.push(wait_s);
        }
    }

    fn end_in(&mut self, task: TaskId, ms: u64, end: End) {
        if let Some(run) = self.runs.get(&task) {
            let due = Due::End(task, run.run, end);
            self.push(self.now_ms + ms, due);
        }
    }

    fn remove_run(&mut self, task: TaskId, lost: bool) {
        let Some(run) = self.runs.remove(&task) else { return };
        let team = self.team_mut(task.job);
        team.running = team.running.minus(&run.size);
        if lost {
            let ran_ms = self.now_ms.saturating_sub(run.from_ms);
            self.metrics.lost_core_s += core_s(&run.size, ran_ms);
        }
    }

    fn save_progress(&mut self, task: TaskId) {
        let Some(run) = self.runs.get(&task) else { return };
        let ran_ms = self.now_ms.saturating_sub(run.from_ms) as f64;
        if let Some(whole_ms) = self.whole_ms(task) {
            let part = ran_ms / whole_ms.max(1.0);
            *self.saved.entry(task).or_default() += part;
        }
    }

    fn whole_ms(&self, task: TaskId) -> Option<f64> {
        let arrival = self.arrival(task.job);
        let declared_ms = arrival.spec.tasks[0].run_time_ms?;
        Some(declared_ms as f64 * arrival.run_factor)
    }

    fn left_ms(&self, task: TaskId) -> Option<u64> {
        let saved = self.saved.get(&task).copied().unwrap_or(0.0);
        Some((self.whole_ms(task)? * (1.0 - saved).max(0.0)) as u64)
    }

    fn work_core_s(&self, task: TaskId) -> f64 {
        let whole_ms = self.whole_ms(task).unwrap_or(0.0) as u64;
        core_s(&self.size_of(task), whole_ms)
    }

    fn arrival(&self, job: JobId) -> &'a Arrival {
        &self.workload.arrivals[job.get() as usize - 1]
    }

    fn size_of(&self, task: TaskId) -> Resources {
        self.arrival(task.job).spec.tasks[0].size()
    }

    fn team_mut(&mut self, job: JobId) -> &mut TeamUse {
        let team = &self.arrival(job).spec.team;
        self.teams.entry(team.clone()).or_default()
    }

    /// Notes shares and packing while more is asked for than the cell
    /// holds.
    fn sample(&mut self) {
        let asked = self.teams.values().fold(Resources::ZERO, |sum, team| {
            sum.plus(&team.running).plus(&team.waiting)
        });
        if asked.fits_in(&self.held) {
            self.full_since_ms = None;
            return;
        }
        let since_ms = *self.full_since_ms.get_or_insert(self.now_ms);
        let running = self
            .teams
            .values()
            .fold(Resources::ZERO, |sum, team| sum.plus(&team.running));
        // Whatever the mix, no more than all of one resource can be
        // committed.
        let packed = running.dominant_share(&self.held) * 100.0;
        if self.now_ms - since_ms >= SETTLE_MS {
            self.metrics.packing_percent.push(packed);
            self.note_deviations();
        }
    }

    fn note_deviations(&mut self) {
        let teams: Vec<&TeamUse> = self.teams.values().collect();
        let parts: Vec<f64> = teams
            .iter()
            .map(|team| team.running.dominant_share(&self.held))
            .collect();
        let fair = self.fair_parts(&teams, parts.iter().sum());
        for ((team, part), fair) in teams.iter().zip(&parts).zip(&fair) {
            if !team.waiting.is_zero() {
                let points = (part - fair).abs() * 100.0;
                self.metrics.deviations_points.push(points);
            }
        }
    }

    /// Fills the teams' shares by weight, a little at a time, until what is
    /// in use is given out: a reference apart from the scheduler's own.
    fn fair_parts(&self, teams: &[&TeamUse], whole: f64) -> Vec<f64> {
        let wanted: Vec<f64> = teams
            .iter()
            .map(|team| {
                team.running.plus(&team.waiting).dominant_share(&self.held)
            })
            .collect();
        let given = |level: f64| -> Vec<f64> {
            teams
                .iter()
                .zip(&wanted)
                .map(|(team, &wanted)| {
                    wanted.min(level * team.weight.max(1.0))
                })
                .collect()
        };
        let (mut low, mut high) = (0.0, whole.max(1.0));
        for _ in 0..50 {
            let middle = f64::midpoint(low, high);
            if given(middle).iter().sum::<f64>() > whole {
                high = middle;
            } else {
                low = middle;
            }
        }
        given(low)
    }

    /// Counts what never started with the time that it has waited.
    fn close(&mut self) {
        self.now_ms = self.workload.horizon_ms;
        for (job, tasks) in std::mem::take(&mut self.unstarted) {
            for _ in tasks {
                self.note_wait(job);
            }
        }
    }
}

fn job_id(index: usize) -> JobId {
    JobId::new(index as u64 + 1)
}

fn core_s(size: &Resources, ms: u64) -> f64 {
    size.cores_milli as f64 / 1000.0 * ms as f64 / 1000.0
}
