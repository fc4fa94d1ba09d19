//! The invariants of the scheduler hold after every event of random histories,
//! and every job of such a history ends once nothing hinders it.

mod cell;

use std::collections::{BTreeMap, BTreeSet};

use cell::{Cell, job, worker};
use limpet_core::{
    JobId, JobState, Resources, TaskId, TaskOutcome, WorkerId,
    scheduler::{Event, SchedulerOptions, TaskUsage},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// A step of a history. Indexes of jobs and tasks are taken modulo their
/// current number.
#[derive(Clone, Debug)]
enum Step {
    Submit { team: u8, queue: u8, count: u32, cores: u64, flags: u8 },
    Cancel(u64),
    Hold(u64, bool),
    Join(u8, u64),
    Leave(u8),
    Suspect(u8, bool),
    Expire(u8),
    Confirm(usize),
    NotStarted(usize),
    End(usize, u8),
    EndAgain(usize),
    Stray(u64, u8),
    Usage(usize, u64),
    SetAllotment(u8, u64),
    Pause(bool),
    CarryOutStops,
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3u8, 0..3u8, 1..6u32, 1..7u64, any::<u8>()).prop_map(
            |(team, queue, count, cores, flags)| Step::Submit {
                team, queue, count, cores, flags,
            },
        ),
        1 => any::<u64>().prop_map(Step::Cancel),
        1 => (any::<u64>(), any::<bool>())
            .prop_map(|(job, held)| Step::Hold(job, held)),
        2 => (0..6u8, 2..12u64).prop_map(|(n, cores)| Step::Join(n, cores)),
        1 => (0..6u8).prop_map(Step::Leave),
        1 => (0..6u8, any::<bool>()).prop_map(|(n, on)| Step::Suspect(n, on)),
        1 => (0..6u8).prop_map(Step::Expire),
        6 => any::<usize>().prop_map(Step::Confirm),
        1 => any::<usize>().prop_map(Step::NotStarted),
        6 => (any::<usize>(), 0..4u8).prop_map(|(n, idx)| Step::End(n, idx)),
        1 => any::<usize>().prop_map(Step::EndAgain),
        1 => (any::<u64>(), 0..6u8).prop_map(|(n, at)| Step::Stray(n, at)),
        1 => (any::<usize>(), 0..20u64).prop_map(|(n, c)| Step::Usage(n, c)),
        1 => (0..3u8, 0..40u64)
            .prop_map(|(n, cores)| Step::SetAllotment(n, cores)),
        1 => any::<bool>().prop_map(Step::Pause),
        3 => Just(Step::CarryOutStops),
        5 => (0..40_000u64).prop_map(Step::Advance),
    ]
}

const TEAMS: [&str; 3] = ["one", "two", "three"];
const QUEUES: [&str; 3] = ["service", "batch", "gang"];

struct History {
    cell: Cell,
    confirmed: BTreeSet<TaskId>,
    ended: Vec<(TaskId, WorkerId)>,
    /// The number of jobs submitted so far, which is also the last job's id.
    jobs: u64,
}

impl History {
    fn new() -> History {
        let mut cell = Cell::new(SchedulerOptions::new());
        for n in 0..4u8 {
            cell.join(&format!("w{n}"), &format!("r{}", n / 2), 8);
        }
        History {
            cell,
            confirmed: BTreeSet::new(),
            ended: Vec::new(),
            jobs: 0,
        }
    }

    /// Returns a placed task and its worker.
    fn nth_placed(&self, n: usize) -> Option<(TaskId, WorkerId)> {
        let count = self.cell.placed.len().max(1);
        let (task, worker) = self.cell.placed.iter().nth(n % count)?;
        Some((*task, worker.clone()))
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Submit { team, queue, count, cores, flags } => {
                self.jobs += 1;
                let (team, queue) = (TEAMS[team as usize], queue as usize);
                let mut spec = job(team, QUEUES[queue], count, cores);
                spec.urgent = flags & 7 == 0;
                spec.tasks[0].idempotent = flags & 24 != 0;
                spec.tasks[0].can_checkpoint = flags & 32 != 0;
                if flags & 64 != 0 {
                    spec.tasks[0].run_time_ms = None;
                }
                self.cell.submit(self.jobs, spec);
            }
            Step::Cancel(n) => {
                let job = JobId::new(n % (self.jobs + 1));
                self.cell.handle(Event::JobCancelled { job });
            }
            Step::Hold(n, held) => {
                let job = JobId::new(n % (self.jobs + 1));
                self.cell.handle(Event::JobHeld { job, held });
            }
            Step::Join(n, cores) => self.join(n, cores),
            Step::Leave(n) => {
                let worker = worker(&format!("w{n}"));
                self.cell.handle(Event::WorkerLeaving { worker });
            }
            Step::Suspect(n, on) => {
                let worker = worker(&format!("w{n}"));
                self.cell.handle(if on {
                    Event::WorkerSuspected { worker }
                } else {
                    Event::WorkerAnswered { worker }
                });
            }
            Step::Expire(n) => {
                let worker = worker(&format!("w{n}"));
                self.cell.handle(Event::WorkerLapsed { worker });
            }
            Step::SetAllotment(n, cores) => {
                let allotment = Resources::new(cores * 1000, 1 << 30, 0);
                self.cell.set_allotment(TEAMS[n as usize], allotment);
            }
            Step::Pause(paused) => {
                self.cell.handle(Event::PlacementPaused { paused });
            }
            Step::CarryOutStops => self.cell.carry_out_stops(),
            Step::Advance(ms) => {
                self.cell.now = self.cell.now.plus_ms(ms);
                self.cell.handle(Event::Tick);
            }
            _ => self.run_task_step(step),
        }
    }

    /// Adds a worker. One that is known joins with its previous size, since a
    /// worker must not shrink below what is committed on it.
    fn join(&mut self, n: u8, cores: u64) {
        let name = format!("w{n}");
        let known = self.cell.scheduler.workers().into_iter();
        let cores = known
            .filter(|view| view.worker.as_str() == name)
            .map(|view| view.held.cores_milli / 1000)
            .next()
            .unwrap_or(cores);
        self.cell.join(&name, &format!("r{}", n / 2), cores);
    }

    fn run_task_step(&mut self, step: &Step) {
        match *step {
            Step::Confirm(n) => {
                let Some((task, worker)) = self.nth_placed(n) else { return };
                self.confirmed.insert(task);
                self.cell.handle(Event::TaskRunning { task, worker });
            }
            Step::NotStarted(n) => {
                let Some((task, worker)) = self.nth_placed(n) else { return };
                if !self.confirmed.contains(&task) {
                    self.cell.handle(Event::TaskNotStarted { task, worker });
                }
            }
            Step::End(n, idx) => {
                let Some((task, worker)) = self.nth_placed(n) else { return };
                let outcome = [
                    TaskOutcome::Done,
                    TaskOutcome::Failed,
                    TaskOutcome::Stopped,
                    TaskOutcome::Checkpointed,
                ][idx as usize];
                self.confirmed.remove(&task);
                self.ended.push((task, worker));
                self.cell.end(task, outcome);
            }
            Step::EndAgain(n) => self.deliver_end_again(n),
            Step::Stray(n, at) => {
                let task = TaskId::new(JobId::new(n % (self.jobs + 3)), 0);
                let worker = worker(&format!("w{at}"));
                let is_elsewhere = self
                    .cell
                    .placed
                    .get(&task)
                    .is_some_and(|place| *place != worker);
                let known = self.cell.scheduler.get_task(task);
                let is_waiting = known.is_some_and(|view| {
                    !view.state.is_final() && !view.state.is_placed()
                });
                if is_elsewhere || !is_waiting {
                    if !is_elsewhere {
                        self.confirmed.insert(task);
                    }
                    self.cell.handle(Event::TaskRunning { task, worker });
                }
            }
            Step::Usage(n, cores) => {
                let Some((task, _)) = self.nth_placed(n) else { return };
                let used = Resources::new(cores * 1000, cores * 1024, 0);
                let usages = vec![TaskUsage { task, used }];
                self.cell.handle(Event::UsageReported { usages });
            }
            _ => {}
        }
    }

    /// Delivers the end of a task a second time, unless the task is placed on
    /// the same worker again or waits.
    fn deliver_end_again(&mut self, n: usize) {
        let count = self.ended.len().max(1);
        let Some((task, worker)) = self.ended.get(n % count).cloned() else {
            return;
        };
        let is_waiting = self
            .cell
            .scheduler
            .get_task(task)
            .is_some_and(|view| !view.state.is_placed());
        if self.cell.placed.get(&task) != Some(&worker) && !is_waiting {
            let outcome = TaskOutcome::Stopped;
            self.cell.handle(Event::TaskEnded { task, worker, outcome });
        }
    }

    /// Checks that the sums for workers and teams agree with the tasks.
    fn check_sums(&self) {
        let mut workers: BTreeMap<WorkerId, Resources> = BTreeMap::new();
        let mut teams: BTreeMap<_, Resources> = BTreeMap::new();
        for view in self.cell.scheduler.tasks() {
            if !view.state.is_placed() {
                continue;
            }
            let at = view.worker.clone().unwrap();
            let sum = workers.entry(at).or_default();
            *sum = sum.plus(&view.size);
            let sum = teams.entry(view.team).or_default();
            *sum = sum.plus(&view.size);
        }
        for view in self.cell.scheduler.workers() {
            let sum = workers.get(&view.worker).copied().unwrap_or_default();
            assert_eq!(view.committed, sum, "on {}", view.worker);
        }
        for view in self.cell.scheduler.teams() {
            let sum = teams.get(&view.team).copied().unwrap_or_default();
            assert_eq!(view.running, sum, "of {}", view.team);
        }
    }

    /// Checks that every job ends once placement is resumed, all limits and
    /// holds are lifted, and a worker joins that is large enough for any task.
    fn run_to_end(&mut self) {
        self.cell.handle(Event::PlacementPaused { paused: false });
        for name in TEAMS {
            self.cell.set_allotment(name, Resources::UNLIMITED);
        }
        for n in 1..=self.jobs {
            let job = JobId::new(n);
            self.cell.handle(Event::JobHeld { job, held: false });
        }
        self.cell.join("large", "large", 100);
        for _ in 0..60 {
            self.cell.advance(30_000);
            self.cell.confirm_all();
            for task in self.cell.placed.keys().copied().collect::<Vec<_>>() {
                if self.cell.placed.contains_key(&task) {
                    self.cell.end(task, TaskOutcome::Done);
                }
            }
        }
        for view in self.cell.scheduler.jobs() {
            assert!(view.state.is_final(), "{view:?}");
        }
        let open = self.cell.checks.job_retention.open_jobs();
        assert_eq!(open.count(), 0);
    }
}

#[test]
fn invariants_hold_in_random_histories() {
    let config =
        Config { cases: 96, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[17; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..220);
    let result = runner.run(&steps, |steps| {
        let mut history = History::new();
        for step in &steps {
            history.run(step);
            history.check_sums();
        }
        history.run_to_end();
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn cancelling_stops_only_running_tasks() {
    let mut cell = Cell::new(SchedulerOptions::new());
    for n in 0..10 {
        cell.join(&format!("w{n}"), "r", 16);
    }
    cell.submit(1, job("one", "batch", 5_000, 1));
    cell.submit(2, job("two", "batch", 1, 1));
    cell.confirm_all();
    cell.handle(Event::JobCancelled { job: JobId::new(1) });
    // One stop for each running task, and none for the waiting ones.
    assert_eq!(cell.last_effects.len(), cell.running(1));
    cell.carry_out_stops();
    assert_eq!(cell.running(1), 0);
    assert_eq!(cell.running(2), 1);
    let view = cell.scheduler.get_job(JobId::new(1)).unwrap();
    assert_eq!(view.state, JobState::Cancelled);
}
