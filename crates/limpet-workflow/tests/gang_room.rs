//! Gangs get the resources that they need beside other waiting steps.

mod simulation;

use std::sync::Arc;

use limpet_core::Resources;
use limpet_workflow::{JobPhase, StepSpec};

use self::simulation::{Simulation, record, step};

fn gang(count: u32, cores_milli: u64, estimate_ms: u64) -> StepSpec {
    StepSpec { gang: true, ..step(count, cores_milli, estimate_ms) }
}

/// Guards against a deadlock: the gang had tickets for some of its members and
/// never requested advice about the other workers.
#[test]
fn advice_about_further_workers() {
    let mut sim = Simulation::new(1, 12);
    // One member fits on each worker, and advice allows every second worker.
    sim.allowed = (0..12).step_by(2).map(|n| format!("w{n}")).collect();
    sim.run_ms(200);
    let job = sim.submit(1, record("gang", vec![gang(6, 9_000, 500)]));
    sim.run_ms(20_000);
    assert!(sim.phase(job).has_ended());
    sim.assert_invariants();
}

/// Guards against a gang that waits for busy workers while others are idle:
/// advice allowed none of the first idle ones that it was asked about.
#[test]
fn advice_about_idle_workers() {
    let mut sim = Simulation::new(1, 32);
    sim.config.teams[0].limit = Resources::UNLIMITED;
    sim.config.revision += 1;
    sim.history.limits.clear();
    sim.reconfigure();
    sim.allowed = ["w0", "w1", "w30", "w31"].map(str::to_owned).to_vec();
    sim.run_ms(200);
    // Two workers are busy for long, the others for a second.
    sim.submit(2, record("urgent", vec![step(2, 12_000, 20_000)]));
    sim.run_ms(100);
    sim.submit(3, record("urgent", vec![step(30, 12_000, 1_000)]));
    sim.run_ms(100);
    let job = sim.submit(1, record("gang", vec![gang(2, 9_000, 500)]));
    sim.run_ms(1_000);
    assert_eq!(sim.phase(job), JobPhase::Queued);
    sim.run_ms(3_000);
    assert!(sim.phase(job).has_ended(), "{:?}", sim.phase(job));
    sim.assert_invariants();
}

/// Urgent tasks arrive all the time. They must not use the cores that are
/// reserved for the gang.
#[test]
fn beside_urgent_tasks() {
    let mut sim = Simulation::new(2, 6);
    sim.config.teams[0].limit = Resources::UNLIMITED;
    sim.config.revision += 1;
    sim.history.limits.clear();
    sim.engine.set_config(Arc::new(sim.config.clone()));
    sim.run_ms(200);
    let mut key = 10;
    let mut job = None;
    for number in 0..60 {
        for _ in 0..3 {
            key += 1;
            let steps = vec![step(2, 1_400, 900)];
            sim.submit(key, record("urgent", steps));
        }
        if number == 20 {
            // The gang needs nearly all cores of two workers.
            let steps = vec![gang(6, 5_000, 1_000)];
            job = Some(sim.submit(1, record("gang", steps)));
        }
        sim.run_ms(200);
    }
    let job = job.expect("the gang was submitted");
    assert!(sim.phase(job).has_ended(), "{:?}", sim.phase(job));
    sim.assert_invariants();
}

/// Tasks are preempted for a gang that lacks memory, although cores are free.
#[test]
fn memory_binds() {
    let mut sim = Simulation::new(3, 2);
    sim.run_ms(200);
    let batch = StepSpec { checkpointing: true, ..step(8, 500, 6_000) };
    let batch = StepSpec { task: Resources::new(500, 15_000, 0), ..batch };
    sim.submit(2, record("batch", vec![batch]));
    sim.run_ms(500);
    let member = StepSpec {
        task: Resources::new(1_000, 40_000, 0),
        ..gang(2, 1_000, 500)
    };
    let job = sim.submit(1, record("gang", vec![member]));
    sim.run_ms(4_000);
    assert_eq!(sim.phase(job), JobPhase::Completed);
    sim.assert_invariants();
}
