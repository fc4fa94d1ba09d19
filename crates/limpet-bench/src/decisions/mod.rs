//! The speed and memory of the scheduler's decisions, at the target size, at
//! a tenth of it and at four times the size.

mod cell;
mod meter;
mod slope;

use limpet_core::{Resources, TaskOutcome, scheduler::Event};

use self::{cell::LoadedCell, meter::CpuTimer, slope::fit_slope};
use crate::{BenchOptions, Record};

/// The number of workers at the target size.
const WORKERS: f64 = 680.0;
/// The number of running tasks at the target size.
const RUNNING: f64 = 5_200.0;
/// The number of waiting tasks, at every size.
const BACKLOG: usize = 50_000;
/// The factors applied to the target size, each with the name of its case.
const FACTORS: [(f64, &str); 3] =
    [(0.1, "tenth"), (1.0, "target"), (4.0, "four")];
/// The number of tasks that end during the measurement of a case.
const TASK_ENDS: usize = 30_000;
/// The number of jobs that are cancelled one after the other.
const CANCELLED_JOBS: usize = 5_000;

/// The smallest allowed number of task starts per second of processor time.
const MIN_PLACEMENTS_PER_S: f64 = 20_000.0;
/// The largest allowed 99th percentile of the time of a decision.
const MAX_DECISION_P99_MS: f64 = 1.0;
/// The largest allowed processor time of a task start: 3.1% of a core at 660
/// starts a second.
const MAX_START_US: f64 = 47.0;
/// The largest allowed resident memory of the process.
const MAX_MEMORY_MB: f64 = 128.0;

/// Measures decisions at each size, and fits a line to the processor time of
/// a start by the number of workers. Also measures decisions while many jobs
/// are cancelled and a rack is lost.
///
/// # Errors
///
/// The processor time or memory of this process can't be read from `/proc`.
pub fn run(options: &BenchOptions) -> eyre::Result<Vec<Record>> {
    let mut records = Vec::new();
    let mut points = Vec::new();
    for (factor, case) in FACTORS {
        if options.includes(case) {
            let (measured, point) = measure_case(options, factor, case)?;
            records.extend(measured);
            points.push(point);
        }
    }
    if points.len() == FACTORS.len() {
        let slope_us = fit_slope(&points);
        records.push(Record::new(
            "decisions",
            "slope",
            "start_us_per_thousand_workers",
            slope_us * 1000.0,
            "us",
        ));
    }
    if options.includes("wave") {
        records.extend(measure_cancellations(options));
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
    let fill_timer = CpuTimer::start()?;
    cell.fill(running, BACKLOG);
    let fill_cost = fill_timer.stop(cell.take_starts())?;
    let timer = CpuTimer::start()?;
    let rounds = (TASK_ENDS as f64 * options.size) as usize;
    for _ in 0..rounds {
        cell.end_random_task();
    }
    let cost = timer.stop(cell.take_starts())?;
    let record = |metric: &str, value: f64, unit: &str| {
        Record::new("decisions", case, metric, value, unit)
            .along(workers, "workers")
    };
    let start_us = cost.start_us();
    let records = vec![
        record("placements_per_s", cost.starts_per_s(), "1/s")
            .at_least(MIN_PLACEMENTS_PER_S),
        record("fill_placements_per_s", fill_cost.starts_per_s(), "1/s"),
        record("start_us", start_us, "us").at_most(MAX_START_US),
        record("decision_p50", cell.decision_ms(50.0), "ms"),
        record("decision_p99", cell.decision_ms(99.0), "ms")
            .at_most(MAX_DECISION_P99_MS),
        record("decision_max", cell.decision_ms(100.0), "ms"),
        record("memory", meter::memory_mb()?, "MB").at_most(MAX_MEMORY_MB),
        record("starts", cost.starts as f64, "starts"),
        record("running", cell.running() as f64, "tasks"),
        record("backlog", cell.backlog() as f64, "tasks"),
    ];
    Ok((records, Point { workers, start_us }))
}

/// Measures decisions while thousands of jobs are cancelled, and after a rack
/// is lost, with tasks ending in between.
fn measure_cancellations(options: &BenchOptions) -> Vec<Record> {
    let workers = (WORKERS * options.size) as usize;
    let mut cell = LoadedCell::new(options.seed, workers);
    cell.fill((RUNNING * options.size) as usize, BACKLOG);
    cell.reset_times();
    let mut jobs = cell.take_newest_jobs(CANCELLED_JOBS);
    let mut cancel_ms = 0.0;
    while let Some(job) = jobs.pop() {
        cancel_ms += cell.feed_unrecorded(&Event::JobCancelled { job });
        cell.end_random_task();
    }
    let during_cancels_ms = cell.decision_ms(99.0);
    cell.reset_times();
    let rack_loss_ms = cell.lose_rack();
    for _ in 0..1_000 {
        cell.end_random_task();
    }
    let after_loss_ms = cell.decision_ms(99.0);
    let record = |metric: &str, value: f64, unit: &str| {
        Record::new("decisions", "wave", metric, value, unit)
    };
    vec![
        record("cancel_us", cancel_ms * 1000.0 / CANCELLED_JOBS as f64, "us"),
        record("decision_p99", during_cancels_ms, "ms")
            .at_most(MAX_DECISION_P99_MS),
        record("rack_loss", rack_loss_ms, "ms"),
        record("decision_p99_after_loss", after_loss_ms, "ms")
            .at_most(MAX_DECISION_P99_MS),
    ]
}

/// The capacity of a worker without accelerators.
const PLAIN_CAPACITY: Resources = Resources::new(16_000, 65_536, 0);
/// The capacity of a worker with accelerators.
const ACCELERATED_CAPACITY: Resources = Resources::new(16_000, 65_536, 4);
/// The outcome of every task that ends.
const OUTCOME: TaskOutcome = TaskOutcome::Done;
