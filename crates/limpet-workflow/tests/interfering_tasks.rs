//! Tasks of images that slow each other down are kept apart where there is
//! room, for as long as the evidence holds.

mod simulation;

use limpet_workflow::{JobKey, JobPhase, StepSpec, TaskKey};

use self::simulation::{
    Simulation, TICK_MS,
    mixes::{
        Mix, cell, found, image_step, names, pair, set_interference,
        submit_mix, usual_mix,
    },
    record, step,
};

/// Guards against a pair that is kept apart for good although its images do
/// not slow each other any more, and against one that is dropped before. There
/// is no room to keep them apart, so evidence goes on.
#[test]
fn changed_behaviour() {
    let images = names(2);
    let mut sim = cell(9, 6, true);
    set_interference(&mut sim, &[("image-0", "image-1", 0.5)]);
    let mix = Mix { every_ms: 700, ..usual_mix(&images) };
    let mut key = 1;
    while found(&sim).is_empty() && key < 400 {
        submit_mix(&mut sim, &mix, &mut key, 1_400);
    }
    assert_eq!(found(&sim), [pair("image-0", "image-1")]);
    for _ in 0..40 {
        submit_mix(&mut sim, &mix, &mut key, 1_400);
        assert_eq!(found(&sim), [pair("image-0", "image-1")]);
    }
    sim.paces.interference.clear();
    let changed_at = key;
    while !found(&sim).is_empty() && key < changed_at + 400 {
        submit_mix(&mut sim, &mix, &mut key, 1_400);
    }
    eprintln!("found after {changed_at} jobs, dropped at {key}");
    assert_eq!(found(&sim), []);
}

/// Guards against a pair that is kept apart on evidence that is older than ten
/// minutes.
#[test]
fn old_evidence() {
    let images = names(2);
    let mut sim = cell(10, 6, true);
    set_interference(&mut sim, &[("image-0", "image-1", 0.5)]);
    let mix = Mix { every_ms: 700, ..usual_mix(&images) };
    let mut key = 1;
    while found(&sim).is_empty() && key < 400 {
        submit_mix(&mut sim, &mix, &mut key, 1_400);
    }
    assert_eq!(found(&sim), [pair("image-0", "image-1")]);
    sim.run_ms(590_000);
    assert_eq!(found(&sim).len(), 1, "it is not old yet");
    sim.run_ms(25_000);
    assert_eq!(found(&sim), []);
    assert_eq!(sim.engine.counts(sim.now().steady).learnt_pairs, 0);
}

/// Guards against an owner that uses what an earlier one has learnt, which may
/// be wrong by now, and against one that learns nothing after a takeover.
#[test]
fn takeover() {
    let images = names(2);
    let mut sim = cell(12, 6, true);
    set_interference(&mut sim, &[("image-0", "image-1", 0.5)]);
    let mix = Mix { every_ms: 700, ..usual_mix(&images) };
    let mut key = 1;
    while found(&sim).is_empty() && key < 400 {
        submit_mix(&mut sim, &mix, &mut key, 1_400);
    }
    assert_eq!(found(&sim), [pair("image-0", "image-1")]);
    sim.take_over();
    let counts = sim.engine.counts(sim.now().steady);
    assert_eq!((counts.interfering_pairs, counts.learnt_pairs), (0, 0));
    set_interference(&mut sim, &[("image-1", "image-0", 0.5)]);
    let taken_over_at = key;
    while found(&sim).is_empty() && key < taken_over_at + 400 {
        submit_mix(&mut sim, &mix, &mut key, 1_400);
    }
    assert_eq!(found(&sim), [pair("image-1", "image-0")]);
    sim.assert_invariants();
}

/// Learns that `image-0` is slowed by `image-1`, and waits until all is done.
fn learnt_cell(seed: u64, workers: usize) -> (Simulation, u64) {
    let images = names(2);
    let mut sim = cell(seed, workers, true);
    set_interference(&mut sim, &[("image-0", "image-1", 0.5)]);
    let every_ms = 4_200 / workers as u64;
    let mix = Mix { every_ms, ..usual_mix(&images) };
    let mut key = 1;
    while found(&sim).is_empty() && key < 400 {
        submit_mix(&mut sim, &mix, &mut key, 1_400);
    }
    sim.run_ms(30_000);
    assert_eq!(found(&sim), [pair("image-0", "image-1")]);
    assert_eq!(sim.engine.counts(sim.now().steady).claims, 0);
    (sim, key)
}

/// Returns the worker on which a task was last started, and when.
fn start_of(sim: &Simulation, job: JobKey) -> (u64, String) {
    let is_of = |(_, task, _): &&(u64, TaskKey, String)| task.step.job == job;
    let (at, _, worker) =
        sim.starts.iter().rev().find(is_of).expect("it has started");
    (*at, worker.clone())
}

/// Guards against a preference that isn't used, in either direction, or not
/// counted.
#[test]
fn room_elsewhere() {
    for first in [0, 1] {
        let (mut sim, key) = learnt_cell(13, 4);
        let before = sim.engine.counts(sim.now().steady).starts_kept_apart;
        let one = |image: usize| {
            image_step(&format!("image-{image}"), step(1, 4_000, 3_000))
        };
        let other = sim.submit(key, record("batch", vec![one(first)]));
        sim.run_ms(500);
        let apart = sim.submit(key + 1, record("batch", vec![one(1 - first)]));
        let innocent = image_step("innocent", step(1, 4_000, 3_000));
        let innocent = sim.submit(key + 2, record("batch", vec![innocent]));
        sim.run_ms(500);
        assert_ne!(start_of(&sim, apart).1, start_of(&sim, other).1);
        assert_eq!(start_of(&sim, innocent).1, start_of(&sim, other).1);
        let after = sim.engine.counts(sim.now().steady).starts_kept_apart;
        assert_eq!(after - before, 1);
    }
}

/// Guards against a task that waits, or stops another, since all workers with
/// room host a task that slows it.
#[test]
fn no_room_elsewhere() {
    let (mut sim, key) = learnt_cell(14, 4);
    let lasting = StepSpec { max_per_worker: 1, ..step(4, 4_000, 20_000) };
    let lasting = image_step("image-1", lasting);
    sim.submit(key, record("batch", vec![lasting]));
    sim.run_ms(500);
    let stops = sim.stops.len();
    let submitted_ms = sim.now_ms;
    let spec = image_step("image-0", step(1, 4_000, 3_000));
    let job = sim.submit(key + 1, record("batch", vec![spec]));
    sim.run_ms(500);
    // The claim is committed within 25 ms, and the order takes 2 ms.
    let waited_ms = start_of(&sim, job).0 - submitted_ms;
    assert!(waited_ms <= 25 + 4 * TICK_MS, "{waited_ms}");
    assert_eq!(sim.stops.len(), stops);
    sim.run_ms(30_000);
    assert_eq!(sim.phase(job), JobPhase::Completed);
    sim.assert_invariants();
}

/// Returns all starts of a history with images and interference; the engine
/// has the part on or off, and with `named` the jobs have images.
fn starts(
    seed: u64,
    keep_apart: bool,
    named: bool,
) -> Vec<(u64, TaskKey, String)> {
    let images = match named {
        true => names(3),
        false => vec![String::new()],
    };
    let mut sim = cell(seed, 6, keep_apart);
    let mut key = 1;
    let mix = Mix { every_ms: 900, ..usual_mix(&images) };
    submit_mix(&mut sim, &mix, &mut key, 60_000);
    assert_eq!(sim.engine.counts(sim.now().steady).starts_kept_apart, 0);
    sim.starts
}

/// Guards against placements that change with the part off, or with it on as
/// long as nothing interferes.
#[test]
fn same_placements() {
    for seed in [15, 16] {
        let off = starts(seed, false, true);
        assert_eq!(off, starts(seed, false, false), "images alone");
        assert_eq!(off, starts(seed, true, true), "nothing interferes");
        assert!(off.len() > 400, "{}", off.len());
    }
    let images = names(2);
    let mut sim = cell(17, 6, false);
    set_interference(&mut sim, &[("image-0", "image-1", 0.4)]);
    let mut key = 1;
    submit_mix(&mut sim, &usual_mix(&images), &mut key, 60_000);
    let counts = sim.engine.counts(sim.now().steady);
    assert_eq!(counts.learnt_pairs, 0, "no evidence is collected");
}

/// Returns the mean time of runs of interfering images, after the first jobs
/// of a mix.
fn mean_run_ms(seed: u64, keep_apart: bool) -> f64 {
    let images = names(6);
    let mut sim = cell(seed, 12, keep_apart);
    set_interference(
        &mut sim,
        &[("image-0", "image-1", 0.5), ("image-1", "image-0", 0.5)],
    );
    let mut key = 1;
    submit_mix(&mut sim, &usual_mix(&images), &mut key, 400_000);
    let since = key / 2;
    sim.run_ms(20_000);
    let images: std::collections::HashMap<JobKey, String> = sim
        .history
        .records
        .iter()
        .map(|(job, record)| (*job, record.spec.steps[0].image.clone()))
        .collect();
    let times: Vec<u64> = sim
        .run_times
        .iter()
        .filter(|(task, _)| task.step.job.0 >= since)
        .filter(|(task, _)| {
            matches!(images[&task.step.job].as_str(), "image-0" | "image-1")
        })
        .map(|(_, ms)| *ms)
        .collect();
    let kept = sim.engine.counts(sim.now().steady).starts_kept_apart;
    let mean = times.iter().sum::<u64>() as f64 / times.len() as f64;
    eprintln!(
        "seed {seed}: {keep_apart}: {mean:.0} ms of {} runs, {kept} kept apart",
        times.len()
    );
    sim.assert_invariants();
    mean
}

/// Guards against a preference that gains nothing: the run time that
/// interference adds to the 2,400 ms of each run has to fall by half, at half
/// of the cores in use.
#[test]
fn gain() {
    for seed in [20, 21] {
        let (with, without) =
            (mean_run_ms(seed, true), mean_run_ms(seed, false));
        let (added, added_without) = (with - 2_400.0, without - 2_400.0);
        assert!(
            added < added_without / 2.0,
            "seed {seed}: {with:.0} ms with, {without:.0} ms without"
        );
    }
}
