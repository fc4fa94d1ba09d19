//! Images that slow each other down are found, and only those.

mod simulation;

use limpet_workflow::{EndKind, StepSpec, TaskKey};

use self::simulation::{
    Simulation,
    mixes::{
        Mix, cell, found, image_step, names, pair, set_interference,
        submit_mix, usual_mix,
    },
    record, step,
};

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
            for pair in sim.engine.interfering_pairs() {
                assert!(pair.samples >= 8, "{pair:?}");
            }
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

/// Guards against noise, and estimates that are off by up to 60%, that hide a
/// slowdown to half.
#[test]
fn interferers_in_noise() {
    let images = names(6);
    let mut sim = cell(7, 12, true);
    sim.paces.noise = 0.5;
    sim.paces.estimate_error = 0.6;
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
    for number in [0, 4, 7] {
        sim.workers[number].labels = vec!["slow".to_owned()];
    }
    sim.take_over();
    sim.run_ms(200);
    let lasting = StepSpec {
        long_running: true,
        max_per_worker: 1,
        required_label: Some("slow".to_owned()),
        ..step(3, 2_000, 300)
    };
    let lasting = image_step("lasting", lasting);
    sim.submit(1, record("batch", vec![lasting]));
    sim.run_ms(1_000);
    let mut key = 10;
    for _ in 0..40 {
        submit_mix(&mut sim, &usual_mix(&images), &mut key, 5_500);
        assert_eq!(found(&sim), []);
    }
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
    let slowed: Vec<(String, String)> = (0..6)
        .map(|number| pair(&images[5 * number], &images[5 * number + 1]))
        .collect();
    let rules = slowed.iter().map(|(a, b)| (a.clone(), b.clone(), 0.4));
    sim.paces.interference = rules.collect();
    // On average, each pair is seen every 25 s.
    let mix = Mix {
        count: 12,
        cores_milli: 1_400,
        estimate_ms: 1_500,
        every_ms: 200,
        images: &images,
    };
    let mut key = 1;
    let mut ever = Vec::new();
    while key < 3_000 && ever.len() < slowed.len() {
        submit_mix(&mut sim, &mix, &mut key, 8_000);
        let counts = sim.engine.counts(sim.now().steady);
        assert!(counts.learnt_pairs <= 512, "{}", counts.learnt_pairs);
        for found in found(&sim) {
            assert!(slowed.contains(&found), "{found:?}");
            if !ever.contains(&found) {
                ever.push(found);
            }
        }
    }
    assert_eq!(ever.len(), slowed.len(), "{ever:?}");
}

/// Returns a cell in which tasks of the image `beside` last on `with` of 14
/// workers and slow those of `slowed` there, after the usual paces of the
/// workers are known.
fn fixed_neighbours(seed: u64, with: usize) -> Simulation {
    let mut sim = cell(seed, 14, true);
    let warm = step(14, 2_800, 10_000);
    let warm = StepSpec { max_per_worker: 1, ..image_step("warm", warm) };
    sim.submit(1, record("batch", vec![warm]));
    sim.run_ms(15_000);
    add_lasting(&mut sim, 2, "beside", 0..with);
    set_interference(&mut sim, &[("slowed", "beside", 0.5)]);
    sim
}

/// Starts a task of an image that lasts on each of some workers.
fn add_lasting(
    sim: &mut Simulation,
    key: u64,
    image: &str,
    workers: std::ops::Range<usize>,
) {
    let label = format!("{key}");
    for number in workers.clone() {
        sim.workers[number].labels.push(label.clone());
        let (listing, now) = (sim.listing(number), sim.now());
        sim.engine.set_listing(listing, now);
    }
    let lasting = StepSpec {
        long_running: true,
        max_per_worker: 1,
        required_label: Some(label),
        ..step(workers.len() as u32, 2_000, 300)
    };
    sim.submit(key, record("batch", vec![image_step(image, lasting)]));
    sim.run_ms(500);
    let tasks =
        sim.starts.iter().filter(|(_, task, _)| task.step.job.0 == key);
    assert_eq!(tasks.count(), workers.len());
}

/// Runs jobs of the image `slowed`, a task on each worker, one after another.
fn run_slowed(sim: &mut Simulation, jobs: std::ops::Range<u64>) {
    for key in jobs {
        let spec = step(14, 2_800, 3_000);
        let spec = StepSpec { max_per_worker: 1, ..spec };
        let spec = image_step("slowed", spec);
        sim.submit(key, record("batch", vec![spec]));
        sim.run_ms(8_000);
    }
}

/// Guards against an innocent image that is named since it mostly is where the
/// cause is: on six workers with it, and on three others.
#[test]
fn companions() {
    let mut sim = fixed_neighbours(24, 6);
    add_lasting(&mut sim, 3, "companion", 0..9);
    for key in 10..25 {
        run_slowed(&mut sim, key..key + 1);
        let found = found(&sim);
        assert!(!found.contains(&pair("slowed", "companion")), "{key}");
    }
    assert_eq!(found(&sim), [pair("slowed", "beside")]);
}

/// Guards against a pair that is found since jobs take twice their estimates
/// everywhere from the time on at which the other image comes.
#[test]
fn wrong_estimates() {
    let mut sim = fixed_neighbours(29, 1);
    sim.paces.interference.clear();
    run_slowed(&mut sim, 100..106);
    add_lasting(&mut sim, 3, "beside", 1..12);
    sim.paces.images = vec![("slowed".to_owned(), 0.5)];
    for key in 10..20 {
        run_slowed(&mut sim, key..key + 1);
        assert_eq!(found(&sim), []);
    }
}

/// Guards against a pair that is found from two workers alone, or from two
/// jobs alone: machines and jobs differ for other reasons.
#[test]
fn few_workers_or_jobs() {
    let expected = [pair("slowed", "beside")];
    let mut sim = fixed_neighbours(26, 2);
    run_slowed(&mut sim, 10..30);
    assert_eq!(found(&sim), [], "2 workers");
    let mut sim = fixed_neighbours(27, 10);
    run_slowed(&mut sim, 10..12);
    assert_eq!(found(&sim), [], "2 jobs");
    run_slowed(&mut sim, 12..14);
    assert_eq!(found(&sim), expected, "4 jobs on 10 workers");
    let mut sim = fixed_neighbours(28, 3);
    run_slowed(&mut sim, 10..30);
    assert_eq!(found(&sim), expected, "3 workers");
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
