use std::{collections::VecDeque, time::Instant};

use hdrhistogram::Histogram;
use limpet_core::{
    DataCentre, JobId, JobSpec, QueueName, Rack, Resources, TaskId, TaskSpec,
    TeamName, TimeMs, WorkerId,
    config::{QueueConfig, QueuePolicy},
    scheduler::{Effect, Event, Scheduler, WorkerShape},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{ACCELERATED_CAPACITY, OUTCOME, PLAIN_CAPACITY};

/// The number of teams.
const TEAMS: usize = 130;
/// The number of workers in a rack.
const RACK_WORKERS: usize = 8;
/// The number of data centres.
const DATA_CENTRES: usize = 5;
/// Every third worker has accelerators.
const ACCELERATED_EVERY: usize = 3;
/// The number of tasks that end between two ticks.
const ENDS_PER_TICK: usize = 13;
/// The interval between two ticks on the virtual clock.
const TICK_MS: u64 = 20;

/// A scheduler of a full cell with a backlog, on a virtual clock.
///
/// Every start is confirmed at once, and the time of each decision is
/// recorded.
pub(super) struct LoadedCell {
    scheduler: Scheduler,
    rng: ChaCha8Rng,
    now: TimeMs,
    /// The number of jobs submitted so far.
    jobs: u64,
    /// The number of waiting tasks.
    waiting: usize,
    /// The submitted jobs, oldest first.
    submitted: VecDeque<JobId>,
    running: Vec<(TaskId, WorkerId)>,
    /// The number of starts since the last call of `take_starts`.
    starts: usize,
    /// The number of tasks that `end_random_task` has ended.
    ends: usize,
    /// The times that the scheduler took for events.
    times_ns: Histogram<u64>,
}

impl LoadedCell {
    /// Returns a cell with this number of workers and no jobs.
    pub(super) fn new(seed: u64, workers: usize) -> LoadedCell {
        let mut cell = LoadedCell {
            scheduler: Scheduler::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: TimeMs::ZERO,
            jobs: 0,
            waiting: 0,
            submitted: VecDeque::new(),
            running: Vec::new(),
            starts: 0,
            ends: 0,
            times_ns: new_histogram(),
        };
        for policy in [QueuePolicy::Service, QueuePolicy::Batch] {
            let config =
                QueueConfig { policy, open: false, stop_over_size: false };
            cell.feed(&Event::QueueChanged { queue: queue(policy), config });
        }
        for n in 0..TEAMS {
            let team = team(n);
            let allotment = Resources::UNLIMITED;
            cell.feed(&Event::AllotmentChanged { team, allotment });
            let weight = 1 + n as u32 % 4;
            cell.feed(&Event::ShareChanged { team: self::team(n), weight });
        }
        for n in 0..workers {
            cell.feed(&Event::WorkerJoined { shape: shape(n) });
        }
        cell
    }

    /// Submits jobs until `running` tasks run or `backlog` tasks wait, then
    /// until `backlog` tasks wait. Resets the recorded times.
    pub(super) fn fill(&mut self, running: usize, backlog: usize) {
        while self.running.len() < running && self.waiting < backlog {
            self.submit();
        }
        while self.waiting < backlog {
            self.submit();
        }
        self.reset_times();
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let job = JobId::new(self.jobs);
        let spec = self.spec();
        self.waiting += spec.task_count() as usize;
        self.submitted.push_back(job);
        self.feed(&Event::JobAccepted { job, spec });
    }

    /// Ends a random running task and refills the backlog to its former size.
    pub(super) fn end_random_task(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let backlog = self.waiting;
        let index = self.rng.random_range(0..self.running.len());
        let (task, worker) = self.running.swap_remove(index);
        self.feed(&Event::TaskEnded { task, worker, outcome: OUTCOME });
        while self.waiting < backlog {
            self.submit();
        }
        self.ends += 1;
        if self.ends.is_multiple_of(ENDS_PER_TICK) {
            self.now = self.now.plus_ms(TICK_MS);
            self.feed(&Event::Tick);
        }
    }

    /// Feeds an event without recording its time, and returns the time that
    /// the scheduler took for it, in milliseconds. The events that follow from
    /// its effects are recorded as usual.
    pub(super) fn feed_unrecorded(&mut self, event: &Event) -> f64 {
        let from = Instant::now();
        let effects = self.scheduler.handle(event, self.now);
        let took_ms = from.elapsed().as_secs_f64() * 1000.0;
        self.apply_effects(effects);
        took_ms
    }

    /// Feeds an event, records the time that the scheduler took for it and
    /// applies its effects.
    fn feed(&mut self, event: &Event) {
        let from = Instant::now();
        let effects = self.scheduler.handle(event, self.now);
        let took_ns = from.elapsed().as_nanos() as u64;
        self.times_ns.saturating_record(took_ns);
        self.apply_effects(effects);
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start { task, worker, .. } => {
                    self.starts += 1;
                    self.waiting = self.waiting.saturating_sub(1);
                    self.running.push((task, worker.clone()));
                    self.feed(&Event::TaskRunning { task, worker });
                }
                Effect::Stop { task, worker, .. }
                | Effect::Checkpoint { task, worker, .. } => {
                    self.stop(task, worker);
                }
                _ => {}
            }
        }
    }

    fn stop(&mut self, task: TaskId, worker: WorkerId) {
        let position = self.running.iter().position(|(id, _)| *id == task);
        let Some(index) = position else { return };
        self.running.swap_remove(index);
        self.waiting += 1;
        let outcome = limpet_core::TaskOutcome::Stopped;
        self.feed(&Event::TaskEnded { task, worker, outcome });
    }

    /// Lets the leases of all workers of the first rack expire, and returns
    /// the time that the scheduler took for these events, in milliseconds.
    pub(super) fn lose_rack(&mut self) -> f64 {
        let mut took_ms = 0.0;
        for n in 0..RACK_WORKERS {
            let worker = shape(n).worker;
            self.running.retain(|(_, runs_on)| *runs_on != worker);
            took_ms += self.feed_unrecorded(&Event::WorkerLapsed { worker });
        }
        took_ms
    }

    /// Removes and returns the `count` jobs that were submitted last, oldest
    /// first.
    pub(super) fn take_newest_jobs(&mut self, count: usize) -> Vec<JobId> {
        let from = self.submitted.len().saturating_sub(count);
        self.submitted.split_off(from).into_iter().collect()
    }

    /// Returns the number of task starts since the last call.
    pub(super) fn take_starts(&mut self) -> usize {
        std::mem::take(&mut self.starts)
    }

    /// Discards the recorded times.
    pub(super) fn reset_times(&mut self) {
        self.times_ns.reset();
    }

    /// Returns the number of running tasks.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting tasks.
    pub(super) fn backlog(&self) -> usize {
        self.waiting
    }

    /// Returns a percentile, from 0 to 100, of the recorded times.
    pub(super) fn decision_ms(&self, percentile: f64) -> f64 {
        self.times_ns.value_at_percentile(percentile) as f64 / 1.0e6
    }

    /// Returns the specification of a job of one task. Small sizes are the
    /// most frequent, and the largest fill half a worker.
    fn spec(&mut self) -> JobSpec {
        let service = self.rng.random_bool(0.2);
        let policy =
            if service { QueuePolicy::Service } else { QueuePolicy::Batch };
        // The square of a uniform number makes small sizes the most frequent.
        let doublings = (self.rng.random::<f64>().powi(2) * 5.0) as u32;
        let cores_milli = 500 << doublings;
        let memory_mb = (1 << self.rng.random_range(0..4)) * cores_milli / 2;
        let accelerated = self.rng.random_bool(0.05);
        JobSpec {
            name: "bench".to_owned(),
            team: team(self.rng.random_range(0..TEAMS)),
            queue: queue(policy),
            urgent: false,
            all_at_once: false,
            data_centre: None,
            tasks: vec![TaskSpec {
                name: "task".to_owned(),
                count: 1,
                cores_milli,
                memory_mb,
                accelerators: u64::from(accelerated),
                run_time_ms: (!service)
                    .then(|| 1_000 << self.rng.random_range(0..10)),
                idempotent: true,
                can_checkpoint: false,
            }],
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 10_000_000_000, 3)
        .expect("the constant bounds are valid")
}

fn team(n: usize) -> TeamName {
    TeamName::new(&format!("team-{n}")).expect("a valid name")
}

fn queue(policy: QueuePolicy) -> QueueName {
    QueueName::new(policy.as_str()).expect("a valid name")
}

/// Returns the location and capacity of a worker. The racks are spread evenly
/// over the data centres.
fn shape(n: usize) -> WorkerShape {
    let rack = n / RACK_WORKERS;
    let data_centre = format!("dc-{}", rack % DATA_CENTRES);
    let accelerated = n.is_multiple_of(ACCELERATED_EVERY);
    WorkerShape {
        worker: WorkerId::new(&format!("w-{n}")).expect("a valid name"),
        data_centre: DataCentre::new(&data_centre).expect("a valid name"),
        rack: Rack::new(&format!("rack-{rack}")).expect("a valid name"),
        held: if accelerated { ACCELERATED_CAPACITY } else { PLAIN_CAPACITY },
    }
}
