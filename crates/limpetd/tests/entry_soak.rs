//! A randomized soak of entry instances as processes: signals, restarts,
//! faults of the store and of workers in series and overlapping, while jobs
//! arrive. The promises are checked on what callers and workers see.
//!
//! CI plays seed 1. By hand, `LIMPET_SOAK_SEEDS=1-50 cargo test -p limpetd
//! --test entry_soak` plays these.

mod entries;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use limpet_standin::user_platform::{StoreFault, UserPlatform};
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::entries::{KEY, TestCell, config, job, wait_for};

/// The number of entry instances.
const INSTANCES: usize = 3;
/// The number of workers.
const WORKERS: usize = 3;
/// The jobs that arrive, one each [`GAP_MS`].
const JOBS: u64 = 120;
/// The time between two jobs.
const GAP_MS: u64 = 80;
/// The jobs, by number, whose tasks crash the workers that start them.
const DEADLY: [u64; 2] = [30, 80];
/// The most crashes under a task: the platform allows two starts after three.
const MAX_CRASHES: usize = 5;
/// The tries of a client whose submission got no final answer.
const MAX_TRIES: u32 = 4;
/// The variable with the first and the last seed.
const SEEDS_VARIABLE: &str = "LIMPET_SOAK_SEEDS";

/// What a client knows of its job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Known {
    /// An instance answered that it is accepted.
    Accepted,
    /// All answers said that it isn't accepted and never runs.
    Refused,
    /// An answer was lost, or said that the outcome is unknown.
    Unknown,
}

/// The state of the faults.
struct Soak {
    cell: TestCell,
    rng: ChaCha8Rng,
    /// The instances that are stopped by SIGSTOP.
    paused: BTreeSet<usize>,
    revision: u64,
}

/// Returns the id of a job of a play.
fn job_id(seed: u64, number: u64) -> String {
    format!("{:016x}", seed * 0x10_000 + number)
}

impl Soak {
    fn start(seed: u64) -> Soak {
        let cell = TestCell::start(&format!("soak-{seed}"), INSTANCES);
        for number in 0..WORKERS {
            let mut runner = cell.platform.runner(number);
            runner.run_time_ms = 250;
            runner.deadly_jobs.extend(DEADLY.map(|n| job_id(seed, n)));
        }
        Soak {
            cell,
            rng: ChaCha8Rng::seed_from_u64(seed),
            paused: BTreeSet::new(),
            revision: 1,
        }
    }

    /// Injects a fault or ends some, each with some probability.
    fn inject(&mut self) {
        let instance = self.rng.random_range(0..INSTANCES);
        let worker = self.rng.random_range(0..WORKERS);
        match self.rng.random_range(0..40) {
            0 => {
                self.paused.remove(&instance);
                self.cell.entries[instance].restart();
            }
            1 if self.paused.len() + 1 < INSTANCES => {
                self.paused.insert(instance);
                self.cell.entries[instance].signal(Signal::SIGSTOP);
            }
            2 if !self.paused.contains(&instance) => {
                self.cell.entries[instance].signal(Signal::SIGTERM);
                thread::sleep(Duration::from_millis(200));
                self.cell.entries[instance].restart();
            }
            3 => self.set_store_fault(StoreFault::Busy),
            4 => self.set_store_fault(StoreFault::Silent),
            5 => self.set_store_fault(StoreFault::LosesAnswers),
            6 => self.cell.platform.set_alternate_store_fails(true),
            7 => self.cell.platform.restart_runner(worker),
            8 => self.cell.platform.runner(worker).late_starts = 3,
            9 => self.cell.platform.runner(worker).unanswered_holds = 2,
            10 => self.cell.platform.store().drop_history(),
            11 => {
                self.revision += 1;
                self.cell.platform.configure(&config(self.revision, &[KEY]));
            }
            12..18 => self.heal(),
            _ => {}
        }
    }

    fn set_store_fault(&self, fault: StoreFault) {
        self.cell.platform.store().fault = fault;
    }

    /// Ends all faults that last.
    fn heal(&mut self) {
        self.set_store_fault(StoreFault::None);
        self.cell.platform.set_alternate_store_fails(false);
        for instance in std::mem::take(&mut self.paused) {
            self.cell.entries[instance].signal(Signal::SIGCONT);
        }
    }

    /// Submits a job as a client does: again at another instance after no
    /// answer or a refusal.
    fn submit(&mut self, id: &str) -> Known {
        let mut known = Known::Refused;
        for _ in 0..MAX_TRIES {
            let running: Vec<usize> = (0..INSTANCES)
                .filter(|instance| !self.paused.contains(instance))
                .collect();
            let at = running[self.rng.random_range(0..running.len())];
            match self.cell.submit(at, id, &job(2)) {
                200 => return Known::Accepted,
                429 | 503 => {}
                _ => known = Known::Unknown,
            }
        }
        known
    }
}

impl Soak {
    /// Returns the number of crashes under each deadly task.
    fn crashes(&self, seed: u64) -> BTreeMap<String, usize> {
        let deadly = DEADLY.map(|number| job_id(seed, number));
        let mut crashes = BTreeMap::new();
        for number in 0..WORKERS {
            let lost = self.cell.platform.runner(number).crashes.concat();
            let is_deadly =
                |task: &String| deadly.iter().any(|job| task.starts_with(job));
            for task in lost.into_iter().filter(is_deadly) {
                *crashes.entry(task).or_default() += 1;
            }
        }
        crashes
    }

    /// Returns what the logs and the workers tell of a task.
    fn story(&self, task: &str) -> String {
        let lines = self.cell.entries.iter().enumerate();
        let mut story: Vec<String> = lines
            .flat_map(|(number, entry)| {
                let log = entry.log();
                let lines = log.lines().filter(|line| line.contains(task));
                lines
                    .map(|line| format!("{number} {line}"))
                    .collect::<Vec<_>>()
            })
            .collect();
        let starts = self.cell.platform.starts();
        let own = starts.iter().filter(|start| start.task == task);
        story.extend(own.map(|start| format!("{start:?}")));
        story.join("\n")
    }
}

/// Looks at all workers at once until told to stop, and returns the tasks that
/// ran in two places.
fn watch(platform: &UserPlatform, stop: &AtomicBool) -> BTreeSet<String> {
    let mut doubled = BTreeSet::new();
    while !stop.load(Ordering::SeqCst) {
        let mut workers: Vec<_> =
            (0..WORKERS).map(|number| platform.runner(number)).collect();
        let mut seen = BTreeSet::new();
        for worker in &mut workers {
            for task in worker.running_now() {
                if !seen.insert(task.clone()) {
                    doubled.insert(task);
                }
            }
        }
        drop(workers);
        thread::sleep(Duration::from_millis(5));
    }
    doubled
}

fn play(seed: u64) {
    let mut soak = Soak::start(seed);
    let stop = Arc::new(AtomicBool::new(false));
    let platform = soak.cell.platform.clone();
    let stopped = Arc::clone(&stop);
    let watcher = thread::spawn(move || watch(&platform, &stopped));
    let mut jobs = Vec::new();
    for number in 1..=JOBS {
        soak.inject();
        let id = job_id(seed, number);
        jobs.push((id.clone(), soak.submit(&id)));
        thread::sleep(Duration::from_millis(GAP_MS));
    }
    soak.heal();
    let accepted = |known: &Known| *known == Known::Accepted;
    for (id, _) in jobs.iter().filter(|(_, known)| accepted(known)) {
        let is_deadly = DEADLY.map(|n| job_id(seed, n)).contains(id);
        let end = if is_deadly { "failed" } else { "completed" };
        wait_for(&format!("seed {seed}: {id} {end}"), || {
            let at = (0..INSTANCES).find_map(|at| soak.cell.state(at, id));
            at.as_deref() == Some(end)
        });
    }
    stop.store(true, Ordering::SeqCst);
    let doubled = watcher.join().expect("the watcher ends");
    if let Some(task) = doubled.first() {
        panic!("seed {seed}: {task} in two places\n{}", soak.story(task));
    }
    for (task, crashes) in soak.crashes(seed) {
        assert!(
            crashes <= MAX_CRASHES,
            "seed {seed}: {crashes} crashes under {task}\n{}",
            soak.story(&task)
        );
    }
    let started: BTreeSet<String> = soak
        .cell
        .platform
        .starts()
        .iter()
        .filter_map(|start| start.task.split('.').next().map(str::to_owned))
        .collect();
    for (id, known) in &jobs {
        let ran_refused = *known == Known::Refused && started.contains(id);
        assert!(!ran_refused, "seed {seed}: {id} was refused and ran");
    }
    let count = jobs.iter().filter(|(_, known)| accepted(known)).count();
    println!("seed {seed}: {count} of {JOBS} jobs accepted");
    assert!(count > 0, "seed {seed}: nothing was accepted");
}

/// Guards against broken promises under faults that nobody thought of
/// together: accepted work that is lost, work in two places, refused work that
/// runs, and work that crashes worker after worker.
#[test]
fn promises_hold() {
    let text =
        std::env::var(SEEDS_VARIABLE).unwrap_or_else(|_| "1-1".to_owned());
    let (first, last) = text.split_once('-').expect("FIRST-LAST");
    let seed = |text: &str| text.parse::<u64>().expect("a seed");
    for seed in seed(first)..=seed(last) {
        play(seed);
    }
}
