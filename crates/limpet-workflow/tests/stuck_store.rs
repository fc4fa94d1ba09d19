//! Starts wait for the store, and aren't sent once they are outdated.

mod simulation;

use limpet_workflow::{Effect, HoldReport, JobPhase, StepSpec};

use self::simulation::{World, record, step};

#[test]
fn no_start_before_commit() {
    let mut world = World::new(1, 2);
    world.run_ms(200);
    world.store_down = true;
    let job = world.submit(1, record("urgent", vec![step(2, 1_000, 100)]));
    world.run_ms(2_000);
    assert_eq!(world.starts, []);
    world.store_down = false;
    world.run_ms(1_000);
    assert_eq!(world.phase(job), JobPhase::Completed);
    world.assert_kept();
}

/// A ticket that ran out while the claim waited is not sent: the gang asks
/// anew.
#[test]
fn outdated_ticket() {
    let mut world = World::new(2, 2);
    world.run_ms(200);
    let member = StepSpec { gang: true, ..step(2, 1_000, 100) };
    let job = world.submit(1, record("gang", vec![member]));
    world.run_ms(20);
    world.store_down = true;
    world.run_ms(4_000);
    let asked = world.asks.len();
    world.store_down = false;
    world.run_ms(2_000);
    assert!(world.asks.len() > asked);
    assert_eq!(world.phase(job), JobPhase::Completed);
    world.assert_kept();
}

/// The commit of an earlier version sends no later claim.
#[test]
fn only_committed_claims() {
    let mut world = World::new(3, 2);
    world.workers[1].cut = true;
    world.run_ms(200);
    let job = world.submit(1, record("urgent", vec![step(2, 9_000, 100)]));
    let now = world.now();
    world.engine.schedule(now);
    let first = world.engine.progress(job).expect("it is known").0;
    let report = HoldReport {
        clock_ms: world.now_ms,
        incarnation: Some(1),
        ..HoldReport::default()
    };
    world.engine.report_hold(1, report, now.steady, now);
    world.engine.schedule(now);
    let second = world.engine.progress(job).expect("it is known").0;
    assert!(second > first);
    for version in [first, second] {
        world.engine.mark_committed(job, version, now);
        let effects = world.engine.take_effects();
        assert!(matches!(effects[..], [Effect::Start(_)]), "{effects:?}");
    }
}
