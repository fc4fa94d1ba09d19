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

use super::{ACCELERATED, OUTCOME, PLAIN};

/// The teams of the cell.
const TEAMS: usize = 130;
/// The workers of a rack.
const RACK: usize = 8;
/// The data centres of the cell.
const DATA_CENTRES: usize = 5;
/// One of so many workers has accelerators.
const ACCELERATED_EVERY: usize = 3;
/// The ends of tasks between two ticks.
const ENDS_PER_TICK: usize = 13;
/// The time between two ticks.
const TICK_MS: u64 = 20;

/// A scheduler under load: a full cell, a backlog, and tasks that end.
pub(super) struct LoadedCell {
    scheduler: Scheduler,
    rng: ChaCha8Rng,
    now: TimeMs,
    jobs: u64,
    waiting: usize,
    /// Jobs that may still wait, oldest first.
    submitted: VecDeque<JobId>,
    running: Vec<(TaskId, WorkerId)>,
    starts: usize,
    ends: usize,
    times_ns: Histogram<u64>,
}

impl LoadedCell {
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

    /// Submits until so many tasks run and so many wait.
    pub(super) fn fill(&mut self, running: usize, backlog: usize) {
        while self.running.len() < running && self.waiting < backlog {
            self.submit();
        }
        while self.waiting < backlog {
            self.submit();
        }
        self.forget_times();
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let job = JobId::new(self.jobs);
        let spec = self.spec();
        self.waiting += spec.task_count() as usize;
        self.submitted.push_back(job);
        self.feed(&Event::JobAccepted { job, spec });
    }

    /// Ends one running task at random, confirms what starts because of it
    /// and keeps the backlog as large as before.
    pub(super) fn end_one(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let backlog = self.waiting;
        let at = self.rng.random_range(0..self.running.len());
        let (task, worker) = self.running.swap_remove(at);
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

    /// Feeds an event, confirms what starts and returns the time of the
    /// event alone, in milliseconds.
    pub(super) fn feed_untimed(&mut self, event: &Event) -> f64 {
        let from = Instant::now();
        let effects = self.scheduler.handle(event, self.now);
        let took_ms = from.elapsed().as_secs_f64() * 1000.0;
        self.obey(effects);
        took_ms
    }

    fn feed(&mut self, event: &Event) {
        let from = Instant::now();
        let effects = self.scheduler.handle(event, self.now);
        let took_ns = from.elapsed().as_nanos() as u64;
        self.times_ns.saturating_record(took_ns);
        self.obey(effects);
    }

    fn obey(&mut self, effects: Vec<Effect>) {
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
        let found = self.running.iter().position(|(id, _)| *id == task);
        let Some(at) = found else { return };
        self.running.swap_remove(at);
        self.waiting += 1;
        let outcome = limpet_core::TaskOutcome::Stopped;
        self.feed(&Event::TaskEnded { task, worker, outcome });
    }

    /// Takes the workers of the first rack out and returns the time that
    /// it took, in milliseconds.
    pub(super) fn lose_rack(&mut self) -> f64 {
        let mut took_ms = 0.0;
        for n in 0..RACK {
            let worker = shape(n).worker;
            self.running.retain(|(_, place)| *place != worker);
            took_ms += self.feed_untimed(&Event::WorkerLapsed { worker });
        }
        took_ms
    }

    /// Returns the jobs submitted first that may still wait.
    pub(super) fn oldest_jobs(&mut self, count: usize) -> Vec<JobId> {
        let from = self.submitted.len().saturating_sub(count);
        self.submitted.split_off(from).into_iter().collect()
    }

    pub(super) fn take_starts(&mut self) -> usize {
        std::mem::take(&mut self.starts)
    }

    pub(super) fn forget_times(&mut self) {
        self.times_ns.reset();
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn backlog(&self) -> usize {
        self.waiting
    }

    pub(super) fn decision_ms(&self, percentile: f64) -> f64 {
        self.times_ns.value_at_percentile(percentile) as f64 / 1.0e6
    }

    /// Returns a job with a heavy-tailed size: most tasks are small, a few
    /// fill half a worker.
    fn spec(&mut self) -> JobSpec {
        let service = self.rng.random_bool(0.2);
        let policy =
            if service { QueuePolicy::Service } else { QueuePolicy::Batch };
        let octaves = (self.rng.random::<f64>().powi(2) * 5.0) as u32;
        let cores_milli = 500 << octaves;
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

fn shape(n: usize) -> WorkerShape {
    let rack = n / RACK;
    let place = format!("dc-{}", rack % DATA_CENTRES);
    let accelerated = n.is_multiple_of(ACCELERATED_EVERY);
    WorkerShape {
        worker: WorkerId::new(&format!("w-{n}")).expect("a valid name"),
        data_centre: DataCentre::new(&place).expect("a valid name"),
        rack: Rack::new(&format!("rack-{rack}")).expect("a valid name"),
        held: if accelerated { ACCELERATED } else { PLAIN },
    }
}
