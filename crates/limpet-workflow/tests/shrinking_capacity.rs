//! Workers whose capacity shrinks and grows again while they run.

mod simulation;

use limpet_core::Resources;
use limpet_workflow::{Effect, JobKey};

use self::simulation::{Simulation, record, step};

/// Sets what a worker says of its capacity.
fn set_cores(sim: &mut Simulation, number: usize, cores_milli: u64) {
    sim.workers[number].capacity = Resources::new(cores_milli, 65_536, 0);
    let (listing, now) = (sim.listing(number), sim.now());
    sim.engine.set_listing(listing, now);
}

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
    set_cores(&mut sim, 0, 9_000);
    assert_eq!(commit(&mut sim, job), 2);
}
