//! Tasks that last run again soon after they end, however full the cell is.

mod simulation;

use std::sync::Arc;

use limpet_workflow::{
    AdvicePolicy, JobKey, StepKey, StepSpec, TaskKey, WaitCause,
};

use self::simulation::{Simulation, advised_cell, record, step};

/// A task that lasts has to run again within this time, where a worker has
/// room for it.
const MAX_AWAY_MS: u64 = 3_000;
/// The number of workers.
const WORKERS: usize = 40;
/// The job of tasks that last.
const SERVICE: u64 = 1;
/// The number of its tasks.
const SERVICE_TASKS: u32 = 8;

/// Returns a cell without limits in which all queues need advice, and of
/// which advice allows every second worker.
fn service_cell() -> Simulation {
    let advice =
        AdvicePolicy { decide_ms: 20.0, per_worker_ms: 0.3, valid_ms: 2_500 };
    let mut sim = advised_cell(1, WORKERS, advice, 7);
    sim.allowed = (0..WORKERS).step_by(2).map(|n| format!("w{n}")).collect();
    sim
}

/// Submits the job of tasks that last.
fn submit_service(sim: &mut Simulation) -> JobKey {
    let spec = StepSpec { long_running: true, ..lasting_step() };
    sim.submit(SERVICE, record("gang", vec![spec]))
}

fn lasting_step() -> StepSpec {
    step(SERVICE_TASKS, 6_000, 300)
}

/// Returns a task of the service.
fn service_task(index: u32) -> TaskKey {
    StepKey { job: JobKey(SERVICE), occurrence: 0, step: 0 }.task(index)
}

/// Submits batch jobs for `ms`, a little more than the cell can run.
fn run_loaded(sim: &mut Simulation, next_key: &mut u64, ms: u64) {
    for _ in 0..ms / 100 {
        submit_batch(sim, next_key);
        sim.run_ms(100);
    }
}

/// Submits a tenth of a second's load: of the 272 allowed cores beside the
/// service 300 are wanted, a third of them by urgent jobs.
fn submit_batch(sim: &mut Simulation, next_key: &mut u64) {
    for number in 0..3 {
        *next_key += 1;
        let queue = if number == 0 { "urgent" } else { "batch" };
        sim.submit(*next_key, record(queue, vec![step(4, 2_500, 1_000)]));
    }
}

/// Returns how long a task of the service is away after its run has failed,
/// at most four times [`MAX_AWAY_MS`]. Each tenth of a second is `load`.
fn away_ms(
    sim: &mut Simulation,
    index: u32,
    mut load: impl FnMut(&mut Simulation),
) -> u64 {
    let task = service_task(index);
    assert!(sim.fail_run(task), "{task} runs");
    let mut away_ms = 0;
    while !sim.is_running(task) && away_ms < 4 * MAX_AWAY_MS {
        if away_ms.is_multiple_of(100) {
            load(sim);
        }
        sim.run_ms(simulation::TICK_MS);
        away_ms += simulation::TICK_MS;
    }
    away_ms
}

/// Guards against tasks that last and stay away for as long as a backlog of
/// jobs that still earn lasts: an objective that is past for good put them
/// behind all others.
#[test]
fn restarts_under_load() {
    let mut sim = service_cell();
    submit_service(&mut sim);
    sim.run_ms(1_000);
    let mut next_key = 1_000;
    // Three times the objective of the service's job is past then.
    run_loaded(&mut sim, &mut next_key, 12_000);
    for index in 0..SERVICE_TASKS {
        let away_ms =
            away_ms(&mut sim, index, |sim| submit_batch(sim, &mut next_key));
        assert!(away_ms < MAX_AWAY_MS, "task {index} is away {away_ms} ms");
    }
    sim.assert_invariants();
}

/// Guards against tasks that last and wait for the end of longer batch tasks
/// that fill the cell.
#[test]
fn restarts_in_full_cell() {
    let mut sim = service_cell();
    submit_service(&mut sim);
    sim.run_ms(1_000);
    for key in 0..300 {
        let spec = step(4, 2_500, 60_000);
        sim.submit(1_000 + key, record("batch", vec![spec]));
    }
    sim.run_ms(12_000);
    let mut next_key = 10_000;
    let away_ms = away_ms(&mut sim, 0, |sim| submit_batch(sim, &mut next_key));
    assert!(away_ms < MAX_AWAY_MS, "the task is away {away_ms} ms");
    sim.assert_invariants();
}

/// Guards against tasks of a job beyond its team's rate that are passed over
/// for as long as other jobs wait.
#[test]
fn restarts_of_excess_job() {
    let mut sim = service_cell();
    // Advice is no bottleneck, so that other jobs take all cores.
    sim.engine.set_advice_concurrency(100);
    sim.config.teams.push(limpet_workflow::TeamConfig {
        name: "flooding".to_owned(),
        weight: 1.0,
        ..sim.config.teams[0].clone()
    });
    sim.config.revision += 1;
    sim.engine.set_config(Arc::new(sim.config.clone()));
    for key in 0..4 {
        let spec = step(1, 1_000, 100);
        let mut flood = record("batch", vec![spec]);
        flood.team = "flooding".to_owned();
        sim.submit(100 + key, flood);
    }
    let spec = StepSpec { long_running: true, ..lasting_step() };
    let mut service = record("gang", vec![spec]);
    service.team = "flooding".to_owned();
    let service = sim.submit(SERVICE, service);
    assert!(sim.engine.is_excess(service));
    sim.run_ms(1_000);
    let mut next_key = 1_000;
    run_loaded(&mut sim, &mut next_key, 12_000);
    // They keep some value for longer than the task may be away.
    for _ in 0..200 {
        next_key += 1;
        sim.submit(next_key, record("batch", vec![step(4, 2_500, 1_000)]));
    }
    let away_ms = away_ms(&mut sim, 0, |sim| submit_batch(sim, &mut next_key));
    assert!(away_ms < MAX_AWAY_MS, "the task is away {away_ms} ms");
    sim.assert_invariants();
}

/// Guards against tasks that last and wait for good while the only free cores
/// are the headroom for urgent work.
#[test]
fn restarts_in_headroom() {
    let mut sim = service_cell();
    sim.allowed.clear();
    submit_service(&mut sim);
    sim.run_ms(1_000);
    // Urgent work takes all but some 4% of the cores.
    for (key, cores_milli, count) in
        [(100, 9_500, 36), (101, 6_000, 36), (102, 3_000, 4)]
    {
        let spec = step(count, cores_milli, 60_000);
        sim.submit(key, record("urgent", vec![spec]));
        sim.run_ms(1_000);
    }
    let running = sim.workers.iter().map(|worker| worker.runs.len());
    assert_eq!(running.sum::<usize>(), 36 + 36 + 4 + 8);
    let away_ms = away_ms(&mut sim, 0, |_| {});
    assert!(away_ms < MAX_AWAY_MS, "the task is away {away_ms} ms");
    sim.assert_invariants();
}

/// Guards against tasks that last and are away without a word of it: since
/// when, how many, and why.
#[test]
fn away_is_reported() {
    let mut sim = service_cell();
    let spec = StepSpec {
        required_label: Some("none".to_owned()),
        long_running: true,
        ..lasting_step()
    };
    let job = sim.submit(SERVICE, record("gang", vec![spec]));
    sim.run_ms(2_000);
    let away = sim.engine.lasting_away(sim.now().steady, 1_500);
    let [away] = away[..] else { panic!("{away:?}") };
    assert_eq!((away.step.job, away.tasks), (job, SERVICE_TASKS as usize));
    assert_eq!(away.cause, Some(WaitCause::Room));
    let now = sim.now();
    sim.engine.cancel_job(job, now);
    assert_eq!(sim.engine.lasting_away(now.steady, 0), []);
}
