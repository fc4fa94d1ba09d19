//! The line about an ended job tells where its time went.

mod simulation;

use limpet_core::Resources;
use limpet_workflow::{Activity, EndedJob, JobPhase, TaskKey, WaitCause};

use self::simulation::{Simulation, record, step};

fn spent_ms(ended: &EndedJob, activity: Activity) -> u64 {
    ended
        .timeline
        .spent_ms()
        .find(|(other, _)| *other == activity)
        .map_or(0, |(_, ms)| ms)
}

/// Runs a job to its end, and returns what is reported of it.
fn end_of(sim: &mut Simulation, job: limpet_workflow::JobKey) -> EndedJob {
    for _ in 0..200 {
        sim.run_ms(50);
        if let Some(ended) = sim.ended_jobs.iter().find(|e| e.job == job) {
            return ended.clone();
        }
    }
    panic!("the job has not ended");
}

/// Guards against a line that blames the wait of a store's outage on
/// something else, and against times that don't add up.
#[test]
fn store_outage() {
    let mut sim = Simulation::new(1, 2);
    sim.run_ms(200);
    let began_ms = sim.now_ms;
    sim.store_unavailable = true;
    let mut accepted = record("urgent", vec![step(2, 1_000, 300)]);
    accepted.accepted_unix_ms = sim.now().unix_ms;
    let job = sim.submit(1, accepted);
    sim.run_ms(2_000);
    sim.store_unavailable = false;
    let ended = end_of(&mut sim, job);
    assert_eq!(ended.phase, JobPhase::Completed);
    let committed_ms = spent_ms(&ended, Activity::Commit);
    assert!((1_900..2_200).contains(&committed_ms), "{}", ended.timeline);
    let run_ms = spent_ms(&ended, Activity::Run);
    assert!((290..500).contains(&run_ms), "{}", ended.timeline);
    assert!(ended.late_ms > 0, "{}", ended.timeline);
    let passed_ms = sim.now_ms - began_ms;
    let total_ms = ended.timeline.total_ms();
    assert!(total_ms <= passed_ms && total_ms + 60 >= passed_ms);
}

/// Guards against a rerun that looks like a slow first run.
#[test]
fn failed_run() {
    let mut sim = Simulation::new(1, 2);
    sim.run_ms(200);
    let job = sim.submit(1, record("urgent", vec![step(1, 1_000, 1_000)]));
    sim.run_ms(400);
    let task: TaskKey = "0000000000000001.0.0.0".parse().expect("a task");
    assert!(sim.fail_run(task));
    let ended = end_of(&mut sim, job);
    let rerun_ms = spent_ms(&ended, Activity::RerunFailed);
    assert!(rerun_ms >= 900, "{}", ended.timeline);
    assert!(spent_ms(&ended, Activity::Run) < 500, "{}", ended.timeline);
}

/// Guards against waits without their cause.
#[test]
fn wait_for_quota() {
    let mut sim = Simulation::new(1, 4);
    sim.config.teams[0].limit = Resources::new(1_000, 1_000_000, 0);
    sim.engine.set_config(sim.config.clone().into());
    sim.run_ms(200);
    sim.submit(1, record("urgent", vec![step(1, 1_000, 1_000)]));
    sim.run_ms(50);
    let second = sim.submit(2, record("urgent", vec![step(1, 1_000, 200)]));
    let ended = end_of(&mut sim, second);
    let quota_ms = spent_ms(&ended, Activity::Wait(WaitCause::Quota));
    assert!((900..1_300).contains(&quota_ms), "{}", ended.timeline);
    assert!(ended.timeline.to_string().contains("quota"));
}
