//! Which changed jobs are committed first.

mod simulation;

use std::{collections::BTreeMap, sync::Arc};

use limpet_core::Resources;
use limpet_workflow::{
    CommitWait, Effect, JobKey, StartOrder, StartOutcome, StepSpec,
};

use self::simulation::{Simulation, record, step};

/// The jobs with changes in the test.
const JOBS: u64 = 400;
/// The most jobs in a commit.
const MAX_ROWS: usize = 90;
/// The commits in the test, each with the changes that follow it.
const COMMITS: u64 = 200;

/// Guards against jobs that are never committed while others change again.
#[test]
fn equal_shares() {
    let mut sim = Simulation::new(1, 40);
    sim.config.teams[0].limit = Resources::UNLIMITED;
    sim.config.revision += 1;
    sim.engine.set_config(Arc::new(sim.config.clone()));
    sim.run_ms(200);
    for key in 0..JOBS {
        // The keys of a cell are not consecutive.
        let spec = StepSpec {
            task: Resources::new(5, 10, 0),
            ..step(COMMITS as u32, 5, 1_000)
        };
        sim.submit(key * 7_919 + 1, record("urgent", vec![spec]));
    }
    let now = sim.now();
    for _ in 0..JOBS {
        sim.engine.schedule(now);
    }
    assert_eq!(sim.engine.counts(now.steady).claims as u64, JOBS * COMMITS);
    let mut commits: BTreeMap<JobKey, u64> = BTreeMap::new();
    let mut orders: BTreeMap<JobKey, Vec<StartOrder>> = BTreeMap::new();
    for _ in 0..COMMITS {
        let taken = sim.engine.take_dirty(MAX_ROWS, &|_, _| true);
        for key in &taken {
            *commits.entry(*key).or_default() += 1;
            let (version, _) =
                sim.engine.progress(*key).expect("the job is known");
            sim.engine.mark_committed(*key, version, now);
        }
        for effect in sim.engine.take_effects() {
            if let Effect::Start(order) = effect {
                orders.entry(order.task.step.job).or_default().push(order);
            }
        }
        // A refused start changes a job again right after its commit.
        for key in &taken {
            let order = orders.get_mut(key).and_then(Vec::pop);
            let order = order.expect("an order is left");
            sim.engine.report_start(
                order.worker,
                order.task,
                order.run,
                StartOutcome::Refused,
                now,
            );
        }
    }
    let share = COMMITS * MAX_ROWS as u64 / JOBS;
    let fewest = (0..JOBS)
        .map(|key| commits.get(&JobKey(key * 7_919 + 1)).copied().unwrap_or(0))
        .min()
        .expect("there are jobs");
    assert!(
        fewest >= share,
        "a job had {fewest} commits; an equal share is {share}"
    );
}

/// Submits jobs of one task each.
fn changed_jobs(
    sim: &mut Simulation,
    queue: &str,
    keys: std::ops::Range<u64>,
) {
    for key in keys {
        let spec =
            StepSpec { task: Resources::new(5, 10, 0), ..step(1, 5, 60_000) };
        sim.submit(key, record(queue, vec![spec]));
    }
}

/// A slow store takes few rows while many batch jobs wait: guards against
/// urgent claims that wait behind all of them, and against batch jobs that are
/// left out for good.
#[test]
fn urgent_first() {
    let mut sim = Simulation::new(2, 40);
    sim.run_ms(200);
    changed_jobs(&mut sim, "batch", 1..61);
    let now = sim.now();
    sim.engine.schedule(now);
    changed_jobs(&mut sim, "urgent", 101..105);
    sim.engine.schedule(now);
    let taken = sim.engine.take_dirty(8, &|_, _| true);
    let urgent = taken.iter().filter(|key| key.0 > 100).count();
    assert_eq!((taken.len(), urgent), (8, 4), "{taken:?}");
    let first: Vec<u64> = taken.iter().take(2).map(|key| key.0).collect();
    assert_eq!(first, [1, 2], "the oldest have a share");
}

/// A job that doesn't fit in a transaction is taken back: guards against its
/// start orders counting as awaited by nobody from then on.
#[test]
fn taken_back() {
    let mut sim = Simulation::new(4, 2);
    sim.run_ms(200);
    changed_jobs(&mut sim, "urgent", 1..2);
    let now = sim.now();
    sim.engine.schedule(now);
    let is_awaited = |_, wait| wait == CommitWait::Urgent;
    assert_eq!(sim.engine.take_dirty(1, &is_awaited), [JobKey(1)]);
    sim.engine.return_dirty(JobKey(1));
    assert_eq!(sim.engine.take_dirty(1, &is_awaited), [JobKey(1)]);
}

/// Guards against starts that wait for the commit of ends, which nobody waits
/// for: workers repeat them.
#[test]
fn ends_last() {
    let mut sim = Simulation::new(3, 40);
    sim.run_ms(200);
    let ending =
        StepSpec { task: Resources::new(5, 10, 0), ..step(2, 5, 60_000) };
    for key in 1..21 {
        sim.submit(key, record("urgent", vec![ending.clone()]));
    }
    sim.run_ms(300);
    sim.store_unavailable = true;
    let task = |key: u64| -> limpet_workflow::TaskKey {
        format!("{key:016x}.0.0.0").parse().expect("a task")
    };
    assert!((1..21).all(|key| sim.fail_run(task(key))));
    sim.config.teams[0].limit = Resources::ZERO;
    sim.config.revision += 1;
    sim.engine.set_config(Arc::new(sim.config.clone()));
    sim.run_ms(300);
    sim.config.teams[0].limit = Resources::UNLIMITED;
    sim.config.revision += 1;
    sim.engine.set_config(Arc::new(sim.config.clone()));
    changed_jobs(&mut sim, "batch", 101..103);
    let now = sim.now();
    let is_awaited = |_, wait| wait < CommitWait::Nobody;
    assert!(!sim.engine.has_dirty(&is_awaited), "only ends have changed");
    assert!(sim.engine.has_dirty(&|_, _| true));
    let batch = JobKey(101);
    for _ in 0..10 {
        sim.engine.schedule(now);
    }
    let taken = sim.engine.take_dirty(30, &is_awaited);
    assert!(taken.contains(&batch), "{taken:?}");
}
