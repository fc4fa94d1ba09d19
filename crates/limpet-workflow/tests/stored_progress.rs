//! Stored jobs decode to what was encoded, and their progress survives a
//! takeover.

mod simulation;

use limpet_workflow::{JobRecord, StepSpec};

use self::simulation::{Simulation, record, step};

#[test]
fn round_trip() {
    let mut sim = Simulation::new(1, 2);
    sim.run_ms(200);
    let later = StepSpec { after: vec![0], ..step(1, 1_000, 100) };
    let record = record("batch", vec![step(3, 1_000, 5_000), later]);
    let bytes = postcard::to_stdvec(&record).expect("it can be encoded");
    let read: JobRecord =
        postcard::from_bytes(&bytes).expect("it can be decoded");
    assert_eq!(read, record);
    // What limpet-entry's progress_rows decodes to what was encoded.
    let job = sim.submit(1, record);
    sim.run_ms(500);
    let (_, progress) = sim.engine.progress(job).expect("the job is known");
    assert!(progress.occurrences[&0][0].tasks[0].claim.is_some());
}

/// After a takeover, tasks in progress are not started again.
#[test]
fn runs_survive_takeover() {
    let mut sim = Simulation::new(2, 2);
    sim.run_ms(200);
    let job = sim.submit(1, record("batch", vec![step(3, 1_000, 2_000)]));
    sim.run_ms(500);
    sim.take_over();
    sim.run_ms(4_000);
    assert_eq!(sim.starts.len(), 3);
    assert!(sim.phase(job).has_ended());
    sim.assert_invariants();
}
