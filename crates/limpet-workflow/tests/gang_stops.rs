//! What it costs to stop a gang of the largest size that is accepted, after a
//! claim of one of its members is sent back or lost.

mod simulation;

use std::fs;

use limpet_core::Resources;
use limpet_workflow::{
    JobKey, JobPhase, MAX_WHOLE_STEP_TASKS, MissedPoll, StepSpec, WorkerSlot,
};

use self::simulation::{Simulation, record, step};

const WORKERS: usize = 8;
const MEMBERS: usize = MAX_WHOLE_STEP_TASKS as usize;
/// What an instance of the target may use (`docs/CAPACITY.md`).
const MEMORY_KB: u64 = 128_000;
/// How often each member may be looked at for one event.
const MAX_LOOKS: u64 = 4;
const JOB: JobKey = JobKey(1);

/// Returns a cell with the largest gang, which all workers host.
fn cell(estimate_ms: u64) -> Simulation {
    let mut sim = Simulation::new(1, WORKERS);
    for team in &mut sim.config.teams {
        team.limit = Resources::UNLIMITED;
    }
    sim.config.revision += 1;
    sim.history.limits.clear();
    sim.reconfigure();
    sim.run_ms(500);
    let task = Resources::new(25, 8, 0);
    let spec = StepSpec {
        gang: true,
        task,
        ..step(MAX_WHOLE_STEP_TASKS, 0, estimate_ms)
    };
    sim.submit(JOB.0, record("batch", vec![spec]));
    sim
}

/// Returns a cell in which no claim of the gang is durable.
fn unsent_gang() -> Simulation {
    let mut sim = cell(1_000);
    sim.engine.schedule(sim.now());
    assert_eq!(claims(&sim), MEMBERS);
    sim
}

fn claims(sim: &Simulation) -> usize {
    sim.engine.counts(sim.now().steady).claims
}

/// Returns the resident memory of this process at its peak.
fn peak_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let fields = line.expect("a peak").split_whitespace();
    fields.filter_map(|field| field.parse().ok()).next().expect("a number")
}

/// Checks that an event sends all claims of a gang back that aren't durable,
/// that its cost grows with the gang and not with its square, and that the gang
/// runs after it.
fn assert_sent_back(event: impl Fn(&mut Simulation)) {
    let mut sim = unsent_gang();
    let before = sim.engine.examined();
    event(&mut sim);
    let examined = sim.engine.examined() - before;
    assert!(examined <= MAX_LOOKS * MEMBERS as u64, "{examined}");
    assert!(peak_kb() < MEMORY_KB, "{} kB", peak_kb());
    assert_eq!(claims(&sim), 0);
    sim.run_ms(4_000);
    assert_eq!(sim.phase(JOB), JobPhase::Completed);
    sim.assert_invariants();
}

/// Guards against an owner that ends for its memory when a worker is lost
/// before the claims of a gang are durable: each claim that was sent back sent
/// the rest of its gang back, with a list of them.
#[test]
fn missed_poll() {
    assert_sent_back(|sim| {
        let now = sim.now();
        sim.engine.report_missed_hold(0, MissedPoll::NoAnswer, now);
    });
}

/// Guards against the same when a worker is back with a new life.
#[test]
fn restarted_worker() {
    assert_sent_back(|sim| sim.restart_worker(0));
}

/// Guards against the same when the commit finds workers that are leaving.
#[test]
fn draining_worker() {
    assert_sent_back(|sim| {
        let now = sim.now();
        let mut listing = sim.listing(0);
        listing.draining = true;
        sim.engine.set_listing(listing.clone(), now);
        let (version, _) = sim.engine.progress(JOB).expect("a known job");
        sim.engine.mark_committed(JOB, version, now);
        sim.engine.take_effects();
        // Members on other workers were ordered to start before.
        let starts = claims(sim);
        assert!(starts < MEMBERS, "{starts}");
        for slot in 0..WORKERS as WorkerSlot {
            sim.engine.report_missed_hold(slot, MissedPoll::Refused, now);
        }
        listing.draining = false;
        sim.engine.set_listing(listing, now);
    });
}

/// Guards against an owner that is busy for long when a worker is lost under a
/// gang: each member that was lost with it was compared with all others.
#[test]
fn lost_members() {
    let mut sim = cell(60_000);
    sim.run_ms(1_000);
    assert_eq!(sim.phase(JOB), JobPhase::Running);
    assert_eq!(claims(&sim), MEMBERS);
    sim.restart_worker(0);
    let mut most = 0;
    for _ in 0..100 {
        let before = sim.engine.examined();
        sim.run_ms(simulation::TICK_MS);
        most = most.max(sim.engine.examined() - before);
    }
    // A report of each worker and a scheduling pass may come at once.
    let looks = WORKERS as u64 + MAX_LOOKS;
    assert!(most <= looks * MEMBERS as u64, "{most}");
    assert!(peak_kb() < MEMORY_KB, "{} kB", peak_kb());
    sim.assert_invariants();
}
