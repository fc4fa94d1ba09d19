use std::time::Instant;

use limpet_core::{
    JobId, JobSpec, Resources, TimeMs,
    command::{
        CellView, Command, CommandAnswer, Part, evaluate_part, merge_parts,
    },
    config::{QueueConfig, QueuePolicy},
    scheduler::{Event, JobView, Scheduler},
};

use super::BENCH;
use crate::{options::BenchOptions, record::Record};

/// The name of the case.
pub(super) const CASE: &str = "parts of show jobs";
/// The number of waiting jobs in the table.
const JOBS: f64 = 50_000.0;
/// The number of jobs that are read from the scheduler at a time.
const SLICE_JOBS: usize = 256;

/// Measures, on one thread, each step from a scheduler with many waiting jobs
/// to the table that the operator's client has parsed.
pub(super) fn measure(options: &BenchOptions) -> eyre::Result<Vec<Record>> {
    let jobs = (JOBS * options.size).max(1.0) as u64;
    let scheduler = build_scheduler(jobs)?;
    let command: Command = "show jobs".parse()?;
    let (views, slice_ms, longest_ms) = read_slices(&scheduler);
    let view = CellView { jobs: views, ..CellView::default() };
    let (part, evaluate_ms) = timed(|| evaluate_part(&command, &view, None));
    let parts = vec![Part::Answered(part?)];
    let (answer, merge_ms) = timed(|| merge_parts(&command, parts));
    let (text, write_ms) =
        timed(|| serde_json::to_string(&answer.as_ref().ok()));
    let text = text?;
    let (read, read_ms) =
        timed(|| serde_json::from_str::<CommandAnswer>(&text));
    let record =
        |metric, value, unit| Record::new(BENCH, CASE, metric, value, unit);
    Ok(vec![
        record("rows", read?.rows.len() as f64, "jobs"),
        record("read_slices", slice_ms, "ms"),
        record("longest_slice", longest_ms, "ms"),
        record("evaluate", evaluate_ms, "ms"),
        record("merge", merge_ms, "ms"),
        record("write_json", write_ms, "ms"),
        record("read_json", read_ms, "ms"),
        record("json_bytes", text.len() as f64, "bytes"),
    ])
}

/// Runs `work` and returns its result and the time in milliseconds.
fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let start = Instant::now();
    let result = work();
    (result, start.elapsed().as_secs_f64() * 1_000.0)
}

/// Reads all jobs from the scheduler in slices. Returns them with the total
/// time and the time of the longest slice, in milliseconds.
fn read_slices(scheduler: &Scheduler) -> (Vec<JobView>, f64, f64) {
    let mut views: Vec<JobView> = Vec::new();
    let (mut total_ms, mut longest_ms) = (0.0, 0.0_f64);
    loop {
        let last = views.last().map(|job| job.job);
        let (slice, taken_ms) =
            timed(|| scheduler.jobs_after(last, SLICE_JOBS));
        total_ms += taken_ms;
        longest_ms = longest_ms.max(taken_ms);
        if slice.is_empty() {
            return (views, total_ms, longest_ms);
        }
        views.extend(slice);
    }
}

/// Returns a scheduler without workers, in which this number of jobs wait.
fn build_scheduler(jobs: u64) -> eyre::Result<Scheduler> {
    let now = TimeMs::ZERO;
    let mut scheduler = Scheduler::new();
    let config = QueueConfig {
        policy: QueuePolicy::Batch,
        open: false,
        stop_over_size: false,
    };
    let queue = "batch".parse()?;
    scheduler.handle(&Event::QueueChanged { queue, config }, now);
    let team = "rosters".parse()?;
    let allotment = Resources::UNLIMITED;
    scheduler.handle(&Event::AllotmentChanged { team, allotment }, now);
    let spec: JobSpec = toml::from_str(super::large_table::WAITING_JOB)?;
    for number in 1..=jobs {
        let job = JobId::new(number);
        let spec = spec.clone();
        scheduler.handle(&Event::JobAccepted { job, spec }, now);
    }
    Ok(scheduler)
}
