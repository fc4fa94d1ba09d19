//! Waiting steps are counted by cause.

mod simulation;

use limpet_core::Resources;
use limpet_workflow::WaitCause;

use self::simulation::{Simulation, record, step};

#[test]
fn by_quota() {
    let mut sim = Simulation::new(1, 4);
    sim.config.teams[0].limit = Resources::new(3_000, 1_000_000, 0);
    sim.engine.set_config(sim.config.clone().into());
    sim.run_ms(200);
    sim.submit(1, record("urgent", vec![step(5, 1_000, 1_000)]));
    sim.submit(2, record("batch", vec![step(1, 1_000, 1_000)]));
    sim.run_ms(100);
    let counts = sim.engine.wait_counts();
    assert_eq!(counts.get(0, WaitCause::Quota), 1);
    assert_eq!(counts.get(2, WaitCause::Quota), 1);
    assert_eq!(counts.to_string(), "0 quota 1, 2 quota 1");
}

#[test]
fn by_room_and_headroom() {
    let mut sim = Simulation::new(1, 1);
    sim.run_ms(200);
    sim.submit(1, record("batch", vec![step(20, 1_000, 1_000)]));
    sim.run_ms(100);
    let counts = sim.engine.wait_counts().to_string();
    assert_eq!(counts, "2 headroom 1");
    sim.submit(2, record("urgent", vec![step(2, 9_000, 1_000)]));
    sim.run_ms(5);
    assert_eq!(sim.engine.wait_counts().get(0, WaitCause::Room), 1);
}

#[test]
fn by_advice_and_gathering() {
    let mut sim = Simulation::new(1, 2);
    sim.run_ms(200);
    let gang =
        limpet_workflow::StepSpec { gang: true, ..step(4, 4_500, 1_000) };
    sim.submit(1, record("gang", vec![gang]));
    sim.submit(2, record("gang", vec![step(1, 1_000, 1_000)]));
    sim.run_ms(10);
    let counts = sim.engine.wait_counts().to_string();
    assert_eq!(counts, "1 advice 1, 1 gathering 1");
    sim.run_ms(200);
    assert_eq!(sim.engine.wait_counts().to_string(), "");
}
