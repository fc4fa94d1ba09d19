//! Workers behind a cut that drops orders, while answers to earlier polls
//! still arrive.

mod simulation;

use limpet_core::TimeMs;
use limpet_workflow::{
    Effect, Engine, HoldReport, JobKey, Moment, StartOrder, StartOutcome,
};

use self::simulation::{Simulation, record, step};

/// Commits all claims, and returns the start orders.
fn orders(
    engine: &mut Engine,
    jobs: &[JobKey],
    now: Moment,
) -> Vec<StartOrder> {
    engine.schedule(now);
    for job in jobs {
        if let Some((version, _)) = engine.progress(*job) {
            engine.mark_committed(*job, version, now);
        }
    }
    let starts = engine.take_effects().into_iter();
    starts
        .filter_map(|effect| match effect {
            Effect::Start(order) => Some(order),
            _ => None,
        })
        .collect()
}

/// Returns a cell of one worker, with three jobs of which the first two have
/// start orders.
fn two_orders() -> (Simulation, Vec<JobKey>, Vec<StartOrder>) {
    let mut sim = Simulation::new(1, 1);
    sim.run_ms(200);
    let spec = || vec![step(1, 1_000, 5_000)];
    let mut jobs = vec![
        sim.submit(1, record("urgent", spec())),
        sim.submit(2, record("urgent", spec())),
    ];
    let now = sim.now();
    let orders = orders(&mut sim.engine, &jobs, now);
    assert_eq!(orders.len(), 2);
    jobs.push(sim.submit(3, record("urgent", spec())));
    (sim, jobs, orders)
}

/// Reports on an order, and drops the order that is sent again.
fn report(sim: &mut Simulation, order: &StartOrder, outcome: StartOutcome) {
    let now = sim.now();
    sim.engine.report_start(0, order.task, order.run, outcome, now);
    sim.engine.take_effects();
}

fn poll(sim: &mut Simulation, sent_at: TimeMs) {
    let now = sim.now();
    let report = HoldReport {
        clock_ms: sim.now_ms,
        incarnation: Some(1),
        running: Vec::new(),
        ended: Vec::new(),
        more_ends: false,
    };
    sim.engine.report_hold(0, report, sent_at, now);
    sim.engine.take_effects();
}

/// Guards against tasks that are ordered one after another at a worker which
/// receives none: each is away until its hold has expired.
#[test]
fn no_third_order() {
    let (mut sim, jobs, sent) = two_orders();
    let polled_at = sim.now().steady;
    sim.now_ms += 350;
    report(&mut sim, &sent[0], StartOutcome::Unknown);
    report(&mut sim, &sent[1], StartOutcome::Unknown);
    // The answer to a poll that was sent before them says nothing.
    poll(&mut sim, polled_at);
    let now = sim.now();
    assert!(orders(&mut sim.engine, &jobs, now).is_empty());
    // A later one does.
    sim.now_ms += 100;
    let polled_at = sim.now().steady;
    sim.now_ms += 10;
    poll(&mut sim, polled_at);
    let now = sim.now();
    let third = orders(&mut sim.engine, &jobs, now);
    assert!(third.iter().any(|order| order.task.step.job == jobs[2]));
}

/// Guards against a worker that gets nothing because single answers are lost.
#[test]
fn single_answers_lost() {
    let (mut sim, jobs, sent) = two_orders();
    sim.now_ms += 350;
    report(&mut sim, &sent[0], StartOutcome::Unknown);
    report(&mut sim, &sent[1], StartOutcome::Running);
    let now = sim.now();
    let third = orders(&mut sim.engine, &jobs, now);
    assert!(third.iter().any(|order| order.task.step.job == jobs[2]));
}
