//! Images that slow each other down are found, only those, and their tasks
//! are kept apart where there is room.

mod simulation;

use limpet_core::Resources;
use limpet_workflow::{EndKind, JobKey, JobPhase, StepSpec, TaskKey};
use rand::RngExt;

use self::simulation::{Simulation, TICK_MS, record, step};

/// Returns a cell without a limit of its team that keeps tasks apart, if set.
fn cell(seed: u64, workers: usize, keep_apart: bool) -> Simulation {
    let mut sim = Simulation::new(seed, workers);
    sim.options.keep_apart = keep_apart;
    sim.config.teams[0].limit = Resources::UNLIMITED;
    sim.config.revision += 1;
    sim.history.limits.clear();
    sim.take_over();
    sim.run_ms(200);
    sim
}

fn image_step(image: &str, spec: StepSpec) -> StepSpec {
    StepSpec { image: image.to_owned(), ..spec }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("image-{number}")).collect()
}

/// A mix of jobs, each of one image.
struct Mix<'a> {
    images: &'a [String],
    count: u32,
    cores_milli: u64,
    estimate_ms: u64,
    /// The time between two jobs.
    every_ms: u64,
}

/// Half of the cores of 12 workers: tasks of a step are spread over several of
/// them, and there is room to keep tasks apart.
fn usual_mix(images: &[String]) -> Mix<'_> {
    Mix {
        images,
        count: 8,
        cores_milli: 2_800,
        estimate_ms: 2_400,
        every_ms: 550,
    }
}

/// Submits jobs of a mix for a while, in random order. `next_key` is the key
/// of the next one.
fn submit_mix(sim: &mut Simulation, mix: &Mix, next_key: &mut u64, ms: u64) {
    let end = sim.now_ms + ms;
    while sim.now_ms < end {
        let number = sim.rng.random_range(0..mix.images.len());
        let spec = step(mix.count, mix.cores_milli, mix.estimate_ms);
        let spec = image_step(&mix.images[number], spec);
        sim.submit(*next_key, record("batch", vec![spec]));
        *next_key += 1;
        sim.run_ms(mix.every_ms);
    }
}

/// Returns the pairs that the engine names: `(slowed, by)`.
fn found(sim: &Simulation) -> Vec<(String, String)> {
    let pairs = sim.engine.interfering_pairs();
    pairs.into_iter().map(|pair| (pair.slowed, pair.by)).collect()
}

fn pair(slowed: &str, by: &str) -> (String, String) {
    (slowed.to_owned(), by.to_owned())
}

fn set_interference(sim: &mut Simulation, pairs: &[(&str, &str, f64)]) {
    sim.paces.interference = pairs
        .iter()
        .map(|(slowed, by, pace)| {
            ((*slowed).to_owned(), (*by).to_owned(), *pace)
        })
        .collect();
}

/// Guards against interference that is not found within 400 jobs of ten
/// images, and against innocent images that are named, of the same workers or
/// in the other direction.
#[test]
fn interferers_among_innocents() {
    for seed in [1, 2, 3] {
        let images = names(10);
        let mut sim = cell(seed, 12, true);
        set_interference(
            &mut sim,
            &[("image-2", "image-5", 0.5), ("image-7", "image-1", 0.6)],
        );
        let expected =
            [pair("image-2", "image-5"), pair("image-7", "image-1")];
        let mut key = 1;
        let mut ever = Vec::new();
        while key < 400 {
            submit_mix(&mut sim, &usual_mix(&images), &mut key, 5_500);
            for pair in found(&sim) {
                assert!(expected.contains(&pair), "seed {seed}: {pair:?}");
                if !ever.contains(&pair) {
                    eprintln!("seed {seed}: {pair:?} after {key} jobs");
                    ever.push(pair);
                }
            }
        }
        assert_eq!(ever.len(), 2, "seed {seed}: {ever:?}");
        sim.assert_invariants();
    }
}

/// Guards against pairs that are found although all images are alike.
#[test]
fn all_alike() {
    let images = names(10);
    let mut sim = cell(4, 12, true);
    let mut key = 1;
    for _ in 0..40 {
        submit_mix(&mut sim, &usual_mix(&images), &mut key, 5_500);
        assert_eq!(found(&sim), []);
    }
    assert!(sim.engine.counts(sim.now().steady).learnt_pairs >= 90);
}

/// Guards against pairs that noise of 50% in single paces, tasks that differ
/// by 30% and an image that is slow everywhere make up.
#[test]
fn noise() {
    for seed in [5, 6] {
        let images = names(10);
        let mut sim = cell(seed, 12, true);
        sim.paces.noise = 0.5;
        sim.paces.unevenness = 0.3;
        sim.paces.images = vec![("image-3".to_owned(), 0.5)];
        let mut key = 1;
        for _ in 0..40 {
            submit_mix(&mut sim, &usual_mix(&images), &mut key, 5_500);
            assert_eq!(found(&sim), [], "seed {seed}");
        }
    }
}

/// Guards against noise that hides a slowdown to half.
#[test]
fn interferers_in_noise() {
    let images = names(6);
    let mut sim = cell(7, 12, true);
    sim.paces.noise = 0.5;
    set_interference(&mut sim, &[("image-2", "image-5", 0.5)]);
    let mut key = 1;
    let mut ever = false;
    while key < 800 {
        submit_mix(&mut sim, &usual_mix(&images), &mut key, 5_500);
        for found in found(&sim) {
            assert_eq!(found, pair("image-2", "image-5"));
            ever = true;
        }
    }
    assert!(ever);
}

/// Guards against images that are blamed for slow workers: three of twelve
/// have 0.45 of the usual pace, and tasks that last stay there.
#[test]
fn slow_workers() {
    let images = names(8);
    let mut sim = cell(8, 12, true);
    sim.paces.workers = vec![(0, 0.45), (4, 0.45), (7, 0.45)];
    let lasting = StepSpec { long_running: true, ..step(3, 2_000, 300) };
    for key in 1..=4 {
        let spec = image_step(&format!("lasting-{key}"), lasting.clone());
        sim.submit(key, record("batch", vec![spec]));
    }
    sim.run_ms(1_000);
    let mut key = 10;
    for _ in 0..40 {
        submit_mix(&mut sim, &usual_mix(&images), &mut key, 5_500);
        assert_eq!(found(&sim), []);
    }
}

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

/// Guards against memory that grows with the number of images.
#[test]
fn thousands_of_images() {
    let images = names(4_000);
    let mut sim = cell(11, 12, true);
    let mix =
        Mix { count: 6, every_ms: 60, estimate_ms: 500, ..usual_mix(&images) };
    let mut key = 1;
    let mut most = 0;
    while key < 2_000 {
        submit_mix(&mut sim, &mix, &mut key, 3_000);
        let counts = sim.engine.counts(sim.now().steady);
        most = most.max(counts.learnt_pairs);
        assert!(counts.learnt_pairs <= 512, "{}", counts.learnt_pairs);
        assert_eq!(found(&sim), []);
    }
    assert!(most > 300, "the bound is reached: {most}");
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

/// Guards against gangs and runs that resumed from a checkpoint as evidence:
/// the pace of a gang is that of its slowest member.
#[test]
fn gangs_are_no_evidence() {
    let mut sim = cell(18, 6, true);
    set_interference(&mut sim, &[("gang", "image-0", 0.5)]);
    for key in 0..60 {
        let gang = StepSpec { gang: true, ..step(6, 4_500, 1_500) };
        let gang = image_step("gang", gang);
        sim.submit(2 * key + 1, record("batch", vec![gang]));
        let other = image_step("image-0", step(6, 2_800, 1_500));
        sim.submit(2 * key + 2, record("batch", vec![other]));
        sim.run_ms(1_500);
    }
    assert_eq!(found(&sim), []);
}

/// Guards against runs that resumed from a checkpoint as evidence. Only they
/// are slowed, and as many runs resume as without checkpoints begin anew.
#[test]
fn resumed_runs_are_no_evidence() {
    for resumes in [true, false] {
        let images = names(3);
        let mut sim = cell(22, 8, true);
        set_interference(&mut sim, &[("image-0", "image-1", 0.5)]);
        sim.paces.only_resumed = resumes;
        for worker in &mut sim.workers {
            worker.checkpoint = if resumes { "c" } else { "" }.to_owned();
        }
        let mix = Mix { every_ms: 900, ..usual_mix(&images) };
        let mut key = 1;
        while key < 150 {
            submit_mix(&mut sim, &mix, &mut key, 900);
            stop_first_runs(&mut sim, key - 1);
        }
        assert_eq!(found(&sim).is_empty(), resumes);
    }
}

/// Ends the runs of a job, so that its tasks are started again.
fn stop_first_runs(sim: &mut Simulation, job: u64) {
    for worker in &mut sim.workers {
        let runs: Vec<(TaskKey, u32)> = worker
            .runs
            .iter()
            .filter(|(task, _)| task.step.job.0 == job)
            .map(|(task, run)| (*task, run.run))
            .collect();
        for (task, run) in runs {
            worker.end(task, EndKind::Stopped);
            sim.history.end(&worker.id, task, run);
        }
    }
}

/// Guards against a table that is full of pairs without interest and never
/// finds others: 30 images are 900 pairs.
#[test]
fn more_pairs_than_kept() {
    let images = names(30);
    let mut sim = cell(23, 16, true);
    let slowed =
        [("image-12", "image-25", 0.4), ("image-25", "image-12", 0.4)];
    set_interference(&mut sim, &slowed);
    let mix = Mix { every_ms: 400, ..usual_mix(&images) };
    let mut key = 1;
    let mut ever = false;
    while key < 2_500 && !ever {
        submit_mix(&mut sim, &mix, &mut key, 8_000);
        let counts = sim.engine.counts(sim.now().steady);
        assert!(counts.learnt_pairs <= 512, "{}", counts.learnt_pairs);
        for found in found(&sim) {
            let is_known = slowed.iter().any(|(a, b, _)| found == pair(a, b));
            assert!(is_known, "{found:?}");
            ever = true;
        }
    }
    eprintln!("found after {key} jobs");
    assert!(ever);
}

/// Guards against serving tasks that are disturbed unnoticed: batch tasks of
/// one image triple their tail latency, those of others don't.
#[test]
fn serving_tasks() {
    let mut sim = cell(19, 8, true);
    set_interference(&mut sim, &[("web", "image-1", 0.33)]);
    sim.paces.noise = 0.1;
    let web = StepSpec {
        long_running: true,
        target_ms: 40,
        max_per_worker: 1,
        ..step(8, 2_000, 300)
    };
    sim.submit(1, record("batch", vec![image_step("web", web)]));
    sim.run_ms(1_000);
    let images = names(4);
    let mut key = 10;
    let mix = Mix { every_ms: 900, ..usual_mix(&images) };
    let mut ever = false;
    while key < 500 {
        submit_mix(&mut sim, &mix, &mut key, 4_500);
        for found in found(&sim) {
            assert_eq!(found, pair("web", "image-1"));
            ever = true;
        }
    }
    assert!(ever);
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
