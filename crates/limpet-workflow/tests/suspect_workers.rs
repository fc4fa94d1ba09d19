//! Workers that were found slow or failing get trials, whatever lasts on them.

mod simulation;

use limpet_workflow::{
    JobKey, JobPhase, JobRecord, StepKey, StepSpec, StopReason, TaskKey,
};

use self::simulation::{Simulation, record, step};

/// The label of the only worker that may run these jobs.
const LABEL: &str = "b";
const LASTING: JobKey = JobKey(1);
/// The users' bound on the time until waiting work is asked for
/// (`finish_s`).
const FINISH_MS: u64 = 14_000;

fn labelled(spec: StepSpec) -> JobRecord {
    let required_label = Some(LABEL.to_owned());
    record("urgent", vec![StepSpec { required_label, ..spec }])
}

fn lasting(count: u32) -> JobRecord {
    labelled(StepSpec { long_running: true, ..step(count, 1_000, 0) })
}

fn task(job: JobKey, index: u32) -> TaskKey {
    StepKey { job, occurrence: 0, step: 0 }.task(index)
}

/// Returns a cell in which one of three workers has the label and runs a task
/// that lasts.
fn cell(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 3);
    sim.workers[0].labels = vec![LABEL.to_owned()];
    sim.reconfigure();
    sim.run_ms(10_000);
    sim.submit(LASTING.0, lasting(1));
    sim.run_ms(300);
    assert!(sim.is_running(task(LASTING, 0)));
    sim
}

/// Lets the labelled worker be found slow by the runs of two jobs, and be sound
/// again.
fn slow_down(sim: &mut Simulation) -> [JobKey; 2] {
    let jobs =
        [2, 3].map(|key| sim.submit(key, labelled(step(3, 1_000, 4_000))));
    sim.run_ms(500);
    sim.workers[0].stalled = true;
    sim.run_ms(7_000);
    let is_moved =
        |stop: &&(u64, TaskKey, StopReason)| stop.2 == StopReason::SlowWorker;
    assert!(sim.stops.iter().filter(is_moved).count() >= 6);
    sim.workers[0].stalled = false;
    jobs
}

/// Guards against jobs that never start again: their worker was slow for some
/// seconds and hosts a task that lasts, so that it never was without claims.
#[test]
fn slow_beside_lasting() {
    let mut sim = cell(1);
    let jobs = slow_down(&mut sim);
    sim.run_ms(FINISH_MS);
    for job in jobs {
        assert!(sim.phase(job).has_ended(), "{job}");
    }
    // It counts as sound again.
    let usable = sim.engine.counts(sim.now().steady).usable_workers;
    assert_eq!(usable, 3);
    sim.assert_invariants();
}

/// Guards against the same on a worker on which runs of several jobs have
/// failed.
#[test]
fn failing_beside_lasting() {
    let mut sim = cell(5);
    for key in [2, 3] {
        sim.submit(key, labelled(step(1, 1_000, 4_000)));
    }
    sim.run_ms(300);
    for key in [2, 3] {
        assert!(sim.fail_run(task(JobKey(key), 0)));
    }
    sim.run_ms(FINISH_MS);
    for job in [JobKey(2), JobKey(3)] {
        assert_eq!(sim.phase(job), JobPhase::Completed);
    }
    sim.assert_invariants();
}

/// Guards against tasks that last and are never started on such a worker, and
/// against many of them at once on a worker that may still be slow: they don't
/// tell whether it is.
#[test]
fn lasting_on_suspect() {
    let mut sim = cell(1);
    let jobs = slow_down(&mut sim);
    let now = sim.now();
    for job in jobs {
        assert!(sim.engine.cancel_job(job, now));
    }
    let starts = sim.starts.len();
    sim.submit(4, lasting(3));
    // Shorter than two of them are apart.
    sim.run_ms(2_000);
    assert!(sim.starts.len() - starts <= 1);
    sim.run_ms(FINISH_MS);
    assert_eq!(sim.starts.len() - starts, 3);
    sim.assert_invariants();
}
