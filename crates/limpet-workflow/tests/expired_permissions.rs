//! Orders whose permission has run out between the decision and its commit
//! are not sent.

mod simulation;

use limpet_workflow::{
    Effect, Engine, HoldReport, JobKey, MissedPoll, Moment, RunningTask,
    StartOutcome, StepSpec, Ticket,
};

use self::simulation::{Simulation, record, step};

/// How long tickets are valid in the simulation's configuration.
const TICKET_MS: u64 = 2_500;

/// Returns a cell with a job that has a claim on its only worker, with a
/// ticket, and is not committed yet.
fn claimed() -> (Simulation, JobKey) {
    let mut sim = Simulation::new(1, 1);
    sim.run_ms(200);
    let job = sim.submit(1, record("gang", vec![step(1, 1_000, 5_000)]));
    let now = sim.now();
    sim.engine.schedule(now);
    let effects = sim.engine.take_effects();
    let [Effect::RequestAdvice { ask, .. }] = effects[..] else {
        panic!("{effects:?}");
    };
    let ticket = Ticket { worker: "w0".to_owned(), ticket: "t".to_owned() };
    sim.engine.report_advice(ask, Some(vec![ticket]), now);
    sim.engine.schedule(now);
    assert_eq!(sim.engine.counts(now.steady).claims, 1);
    (sim, job)
}

/// Commits a job at `now`, and returns whether a start was ordered.
fn commit(engine: &mut Engine, job: JobKey, now: Moment) -> bool {
    let (version, _) = engine.progress(job).expect("the job is known");
    engine.mark_committed(job, version, now);
    let effects = engine.take_effects();
    effects.iter().any(|effect| matches!(effect, Effect::Start(_)))
}

/// A claim that is committed in time is started.
#[test]
fn in_time() {
    let (mut sim, job) = claimed();
    let now = sim.now();
    assert!(commit(&mut sim.engine, job, now));
}

/// Guards against starts with a ticket that expired while the store was slow.
#[test]
fn ticket_expired() {
    let (mut sim, job) = claimed();
    sim.now_ms += TICKET_MS;
    let now = sim.now();
    assert!(!commit(&mut sim.engine, job, now));
    assert_eq!(sim.engine.counts(now.steady).claims, 0);
}

/// Guards against starts on a worker that began to leave since the decision.
#[test]
fn worker_leaves() {
    let (mut sim, job) = claimed();
    let now = sim.now();
    let mut listing = sim.engine.listing(0).clone();
    listing.draining = true;
    sim.engine.set_listing(listing, now);
    assert!(!commit(&mut sim.engine, job, now));
}

/// Guards against starts on a worker that doesn't answer any more.
#[test]
fn worker_silent() {
    let (mut sim, job) = claimed();
    let now = sim.now();
    sim.engine.report_missed_hold(0, MissedPoll::NoAnswer, now);
    assert!(!commit(&mut sim.engine, job, now));
    assert_eq!(sim.engine.grant_hold(0, now.steady), None);
}

/// Guards against a ticket of one life of a worker in a start for the next.
#[test]
fn worker_restarted() {
    let (mut sim, job) = claimed();
    sim.restart_worker(0);
    let now = sim.now();
    assert!(!commit(&mut sim.engine, job, now));
}

/// Guards against work on a worker that leaves: it gets no new claim.
#[test]
fn leaving_gets_nothing() {
    let mut sim = Simulation::new(1, 1);
    sim.run_ms(200);
    let now = sim.now();
    let mut listing = sim.engine.listing(0).clone();
    listing.draining = true;
    sim.engine.set_listing(listing, now);
    let spec = StepSpec { long_running: true, ..step(1, 1_000, 500) };
    sim.submit(1, record("urgent", vec![spec]));
    sim.submit(2, record("batch", vec![step(1, 1_000, 500)]));
    sim.engine.schedule(now);
    assert_eq!(sim.engine.counts(now.steady).claims, 0);
}

/// Guards against starts of which no later owner would know: the commit of an
/// earlier version of the job doesn't contain the claim.
#[test]
fn earlier_version_committed() {
    let (mut sim, job) = claimed();
    let now = sim.now();
    let (version, _) = sim.engine.progress(job).expect("the job is known");
    sim.engine.mark_committed(job, version - 1, now);
    assert_eq!(sim.engine.take_effects(), []);
    assert!(commit(&mut sim.engine, job, now));
}

/// Guards against the reply of an earlier life of a worker, which doesn't know
/// the runs of the present one: they would be started elsewhere as well.
#[test]
fn reply_of_earlier_life() {
    let mut sim = Simulation::new(1, 1);
    sim.run_ms(200);
    sim.restart_worker(0);
    sim.run_ms(200);
    sim.submit(1, record("urgent", vec![step(1, 1_000, 5_000)]));
    sim.run_ms(200);
    assert_eq!(sim.starts.len(), 1);
    let now = sim.now();
    let earlier = HoldReport {
        clock_ms: sim.now_ms,
        incarnation: Some(1),
        running: Vec::new(),
        ended: Vec::new(),
        more_ends: false,
    };
    sim.engine.report_hold(0, earlier, now.steady, now);
    assert_eq!(sim.engine.counts(now.steady).claims, 1);
    sim.run_ms(500);
    assert_eq!(sim.starts.len(), 1, "the run goes on");
}

/// Guards against a second start of a task that runs in the new life of its
/// worker: the order reached that life before its registration reached the
/// owner.
#[test]
fn started_in_next_life() {
    let mut sim = Simulation::new(1, 2);
    sim.run_ms(200);
    let job = sim.submit(1, record("urgent", vec![step(1, 1_000, 5_000)]));
    let order = sim.order_start(job);
    let now = sim.now();
    let (task, run) = (order.task, order.run);
    sim.engine.report_start(0, task, run, StartOutcome::Running, now);
    let mut listing = sim.engine.listing(0).clone();
    listing.incarnation += 1;
    sim.engine.set_listing(listing.clone(), now);
    assert_eq!(sim.engine.counts(now.steady).claims, 1);
    // Its report shows the run.
    sim.now_ms += 100;
    let now = sim.now();
    let mut report = HoldReport {
        clock_ms: sim.now_ms,
        incarnation: Some(listing.incarnation),
        running: vec![RunningTask {
            task,
            run,
            checkpoint: String::new(),
            percent: 1.0,
            load: None,
        }],
        ended: Vec::new(),
        more_ends: false,
    };
    sim.engine.report_hold(0, report.clone(), now.steady, now);
    sim.engine.schedule(now);
    let is_stop = |effect: &Effect| matches!(effect, Effect::Stop { .. });
    assert!(!sim.engine.take_effects().iter().any(is_stop));
    assert_eq!(sim.engine.claims_of(0), [(task, run)]);
    // A later one without it shows that it is gone.
    report.running.clear();
    sim.now_ms += 100;
    let now = sim.now();
    sim.engine.report_hold(0, report, now.steady, now);
    assert_eq!(sim.engine.claims_of(0), []);
}
