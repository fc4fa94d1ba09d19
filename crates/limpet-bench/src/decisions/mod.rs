//! How fast the scheduler decides, at the sizes that it has to carry.

mod cell;
mod meter;
mod slope;

use limpet_core::{Resources, TaskOutcome, scheduler::Event};

use self::{cell::LoadedCell, meter::Meter, slope::fit_slope};
use crate::{BenchOptions, Record};

/// The workers of the target cell.
const WORKERS: f64 = 680.0;
/// The tasks that run on it.
const RUNNING: f64 = 5_200.0;
/// The tasks that wait for it.
const BACKLOG: usize = 50_000;
/// The factors on the number of workers.
const FACTORS: [(f64, &str); 3] =
    [(0.1, "tenth"), (1.0, "target"), (4.0, "four")];
/// The ends of tasks in one measured case.
const ROUNDS: usize = 30_000;
/// The jobs of a wave of cancellations.
const WAVE: usize = 5_000;

/// Placements each second on one core.
const LEAST_PLACEMENTS_PER_S: f64 = 20_000.0;
/// The time of a decision.
const MOST_DECISION_MS: f64 = 1.0;
/// Processor time of each start: 3.1% of a core at 660 starts a second.
const MOST_START_US: f64 = 47.0;
/// Memory of the process.
const MOST_MEMORY_MB: f64 = 128.0;

/// Measures decisions at a tenth of the target's workers, at the target
/// and at four times as many, and fits the slope.
///
/// # Errors
///
/// The kernel's figures on this process can't be read.
pub fn run(options: &BenchOptions) -> eyre::Result<Vec<Record>> {
    let mut records = Vec::new();
    let mut points = Vec::new();
    for (factor, case) in FACTORS {
        if options.includes(case) {
            let (found, point) = measure_case(options, factor, case)?;
            records.extend(found);
            points.push(point);
        }
    }
    if points.len() == FACTORS.len() {
        let slope = fit_slope(&points);
        records.push(Record::new(
            "decisions",
            "slope",
            "start_us_per_thousand_workers",
            slope * 1000.0,
            "us",
        ));
    }
    if options.includes("wave") {
        records.extend(measure_wave(options));
    }
    Ok(records)
}

/// A number of workers and the processor time of a start there, in
/// microseconds.
pub(super) struct Point {
    workers: f64,
    start_us: f64,
}

fn measure_case(
    options: &BenchOptions,
    factor: f64,
    case: &str,
) -> eyre::Result<(Vec<Record>, Point)> {
    let workers = (WORKERS * factor * options.size).round();
    let running = (RUNNING * factor * options.size) as usize;
    let mut cell = LoadedCell::new(options.seed, workers as usize);
    let filling = Meter::start()?;
    cell.fill(running, BACKLOG);
    let filled = filling.stop(cell.take_starts())?;
    let meter = Meter::start()?;
    let rounds = (ROUNDS as f64 * options.size) as usize;
    for _ in 0..rounds {
        cell.end_one();
    }
    let spent = meter.stop(cell.take_starts())?;
    let record = |metric: &str, value: f64, unit: &str| {
        Record::new("decisions", case, metric, value, unit)
            .along(workers, "workers")
    };
    let start_us = spent.start_us();
    let records = vec![
        record("placements_per_s", spent.starts_per_s(), "1/s")
            .at_least(LEAST_PLACEMENTS_PER_S),
        record("fill_placements_per_s", filled.starts_per_s(), "1/s"),
        record("start_us", start_us, "us").at_most(MOST_START_US),
        record("decision_p50", cell.decision_ms(50.0), "ms"),
        record("decision_p99", cell.decision_ms(99.0), "ms")
            .at_most(MOST_DECISION_MS),
        record("decision_max", cell.decision_ms(100.0), "ms"),
        record("memory", meter::memory_mb()?, "MB").at_most(MOST_MEMORY_MB),
        record("starts", spent.starts as f64, "starts"),
        record("running", cell.running() as f64, "tasks"),
        record("backlog", cell.backlog() as f64, "tasks"),
    ];
    Ok((records, Point { workers, start_us }))
}

/// Cancels thousands of jobs and loses a rack while unrelated work goes on.
fn measure_wave(options: &BenchOptions) -> Vec<Record> {
    let workers = (WORKERS * options.size) as usize;
    let mut cell = LoadedCell::new(options.seed, workers);
    cell.fill((RUNNING * options.size) as usize, BACKLOG);
    cell.forget_times();
    let mut wave = cell.oldest_jobs(WAVE);
    let mut cancel_ms = 0.0;
    while let Some(job) = wave.pop() {
        cancel_ms += cell.feed_untimed(&Event::JobCancelled { job });
        cell.end_one();
    }
    let during_wave = cell.decision_ms(99.0);
    cell.forget_times();
    let lost = cell.lose_rack();
    for _ in 0..1_000 {
        cell.end_one();
    }
    let after_loss = cell.decision_ms(99.0);
    let record = |metric: &str, value: f64, unit: &str| {
        Record::new("decisions", "wave", metric, value, unit)
    };
    vec![
        record("cancel_us", cancel_ms * 1000.0 / WAVE as f64, "us"),
        record("decision_p99", during_wave, "ms").at_most(MOST_DECISION_MS),
        record("rack_loss", lost, "ms"),
        record("decision_p99_after_loss", after_loss, "ms")
            .at_most(MOST_DECISION_MS),
    ]
}

/// The shape of a plain worker.
const PLAIN: Resources = Resources::new(16_000, 65_536, 0);
/// The shape of a worker with accelerators.
const ACCELERATED: Resources = Resources::new(16_000, 65_536, 4);
/// How a task ends in the bench.
const OUTCOME: TaskOutcome = TaskOutcome::Done;
