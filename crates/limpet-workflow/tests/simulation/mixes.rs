//! Random jobs of several images, and what the engine learns of them.

use limpet_core::Resources;
use limpet_workflow::StepSpec;
use rand::RngExt;

use super::{Simulation, record, step};

/// Returns a cell without a limit of its team that keeps tasks apart, if set.
pub fn cell(seed: u64, workers: usize, keep_apart: bool) -> Simulation {
    let mut sim = Simulation::new(seed, workers);
    sim.options.keep_apart = keep_apart;
    sim.config.teams[0].limit = Resources::UNLIMITED;
    sim.config.revision += 1;
    sim.history.limits.clear();
    sim.take_over();
    sim.run_ms(200);
    sim
}

pub fn image_step(image: &str, spec: StepSpec) -> StepSpec {
    StepSpec { image: image.to_owned(), ..spec }
}

pub fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("image-{number}")).collect()
}

/// A mix of jobs, each of one image.
pub struct Mix<'a> {
    pub images: &'a [String],
    pub count: u32,
    pub cores_milli: u64,
    pub estimate_ms: u64,
    /// The time between two jobs.
    pub every_ms: u64,
}

/// Half of the cores of 12 workers: tasks of a step are spread over several of
/// them, and there is room to keep tasks apart.
pub fn usual_mix(images: &[String]) -> Mix<'_> {
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
pub fn submit_mix(
    sim: &mut Simulation,
    mix: &Mix,
    next_key: &mut u64,
    ms: u64,
) {
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
pub fn found(sim: &Simulation) -> Vec<(String, String)> {
    let pairs = sim.engine.interfering_pairs();
    pairs.into_iter().map(|pair| (pair.slowed, pair.by)).collect()
}

pub fn pair(slowed: &str, by: &str) -> (String, String) {
    (slowed.to_owned(), by.to_owned())
}

pub fn set_interference(sim: &mut Simulation, pairs: &[(&str, &str, f64)]) {
    sim.paces.interference = pairs
        .iter()
        .map(|(slowed, by, pace)| {
            ((*slowed).to_owned(), (*by).to_owned(), *pace)
        })
        .collect();
}
