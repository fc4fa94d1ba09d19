//! What is stored of a job reads as it was written.

mod simulation;

use limpet_workflow::{JobProgress, JobRecord, StepSpec};

use self::simulation::{World, record, step};

#[test]
fn round_trip() {
    let mut world = World::new(1, 2);
    world.run_ms(200);
    let later = StepSpec { after: vec![0], ..step(1, 1_000, 100) };
    let record = record("batch", vec![step(3, 1_000, 5_000), later]);
    let bytes = postcard::to_stdvec(&record).expect("it has a form");
    let read: JobRecord = postcard::from_bytes(&bytes).expect("it reads");
    assert_eq!(read, record);
    let job = world.submit(1, record);
    world.run_ms(500);
    let (_, progress) = world.engine.progress(job).expect("it is known");
    assert!(progress.occurrences[0][0].tasks[0].claim.is_some());
    let bytes = postcard::to_stdvec(&progress).expect("it has a form");
    let read: JobProgress = postcard::from_bytes(&bytes).expect("it reads");
    assert_eq!(read, progress);
}

/// A takeover goes on with what runs.
#[test]
fn taken_over() {
    let mut world = World::new(2, 2);
    world.run_ms(200);
    let job = world.submit(1, record("batch", vec![step(3, 1_000, 2_000)]));
    world.run_ms(500);
    world.take_over();
    world.run_ms(4_000);
    assert_eq!(world.starts.len(), 3);
    assert!(world.phase(job).has_ended());
    world.assert_kept();
}
