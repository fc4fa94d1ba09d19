//! Nothing starts in a data centre that is evacuated, and tasks that last are
//! moved out of it while other workers have room.

mod simulation;

use limpet_core::Resources;
use limpet_workflow::{
    Effect, Engine, JobKey, JobPhase, Moment, StartOrder, StartOutcome,
    StepKey, StepSpec, StopReason, TaskKey,
};

use self::simulation::{Simulation, record, step};

/// Returns a cell without limits of which every second worker is in `z2`.
fn two_centres(workers: usize) -> Simulation {
    let mut sim = Simulation::new(1, workers);
    sim.config.teams[0].limit = Resources::UNLIMITED;
    sim.config.revision += 1;
    sim.history.limits.clear();
    let config = std::sync::Arc::new(sim.config.clone());
    sim.engine.set_config(config);
    sim.spread(&["z1", "z2"]);
    sim.run_ms(200);
    sim
}

fn lasting(count: u32, cores_milli: u64) -> StepSpec {
    StepSpec { long_running: true, ..step(count, cores_milli, 300) }
}

fn task(job: JobKey, index: u32) -> TaskKey {
    StepKey { job, occurrence: 0, step: 0 }.task(index)
}

/// Commits a job, and returns the start orders.
fn commit(engine: &mut Engine, job: JobKey, now: Moment) -> Vec<StartOrder> {
    let (version, _) = engine.progress(job).expect("the job is known");
    engine.mark_committed(job, version, now);
    starts(engine)
}

/// Returns the start orders among the effects.
fn starts(engine: &mut Engine) -> Vec<StartOrder> {
    let effects = engine.take_effects().into_iter();
    let starts = effects.filter_map(|effect| match effect {
        Effect::Start(order) => Some(order),
        _ => None,
    });
    starts.collect()
}

/// Returns the tasks that were moved out of evacuated data centres.
fn moved(sim: &Simulation) -> Vec<TaskKey> {
    let moves =
        sim.stops.iter().filter(|stop| stop.2 == StopReason::Evacuated);
    moves.map(|(_, task, _)| *task).collect()
}

/// Guards against starts in an evacuated data centre, and against runs there
/// that are stopped although they end by themselves.
#[test]
fn begins_and_ends() {
    let mut sim = two_centres(4);
    let running = sim.submit(1, record("batch", vec![step(40, 1_000, 900)]));
    sim.run_ms(300);
    assert!(sim.runs_in("z1") > 0 && sim.runs_in("z2") > 0);
    sim.evacuate("z2");
    let began_ms = sim.now_ms;
    let job = sim.submit(2, record("batch", vec![step(60, 1_000, 400)]));
    sim.run_ms(5_000);
    assert_eq!(sim.starts_in("z2", began_ms + 10), 0);
    assert!(sim.starts_in("z1", began_ms) >= 60);
    assert_eq!(sim.phase(running), JobPhase::Completed);
    assert_eq!(sim.phase(job), JobPhase::Completed);
    let now = sim.now().steady;
    assert_eq!(sim.engine.counts(now).usable_workers, 2);
    assert_eq!(sim.engine.counts(now).usable_cores_milli, 32_000);
    assert_eq!(sim.engine.evacuation_state().runs, 0);
    sim.end_evacuation("z2");
    let ended_ms = sim.now_ms;
    sim.submit(3, record("batch", vec![step(60, 1_000, 400)]));
    sim.run_ms(1_000);
    assert!(sim.starts_in("z2", ended_ms) > 0);
    assert_eq!(moved(&sim), []);
    sim.assert_invariants();
}

/// Guards against a gang that goes on reserving room in an evacuated data
/// centre, or starts there.
#[test]
fn gathering_gang() {
    let mut sim = two_centres(4);
    sim.submit(1, record("urgent", vec![step(28, 2_000, 1_500)]));
    sim.run_ms(300);
    let member = StepSpec { gang: true, ..step(4, 6_000, 500) };
    let gang = sim.submit(2, record("gang", vec![member]));
    sim.run_ms(300);
    let now = sim.now().steady;
    let held = sim.engine.counts(now).reserved_cores_milli;
    assert!(held > 0, "the gang reserves room");
    sim.evacuate("z2");
    let began_ms = sim.now_ms;
    // Only two workers of 16 cores are left, with 8 cores free at most.
    assert!(sim.engine.counts(now).reserved_cores_milli < held);
    sim.run_ms(8_000);
    assert_eq!(sim.starts_in("z2", began_ms + 10), 0);
    assert_eq!(sim.phase(gang), JobPhase::Completed);
    sim.assert_invariants();
}

/// Guards against an order for a claim that was made before the evacuation and
/// is committed after it began: also before the next scheduling pass.
#[test]
fn claim_without_order() {
    let mut sim = two_centres(2);
    let job = sim.submit(1, record("batch", vec![step(12, 2_000, 500)]));
    let now = sim.now();
    sim.engine.schedule(now);
    let claims = sim.engine.claims_of(1).len();
    assert!(claims > 0, "tasks are claimed in z2");
    sim.evacuate("z2");
    let orders = commit(&mut sim.engine, job, now);
    assert!(!orders.is_empty());
    assert!(orders.iter().all(|order| order.worker == 0), "{orders:?}");
    assert_eq!(sim.engine.claims_of(1), []);
}

/// Guards against a claim that waits for its commit, which a slow store
/// delays, in place of being made elsewhere at once.
#[test]
fn claim_released() {
    let mut sim = two_centres(2);
    let job = sim.submit(1, record("batch", vec![step(9, 2_000, 500)]));
    let now = sim.now();
    sim.engine.schedule(now);
    let before = sim.engine.claims_of(0).len();
    let there = sim.engine.claims_of(1).len();
    assert!(there > 0);
    sim.evacuate("z2");
    sim.engine.schedule(now);
    assert_eq!(sim.engine.claims_of(1), []);
    assert!(sim.engine.claims_of(0).len() >= before);
    let orders = commit(&mut sim.engine, job, now);
    assert!(orders.iter().all(|order| order.worker == 0), "{orders:?}");
}

/// Guards against an order that was decided before the evacuation and is taken
/// from the engine after it began.
#[test]
fn order_not_taken() {
    let mut sim = two_centres(2);
    let job = sim.submit(1, record("batch", vec![step(12, 2_000, 500)]));
    let now = sim.now();
    sim.engine.schedule(now);
    let (version, _) = sim.engine.progress(job).expect("the job is known");
    sim.engine.mark_committed(job, version, now);
    sim.evacuate("z2");
    let orders = starts(&mut sim.engine);
    assert!(!orders.is_empty());
    assert!(orders.iter().all(|order| order.worker == 0), "{orders:?}");
    assert_eq!(sim.engine.claims_of(1), []);
}

/// Guards against an unanswered order that is sent again to a data centre that
/// is evacuated meanwhile: its run is stopped.
#[test]
fn unanswered_order() {
    let mut sim = two_centres(2);
    sim.evacuate("z1");
    let job = sim.submit(1, record("batch", vec![step(1, 2_000, 500)]));
    let order = sim.order_start(job);
    assert_eq!(order.worker, 1);
    sim.end_evacuation("z1");
    sim.evacuate("z2");
    sim.now_ms += 350;
    let now = sim.now();
    let outcome = StartOutcome::Unknown;
    sim.engine.report_start(1, order.task, order.run, outcome, now);
    let effects = sim.engine.take_effects();
    let [Effect::Stop { order: stop, reason }] = effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!((stop.task, stop.run), (order.task, order.run));
    assert_eq!(reason, StopReason::Unanswered);
}

/// Guards against a new owner that starts tasks in a data centre of which an
/// earlier one knew that it is evacuated.
#[test]
fn takeover() {
    let mut sim = two_centres(4);
    sim.submit(1, record("batch", vec![step(40, 1_000, 3_000)]));
    sim.submit(2, record("gang", vec![lasting(4, 2_000)]));
    sim.run_ms(600);
    sim.evacuate("z2");
    let began_ms = sim.now_ms;
    let job = sim.submit(3, record("batch", vec![step(40, 1_000, 400)]));
    sim.begin_takeover(500);
    sim.run_ms(9_000);
    assert_eq!(sim.starts_in("z2", began_ms + 10), 0);
    assert_eq!(sim.phase(job), JobPhase::Completed);
    assert_eq!(sim.runs_in("z2"), 0);
    assert_eq!(sim.runs_in("z1"), 4);
    sim.assert_invariants();
}

/// Guards against evacuations of several data centres, of one without workers
/// and of a worker that changes its data centre that affect each other.
#[test]
fn several_centres() {
    let mut sim = two_centres(6);
    sim.spread(&["z1", "z2", "z3"]);
    sim.evacuate("z2");
    sim.evacuate("z9");
    sim.evacuate("z3");
    sim.evacuate("z3");
    let began_ms = sim.now_ms;
    let submit = |sim: &mut Simulation, key| {
        sim.submit(key, record("batch", vec![step(60, 1_000, 300)]));
        sim.run_ms(2_000);
    };
    submit(&mut sim, 1);
    assert_eq!(sim.starts_in("z2", began_ms), 0);
    assert_eq!(sim.starts_in("z3", began_ms), 0);
    sim.end_evacuation("z2");
    sim.end_evacuation("z8");
    submit(&mut sim, 2);
    assert!(sim.starts_in("z2", began_ms) > 0);
    assert_eq!(sim.starts_in("z3", began_ms), 0);
    assert_eq!(sim.engine.evacuation_state().data_centres, 2);
    // A worker of an evacuated data centre registers in another, and back.
    sim.workers[2].data_centre = "z1".to_owned();
    let (listing, now) = (sim.listing(2), sim.now());
    sim.engine.set_listing(listing, now);
    assert!(!sim.engine.is_evacuated(2));
    sim.workers[2].data_centre = "z3".to_owned();
    let (listing, now) = (sim.listing(2), sim.now());
    sim.engine.set_listing(listing, now);
    assert!(sim.engine.is_evacuated(2));
    sim.assert_invariants();
}

/// Guards against tasks that last and stay in an evacuated data centre
/// although there is room elsewhere, and against a step of which more than one
/// task is away for it.
#[test]
fn lasting_moves() {
    let mut sim = two_centres(6);
    let job = sim.submit(1, record("gang", vec![lasting(8, 4_000)]));
    sim.run_ms(1_000);
    let there = sim.runs_in("z2");
    assert!(there >= 2, "{there} run in z2");
    sim.evacuate("z2");
    for _ in 0..1_000 {
        sim.run_ms(simulation::TICK_MS);
        let away = (0..8).filter(|n| !sim.is_running(task(job, *n))).count();
        assert!(away <= 1, "{away} are away");
    }
    assert_eq!(sim.runs_in("z2"), 0);
    assert_eq!(sim.runs_in("z1"), 8);
    assert_eq!(moved(&sim).len(), there);
    let state = sim.engine.evacuation_state();
    assert_eq!((state.moves, state.runs), (there as u64, 0));
    sim.assert_invariants();
}

/// Guards against tasks that last and are stopped although no other worker has
/// room for them; they move once one has.
#[test]
fn lasting_stays() {
    let mut sim = two_centres(2);
    let job = sim.submit(1, record("gang", vec![lasting(2, 10_000)]));
    sim.run_ms(1_000);
    assert_eq!((sim.runs_in("z1"), sim.runs_in("z2")), (1, 1));
    sim.evacuate("z2");
    sim.run_ms(3_000);
    assert_eq!(moved(&sim), []);
    assert_eq!((sim.runs_in("z1"), sim.runs_in("z2")), (1, 1));
    let state = sim.engine.evacuation_state();
    assert_eq!((state.runs, state.stays.room), (1, 1));
    assert_eq!(state.stays.to_string(), "room 1");
    sim.set_cores(0, 32_000);
    sim.run_ms(3_000);
    assert_eq!((sim.runs_in("z1"), sim.runs_in("z2")), (2, 0));
    assert_eq!(sim.phase(job), JobPhase::Running);
    sim.assert_invariants();
}

/// Guards against tasks that last and are stopped before advice has allowed a
/// worker elsewhere: they would be away for as long as it allows none.
#[test]
fn lasting_without_advice() {
    let mut sim = two_centres(4);
    // Advice allows no worker in z1.
    sim.allowed = vec!["w1".to_owned(), "w3".to_owned()];
    sim.submit(1, record("gang", vec![lasting(2, 2_000)]));
    sim.run_ms(1_000);
    assert_eq!(sim.runs_in("z2"), 2);
    sim.evacuate("z2");
    sim.run_ms(3_000);
    assert_eq!(moved(&sim), []);
    assert_eq!(sim.runs_in("z2"), 2);
    sim.assert_invariants();
}

/// Guards against a gang that lasts and is broken up by the move of a member:
/// it moves whole, or stays if it may not be away as a whole.
#[test]
fn lasting_gang() {
    for (max_away, moves) in [(0, true), (2, false), (4, true)] {
        let mut sim = two_centres(6);
        let members = StepSpec { gang: true, max_away, ..lasting(4, 4_000) };
        sim.evacuate("z1");
        sim.submit(1, record("gang", vec![members]));
        sim.run_ms(2_000);
        assert_eq!(sim.runs_in("z2"), 4);
        sim.end_evacuation("z1");
        sim.evacuate("z2");
        sim.run_ms(4_000);
        let expected = if moves { (4, 0) } else { (0, 4) };
        let found = (sim.runs_in("z1"), sim.runs_in("z2"));
        assert_eq!(found, expected, "max_away {max_away}");
        sim.assert_invariants();
    }
}

/// Guards against tasks that move while another of their step is away: users
/// of a step with `max_away` would miss too many.
#[test]
fn one_away_already() {
    let mut sim = two_centres(4);
    let spec = StepSpec { max_away: 1, ..lasting(4, 4_000) };
    let job = sim.submit(1, record("gang", vec![spec]));
    sim.run_ms(1_000);
    let here = (0..4).map(|index| task(job, index)).find(|task| {
        let worker = &sim.workers[0];
        worker.runs.contains_key(task)
            || sim.workers[2].runs.contains_key(task)
    });
    let number =
        usize::from(!sim.workers[0].runs.contains_key(&here.unwrap()));
    // The worker of one task answers no more.
    sim.workers[number * 2].disconnected = true;
    sim.run_ms(300);
    sim.evacuate("z2");
    sim.run_ms(2_000);
    assert_eq!(moved(&sim), []);
    sim.workers[number * 2].disconnected = false;
    sim.run_ms(9_000);
    assert_eq!(sim.runs_in("z2"), 0);
    sim.assert_invariants();
}

/// Guards against starts, and against lost jobs, while all data centres are
/// evacuated.
#[test]
fn all_centres() {
    let mut sim = two_centres(4);
    sim.submit(1, record("gang", vec![lasting(2, 2_000)]));
    sim.run_ms(1_000);
    sim.evacuate("z1");
    assert!(!sim.engine.is_all_evacuated());
    sim.evacuate("z2");
    assert!(sim.engine.is_all_evacuated());
    let began_ms = sim.now_ms;
    let member = StepSpec { gang: true, ..step(4, 6_000, 500) };
    let jobs = [
        sim.submit(2, record("urgent", vec![step(2, 1_000, 300)])),
        sim.submit(3, record("gang", vec![member])),
        sim.submit(4, record("batch", vec![step(2, 1_000, 300)])),
    ];
    sim.run_ms(3_000);
    assert!(sim.starts.iter().all(|(at, ..)| *at < began_ms));
    assert_eq!(moved(&sim), []);
    for job in jobs {
        assert_eq!(sim.phase(job), JobPhase::Queued);
    }
    sim.end_evacuation("z1");
    sim.run_ms(6_000);
    for job in jobs {
        assert_eq!(sim.phase(job), JobPhase::Completed);
    }
    sim.assert_invariants();
}

/// Guards against a suspect that waits for a worker to itself in an evacuated
/// data centre.
#[test]
fn suspect_apart() {
    let mut sim = two_centres(4);
    let job = sim.submit(1, record("urgent", vec![step(1, 1_000, 500)]));
    sim.deadly.tasks.insert(task(job, 0));
    sim.deadly.keeps_id = true;
    sim.evacuate("z2");
    let began_ms = sim.now_ms;
    sim.run_ms(60_000);
    assert_eq!(sim.starts_in("z2", began_ms), 0);
    assert_eq!(sim.phase(job), JobPhase::Failed);
    sim.assert_invariants();
}

/// Guards against workers that are slow after a time without work and get
/// tasks before others.
#[test]
fn cold_workers_last() {
    let mut sim = two_centres(4);
    for number in [0, 1] {
        sim.workers[number].cold_left_ms = 2_000;
        let (listing, now) = (sim.listing(number), sim.now());
        sim.engine.set_listing(listing, now);
    }
    sim.submit(1, record("batch", vec![step(20, 1_000, 60_000)]));
    let member = StepSpec { gang: true, ..step(2, 1_000, 60_000) };
    sim.submit(2, record("gang", vec![member]));
    sim.run_ms(500);
    let runs =
        |sim: &Simulation, number: usize| sim.workers[number].runs.len();
    assert_eq!(runs(&sim, 0) + runs(&sim, 1), 0);
    assert_eq!(runs(&sim, 2) + runs(&sim, 3), 22);
    // They are warm by now.
    sim.run_ms(2_000);
    sim.submit(3, record("batch", vec![step(20, 1_000, 60_000)]));
    sim.run_ms(500);
    assert!(runs(&sim, 0) + runs(&sim, 1) > 0);
    sim.assert_invariants();
}
