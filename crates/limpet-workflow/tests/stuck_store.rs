//! Start orders wait until the store has committed their claims, and are not
//! sent if they are outdated by then.

mod simulation;

use limpet_workflow::{Effect, HoldReport, JobPhase, StepSpec};

use self::simulation::{Simulation, record, step};

#[test]
fn no_start_before_commit() {
    let mut sim = Simulation::new(1, 2);
    sim.run_ms(200);
    sim.store_unavailable = true;
    let job = sim.submit(1, record("urgent", vec![step(2, 1_000, 100)]));
    sim.run_ms(2_000);
    assert_eq!(sim.starts, []);
    sim.store_unavailable = false;
    sim.run_ms(1_000);
    assert_eq!(sim.phase(job), JobPhase::Completed);
    sim.assert_invariants();
}

/// A ticket that expired while its claim waited for the commit is not used:
/// the gang requests advice again.
#[test]
fn expired_ticket() {
    let mut sim = Simulation::new(2, 2);
    sim.run_ms(200);
    let member = StepSpec { gang: true, ..step(2, 1_000, 100) };
    let job = sim.submit(1, record("gang", vec![member]));
    sim.run_ms(20);
    sim.store_unavailable = true;
    sim.run_ms(4_000);
    let before = sim.advice_requests.len();
    sim.store_unavailable = false;
    sim.run_ms(2_000);
    assert!(sim.advice_requests.len() > before);
    assert_eq!(sim.phase(job), JobPhase::Completed);
    sim.assert_invariants();
}

/// The commit of a version does not send the start orders of later claims.
#[test]
fn only_committed_claims() {
    let mut sim = Simulation::new(3, 2);
    sim.workers[1].disconnected = true;
    sim.run_ms(200);
    let job = sim.submit(1, record("urgent", vec![step(2, 9_000, 100)]));
    let now = sim.now();
    sim.engine.schedule(now);
    let first = sim.engine.progress(job).expect("the job is known").0;
    let report = HoldReport {
        clock_ms: sim.now_ms,
        incarnation: Some(1),
        ..HoldReport::default()
    };
    sim.engine.report_hold(1, report, now.steady, now);
    sim.engine.schedule(now);
    let second = sim.engine.progress(job).expect("the job is known").0;
    assert!(second > first);
    for version in [first, second] {
        sim.engine.mark_committed(job, version, now);
        let effects = sim.engine.take_effects();
        assert!(matches!(effects[..], [Effect::Start(_)]), "{effects:?}");
    }
}
