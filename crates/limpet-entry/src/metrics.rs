//! Metrics of the process, served as text.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt::Write as _,
};

use hdrhistogram::Histogram;
use limpet_workflow::Timeline;

use crate::node::Node;

/// The longest latency that is recorded, an hour; longer ones count as this.
const MAX_LATENCY_MS: u64 = 3_600_000;
/// The longest time of an activity that is recorded, ten minutes. These
/// histograms are many, so they are coarse.
const MAX_ACTIVITY_MS: u64 = 600_000;
/// The most of these histograms. Configurations may name ever new queues.
const MAX_ACTIVITIES: usize = 512;
/// The precision of these times.
const ACTIVITY_FIGURES: u8 = 1;
/// The precision of recorded latencies.
const SIGNIFICANT_FIGURES: u8 = 2;
/// The quantiles that are served.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Counters and latencies of the process.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Accepted submissions.
    pub accepted: Cell<u64>,
    /// Start orders that were sent.
    pub starts: Cell<u64>,
    /// Start orders without a reply.
    pub starts_unanswered: Cell<u64>,
    /// Failed polls of workers.
    pub polls_failed: Cell<u64>,
    /// Store transactions that failed or had no answer.
    pub store_failures: Cell<u64>,
    /// Jobs that were completed after their latency objective.
    pub jobs_late: Cell<u64>,
    /// Lines about ended jobs that were not logged, since there were too many.
    pub job_lines_dropped: Cell<u64>,
    /// Jobs that failed because a task crashes its workers.
    pub jobs_given_up: Cell<u64>,
    /// Tasks that were moved out of evacuated data centres.
    pub evacuation_moves: Cell<u64>,
    /// Takeovers of the cell by this process.
    pub takeovers: Cell<u64>,
    /// The time from the arrival of a submission to its answer.
    pub submission: Latency,
    /// The time from the acceptance of a job to its first start.
    pub first_start: Latency,
    /// The time from handing out an advice request to its answer.
    pub advice: Latency,
    /// The duration of a write of progress to the store.
    pub progress_write: Latency,
    /// The time from sending a start order to its reply or time-out.
    pub start_order: Latency,
    /// The time from a worker's report of ended runs until they are durable.
    pub ends_durable: Latency,
    /// Refused requests of clients, by reason.
    refused: RefCell<BTreeMap<&'static str, u64>>,
    /// Runs that were ordered to stop, by reason.
    stops: RefCell<BTreeMap<&'static str, u64>>,
    /// Runs that were lost with a life of their worker, by how it ended.
    runs_lost: RefCell<BTreeMap<&'static str, u64>>,
    /// The times of ended jobs, by queue and activity.
    activities: RefCell<BTreeMap<(String, &'static str), Latency>>,
}

/// A histogram of durations.
#[derive(Debug)]
pub struct Latency(RefCell<Histogram<u64>>);

impl Default for Latency {
    fn default() -> Latency {
        let histogram =
            Histogram::new_with_max(MAX_LATENCY_MS, SIGNIFICANT_FIGURES);
        Latency(RefCell::new(histogram.expect("the bounds are valid")))
    }
}

impl Latency {
    fn of_activity() -> Latency {
        let histogram =
            Histogram::new_with_max(MAX_ACTIVITY_MS, ACTIVITY_FIGURES);
        Latency(RefCell::new(histogram.expect("the bounds are valid")))
    }

    /// Records a duration. One above an hour is recorded as an hour.
    pub fn record_ms(&self, ms: u64) {
        self.0.borrow_mut().saturating_record(ms);
    }

    /// Writes the quantiles, the sum and the count. `labels` are written
    /// before that of the quantile.
    fn write(&self, text: &mut String, name: &str, labels: &str) {
        let histogram = self.0.borrow();
        for quantile in QUANTILES {
            let value_ms = histogram.value_at_quantile(quantile);
            let separator = if labels.is_empty() { "" } else { "," };
            write_line(
                text,
                format_args!(
                    "{name}{{{labels}{separator}quantile=\"{quantile}\"}} \
                     {value_ms}"
                ),
            );
        }
        let braces = match labels.is_empty() {
            true => String::new(),
            false => format!("{{{labels}}}"),
        };
        let sum_ms = histogram.mean() * histogram.len() as f64;
        write_line(text, format_args!("{name}_sum{braces} {sum_ms:.0}"));
        let count = histogram.len();
        write_line(text, format_args!("{name}_count{braces} {count}"));
    }
}

impl Metrics {
    /// Increments a counter.
    pub fn count(counter: &Cell<u64>) {
        counter.set(counter.get() + 1);
    }

    /// Counts a refused request of a client.
    pub fn count_refused(&self, reason: &'static str) {
        *self.refused.borrow_mut().entry(reason).or_default() += 1;
    }

    /// Counts a run that was ordered to stop.
    pub fn count_stop(&self, reason: &'static str) {
        *self.stops.borrow_mut().entry(reason).or_default() += 1;
    }

    /// Counts runs that were lost with a life of their worker.
    pub fn count_runs_lost(&self, how: &'static str, runs: u64) {
        *self.runs_lost.borrow_mut().entry(how).or_default() += runs;
    }

    /// Adds up where the time of an ended job of a queue went.
    pub fn record_timeline(&self, queue: &str, timeline: &Timeline) {
        let mut activities = self.activities.borrow_mut();
        for (activity, ms) in timeline.spent_ms() {
            let key = (queue.to_owned(), activity.name());
            if activities.len() < MAX_ACTIVITIES
                || activities.contains_key(&key)
            {
                activities
                    .entry(key)
                    .or_insert_with(Latency::of_activity)
                    .record_ms(ms);
            }
        }
    }

    /// Returns the number of refused requests of clients.
    pub fn refused(&self) -> u64 {
        self.refused.borrow().values().sum()
    }

    /// Returns all metrics as text, one `NAME VALUE` per line.
    pub fn to_text(&self, node: &Node) -> String {
        let mut text = String::new();
        let counters = [
            ("limpet_accepted_total", &self.accepted),
            ("limpet_starts_total", &self.starts),
            ("limpet_starts_unanswered_total", &self.starts_unanswered),
            ("limpet_looks_failed_total", &self.polls_failed),
            ("limpet_store_failures_total", &self.store_failures),
            ("limpet_takeovers_total", &self.takeovers),
            ("limpet_jobs_given_up_total", &self.jobs_given_up),
            ("limpet_jobs_late_total", &self.jobs_late),
            ("limpet_job_lines_dropped_total", &self.job_lines_dropped),
            ("limpet_evacuation_moves_total", &self.evacuation_moves),
        ];
        for (name, counter) in counters {
            write_line(&mut text, format_args!("{name} {}", counter.get()));
        }
        let by_reason = [
            ("limpet_refused_total", &self.refused),
            ("limpet_stops_total", &self.stops),
            ("limpet_runs_lost_total", &self.runs_lost),
        ];
        for (name, counts) in by_reason {
            for (reason, count) in counts.borrow().iter() {
                write_line(
                    &mut text,
                    format_args!("{name}{{reason=\"{reason}\"}} {count}"),
                );
            }
        }
        let latencies = [
            ("limpet_submission_ms", &self.submission),
            ("limpet_first_start_ms", &self.first_start),
            ("limpet_advice_ms", &self.advice),
            ("limpet_progress_write_ms", &self.progress_write),
            ("limpet_start_order_ms", &self.start_order),
            ("limpet_ends_durable_ms", &self.ends_durable),
        ];
        for (name, latency) in latencies {
            latency.write(&mut text, name, "");
        }
        for ((queue, activity), latency) in self.activities.borrow().iter() {
            let labels = format!("queue=\"{queue}\",activity=\"{activity}\"");
            latency.write(&mut text, "limpet_job_activity_ms", &labels);
        }
        write_gauges(&mut text, node);
        text
    }
}

/// Writes the gauges; those of the cell only if this instance owns it.
fn write_gauges(text: &mut String, node: &Node) {
    let owner = node.loaded_owner();
    let mut gauges = vec![
        ("limpet_owns_cell", u64::from(owner.is_some())),
        ("limpet_ready", u64::from(node.is_ready())),
        ("limpet_requests_in_flight", u64::from(node.in_flight.get())),
        ("limpet_config_age_ms", node.config_age_ms()),
        (
            "limpet_evacuated_data_centres",
            node.evacuations.borrow().data_centres().len() as u64,
        ),
    ];
    if let Some(owner) = &owner {
        let counts = owner.counts();
        let away = owner.lasting_away();
        let away_tasks: usize = away.iter().map(|away| away.tasks).sum();
        gauges.extend([
            ("limpet_lasting_away", away_tasks as u64),
            ("limpet_evacuated_runs", owner.evacuation_state().runs as u64),
            ("limpet_suspect_tasks", counts.suspect_tasks as u64),
            ("limpet_active_jobs", counts.active_jobs as u64),
            ("limpet_waiting_steps", counts.waiting_steps as u64),
            ("limpet_claims", counts.claims as u64),
            ("limpet_usable_workers", counts.usable_workers as u64),
            ("limpet_used_cores", counts.used_cores_milli / 1_000),
            ("limpet_kept_cores", counts.reserved_cores_milli / 1_000),
            ("limpet_usable_cores", counts.usable_cores_milli / 1_000),
            ("limpet_interfering_pairs", counts.interfering_pairs as u64),
            ("limpet_starts_kept_apart_total", counts.starts_kept_apart),
        ]);
    }
    let bands = owner.map(|owner| owner.speed_bands()).unwrap_or_default();
    for (band, count) in bands {
        let name = "limpet_worker_speed_bands";
        write_line(text, format_args!("{name}{{band=\"{band}\"}} {count}"));
    }
    for (name, value) in gauges {
        write_line(text, format_args!("{name} {value}"));
    }
}

fn write_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    writeln!(text, "{line}").ok();
}
