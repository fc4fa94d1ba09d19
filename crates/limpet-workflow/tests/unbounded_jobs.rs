//! Jobs of any number of occurrences and tasks: what is held of them, and the
//! size of their progress, are bounded.

mod simulation;

use limpet_workflow::{
    JobKey, JobPhase, JobProgress, JobRecord, JobSpec, MAX_WHOLE_STEP_TASKS,
    Repeat, StepSpec,
};

use self::simulation::{Simulation, record, step};

/// The most tasks of a job that are open at once.
const MAX_OPEN: usize = 2_000;
/// The most occurrences of a job that are in progress at once.
const MAX_OVERLAPPING: usize = 100;
const JOB: JobKey = JobKey(1);

fn scheduled(count: u32, first_ms: u64, interval_ms: u64) -> JobRecord {
    let mut record = record("urgent", vec![step(2, 1_000, 100)]);
    let first_unix_ms = first_ms;
    record.spec.repeat = Some(Repeat { count, first_unix_ms, interval_ms });
    record
}

fn progress(sim: &Simulation) -> JobProgress {
    sim.engine.progress(JOB).expect("the job is known").1
}

/// Returns the number of tasks that the progress of the job spells out.
fn stored_tasks(sim: &Simulation) -> usize {
    let occurrences = progress(sim).occurrences.into_values();
    occurrences.flatten().map(|step| step.tasks.len()).sum()
}

/// Returns a cell without a limit of the team.
fn cell(workers: usize) -> Simulation {
    let mut sim = Simulation::new(1, workers);
    for team in &mut sim.config.teams {
        team.limit = limpet_core::Resources::UNLIMITED;
    }
    sim.config.revision += 1;
    sim.history.limits.clear();
    sim.reconfigure();
    sim.run_ms(10_000);
    sim
}

/// Guards against an owner that is killed for its memory: it held all
/// occurrences of a schedule from its acceptance on, and so did the next one.
#[test]
fn long_schedule() {
    let mut sim = cell(2);
    let first_ms = sim.now_ms + 500;
    sim.submit(JOB.0, scheduled(u32::MAX, first_ms, 300));
    sim.run_ms(5_000);
    // Those at 0.5 to 4.7 s have begun and are done.
    let begun = sim.starts.len() / 2;
    assert!((14..=15).contains(&begun), "{begun}");
    sim.take_over();
    assert!(stored_tasks(&sim) <= 4);
    sim.run_ms(3_000);
    let begun = sim.starts.len() / 2;
    assert!((24..=25).contains(&begun), "{begun}");
    assert_eq!(sim.phase(JOB), JobPhase::Running);
    sim.assert_invariants();
}

/// Guards against a schedule that ends early, or never, and against
/// occurrences that begin before they are due.
#[test]
fn end_of_schedule() {
    let mut sim = cell(2);
    let first_ms = sim.now_ms + 1_000;
    sim.submit(JOB.0, scheduled(5, first_ms, 400));
    for _ in 0..6 {
        sim.run_ms(500);
        sim.take_over();
    }
    let early =
        |(at_ms, task, _): &&(u64, limpet_workflow::TaskKey, String)| {
            *at_ms < first_ms + 400 * u64::from(task.step.occurrence)
        };
    assert_eq!(sim.starts.iter().find(early), None);
    sim.run_ms(3_000);
    assert_eq!(sim.phase(JOB), JobPhase::Completed);
    assert_eq!(sim.starts.len(), 10);
    sim.assert_invariants();
}

/// Guards against overdue occurrences that all begin at once, and against
/// those that never do once there were too many.
#[test]
fn overdue_schedule() {
    let mut sim = cell(4);
    sim.submit(JOB.0, scheduled(300, 1, 0));
    let mut most = 0;
    for _ in 0..400 {
        sim.run_ms(100);
        most = most.max(stored_tasks(&sim));
        if sim.phase(JOB).has_ended() {
            break;
        }
    }
    assert!(most <= 2 * MAX_OVERLAPPING, "{most}");
    assert_eq!(sim.phase(JOB), JobPhase::Completed);
    assert!(sim.starts.len() >= 600);
    sim.assert_invariants();
}

/// Guards against a cancelled schedule that goes on.
#[test]
fn cancelled_schedule() {
    let mut sim = cell(2);
    let first_ms = sim.now_ms + 200;
    sim.submit(JOB.0, scheduled(1_000_000, first_ms, 200));
    sim.run_ms(1_000);
    let now = sim.now();
    assert!(sim.engine.cancel_job(JOB, now));
    let starts = sim.starts.len();
    sim.run_ms(2_000);
    assert_eq!(sim.starts.len(), starts);
    assert!(sim.engine.claims_of(0).is_empty());
}

/// Guards against an owner that is killed for the tasks of one step, and
/// against progress that doesn't fit in a row of the store.
#[test]
fn countless_tasks() {
    let mut sim = cell(4);
    let steps = vec![step(u32::MAX, 100, 200), step(u32::MAX, 100, 200)];
    sim.submit(JOB.0, record("batch", steps));
    sim.run_ms(2_000);
    assert!(sim.starts.len() > MAX_OPEN, "{}", sim.starts.len());
    assert!(stored_tasks(&sim) <= 4 * MAX_OPEN);
    sim.take_over();
    sim.run_ms(1_000);
    assert_eq!(sim.phase(JOB), JobPhase::Running);
    sim.assert_invariants();
}

/// Guards against tasks of a large step that never run, or run twice, and
/// against a step that starts before an earlier one is done.
#[test]
fn large_steps() {
    let mut sim = cell(8);
    let after = StepSpec { after: vec![0], ..step(300, 100, 200) };
    sim.submit(JOB.0, record("batch", vec![step(2_400, 100, 300), after]));
    for _ in 0..60 {
        sim.run_ms(500);
        if sim.phase(JOB).has_ended() {
            break;
        }
        sim.take_over();
    }
    assert_eq!(sim.phase(JOB), JobPhase::Completed);
    assert!(sim.starts.len() >= 2_700);
    sim.assert_invariants();
}

/// Guards against a large step without a worker that holds up the others of its
/// job.
#[test]
fn step_without_worker() {
    let mut sim = cell(2);
    let required_label = Some("none".to_owned());
    let stuck = StepSpec { required_label, ..step(3_000, 100, 200) };
    sim.submit(JOB.0, record("batch", vec![stuck, step(20, 100, 200)]));
    sim.run_ms(3_000);
    assert!(sim.starts.len() >= 20, "{}", sim.starts.len());
    sim.assert_invariants();
}

/// Guards against tasks that last and never start, since those before them in a
/// large step never end.
#[test]
fn large_lasting_step() {
    let mut sim = cell(5);
    let lasting = StepSpec { long_running: true, ..step(2_500, 10, 0) };
    let spec = |steps| JobSpec { payload: String::new(), steps, repeat: None };
    assert_eq!(spec(vec![lasting.clone()]).validate(), Ok(()));
    let twice = spec(vec![lasting.clone(); 3]).validate();
    assert!(twice.is_err_and(|err| err.contains("7500 tasks that last")));
    sim.submit(JOB.0, record("batch", vec![lasting]));
    sim.run_ms(2_000);
    assert_eq!(sim.starts.len(), 2_500);
    sim.take_over();
    sim.run_ms(2_000);
    assert_eq!(sim.starts.len(), 2_500);
    sim.assert_invariants();
}

/// Guards against a gang behind a large step of which only some members start.
#[test]
fn gang_behind_large_step() {
    let mut sim = cell(4);
    let after = vec![0];
    let gang = StepSpec { gang: true, after, ..step(4, 2_000, 300) };
    sim.submit(JOB.0, record("batch", vec![step(2_100, 100, 200), gang]));
    sim.run_ms(600);
    sim.take_over();
    sim.run_ms(8_000);
    assert_eq!(sim.phase(JOB), JobPhase::Completed);
    sim.assert_invariants();
}

/// Guards against a gang whose claims can't be stored, and one of an earlier
/// version that ends each owner.
#[test]
fn too_large_gangs() {
    let gang = |count| StepSpec { gang: true, ..step(count, 10, 1_000) };
    let spec = |count| JobSpec {
        payload: String::new(),
        steps: vec![gang(count)],
        repeat: None,
    };
    assert_eq!(spec(MAX_WHOLE_STEP_TASKS).validate(), Ok(()));
    let refused = spec(MAX_WHOLE_STEP_TASKS + 1).validate();
    assert!(refused.is_err_and(|err| err.contains("at most 5000")));
    let mut sim = cell(2);
    sim.submit(JOB.0, record("batch", vec![gang(u32::MAX)]));
    sim.submit(2, record("urgent", vec![step(2, 1_000, 200)]));
    sim.run_ms(1_000);
    assert_eq!(sim.phase(JobKey(2)), JobPhase::Completed);
    assert_eq!(sim.phase(JOB), JobPhase::Queued);
}
