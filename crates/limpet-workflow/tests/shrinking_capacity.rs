//! Workers whose capacity shrinks and grows again while they run.

mod simulation;

use limpet_workflow::{Effect, JobKey, JobPhase, StartOutcome};

use self::simulation::{Simulation, record, step};

/// Commits a job now, and returns the number of starts that are ordered.
fn commit(sim: &mut Simulation, job: JobKey) -> usize {
    let now = sim.now();
    let (version, _) = sim.engine.progress(job).expect("the job is known");
    sim.engine.mark_committed(job, version, now);
    let effects = sim.engine.take_effects();
    let starts = effects.iter().filter(|e| matches!(e, Effect::Start(_)));
    starts.count()
}

/// Guards against starts that were decided before the capacity shrank and are
/// ordered after that (LIMIT).
#[test]
fn shrunk_before_commit() {
    let mut sim = Simulation::new(1, 1);
    sim.run_ms(200);
    let job = sim.submit(1, record("urgent", vec![step(4, 4_000, 5_000)]));
    let now = sim.now();
    sim.engine.schedule(now);
    assert_eq!(sim.engine.counts(now.steady).claims, 4);
    sim.set_cores(0, 9_000);
    assert_eq!(commit(&mut sim, job), 2);
}

/// Guards against an order that is sent again, since it had no answer, when
/// its worker has no room any more.
#[test]
fn shrunk_before_answer() {
    let mut sim = Simulation::new(2, 1);
    sim.run_ms(200);
    let job = sim.submit(1, record("urgent", vec![step(1, 4_000, 5_000)]));
    let order = sim.order_start(job);
    sim.set_cores(0, 3_000);
    let (task, run, now) = (order.task, order.run, sim.now());
    sim.engine.report_start(0, task, run, StartOutcome::Unknown, now);
    let effects = sim.engine.take_effects();
    assert!(matches!(effects[..], [Effect::Stop { .. }]), "{effects:?}");
}

/// Guards against room that runs which are being stopped still take: the
/// capacity shrinks meanwhile, and grows again.
#[test]
fn stops_still_count() {
    let mut sim = Simulation::new(3, 1);
    sim.run_ms(200);
    let first = sim.submit(1, record("urgent", vec![step(4, 4_000, 9_000)]));
    sim.run_ms(500);
    assert_eq!(sim.workers[0].runs.len(), 4);
    sim.set_cores(0, 8_000);
    let now = sim.now();
    sim.engine.cancel_job(first, now);
    sim.submit(2, record("urgent", vec![step(2, 4_000, 5_000)]));
    sim.engine.schedule(now);
    assert_eq!(sim.engine.counts(now.steady).claims, 4, "only the stopped");
    sim.run_ms(500);
    assert_eq!(sim.workers[0].runs.len(), 2);
    sim.set_cores(0, 16_000);
    sim.submit(3, record("urgent", vec![step(2, 4_000, 500)]));
    sim.run_ms(200);
    assert_eq!(sim.workers[0].runs.len(), 4);
    sim.assert_invariants();
}

/// Guards against jobs that are given up or started where no worker is large
/// enough for a while: they wait until one has grown again.
#[test]
fn waits_until_grown() {
    let mut sim = Simulation::new(4, 2);
    sim.run_ms(200);
    sim.set_cores(0, 6_000);
    sim.set_cores(1, 6_000);
    let job = sim.submit(1, record("batch", vec![step(2, 10_000, 500)]));
    sim.run_ms(10_000);
    assert_eq!(sim.phase(job), JobPhase::Queued);
    assert!(sim.starts.is_empty());
    sim.set_cores(1, 16_000);
    sim.run_ms(3_000);
    assert_eq!(sim.phase(job), JobPhase::Completed);
    sim.assert_invariants();
}
