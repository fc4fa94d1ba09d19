//! Goodput, shares and retries when more is offered than can be served.

use crate::{
    BenchOptions, Record,
    replay::{
        FleetFault, MEAN_RUN_MS, ReplayOptions, ReplayOutcome, SITE_SLOTS,
        Trace, WEIGHTS, replay,
    },
};

/// The offered load in times of what the sound runners can carry.
const TIMES: [f64; 4] = [1.0, 2.0, 3.0, 5.0];
/// Goodput under overload over its peak.
const LEAST_OF_PEAK_PERCENT: f64 = 90.0;
/// How long the start is left out of the goodput.
const WARM_UP_MS: u64 = 2_000;
/// Retries as a part of requests.
const MOST_RETRIES_PERCENT: f64 = 10.0;

/// One way to deal with overload.
struct Way {
    name: &'static str,
    options: ReplayOptions,
    bounded: bool,
}

fn ways() -> [Way; 3] {
    let shipped = ReplayOptions::new();
    [
        Way { name: "kept", options: shipped, bounded: true },
        Way {
            name: "late",
            options: ReplayOptions { early_refusal: false, ..shipped },
            bounded: false,
        },
        Way {
            name: "no-budget",
            options: ReplayOptions { retry_budget: false, ..shipped },
            bounded: false,
        },
    ]
}

/// Offers 1 to 5 times the capacity under each fault of a third of the
/// runners.
///
/// # Errors
///
/// None.
pub fn run(options: &BenchOptions) -> eyre::Result<Vec<Record>> {
    let mut records = Vec::new();
    for way in ways() {
        for fault in FleetFault::ALL {
            let case = format!("{}-{}", way.name, fault.as_str());
            if options.includes(&case) {
                records.extend(measure(options, &case, &way, fault));
            }
        }
    }
    Ok(records)
}

fn measure(
    options: &BenchOptions,
    case: &str,
    way: &Way,
    fault: FleetFault,
) -> Vec<Record> {
    let sound = match fault {
        FleetFault::None => 1.0,
        _ => 2.0 / 3.0,
    };
    let capacity_per_s = sound * SITE_SLOTS as f64 * 1e3 / MEAN_RUN_MS;
    let points: Vec<Point> = TIMES
        .iter()
        .map(|&times| {
            let rate_per_s = times * capacity_per_s;
            let trace =
                Trace::poisson(rate_per_s, options.duration_ms, options.seed);
            let way = ReplayOptions { fault, ..way.options };
            let outcome = replay(&trace, &way, options.seed);
            Point::new(times, &trace, outcome)
        })
        .collect();
    let peak = points.iter().map(|one| one.goodput_per_s).fold(0.0, f64::max);
    points
        .iter()
        .flat_map(|point| point.records(case, peak, way.bounded))
        .collect()
}

struct Point {
    times: f64,
    offered: f64,
    goodput_per_s: f64,
    outcome: ReplayOutcome,
}

impl Point {
    fn new(times: f64, trace: &Trace, outcome: ReplayOutcome) -> Point {
        // The queues fill at the start, and drain after the end: neither
        // belongs to the steady state.
        let from_ms = WARM_UP_MS.min(trace.duration_ms / 2);
        let goodput_per_s = outcome.goodput_per_s(from_ms, trace.duration_ms);
        Point {
            times,
            offered: trace.requests.len() as f64,
            goodput_per_s,
            outcome,
        }
    }

    fn records(&self, case: &str, peak: f64, bounded: bool) -> Vec<Record> {
        let record = |metric, value, unit| {
            Record::new("overload", case, metric, value, unit)
                .along(self.times, "times capacity")
        };
        let percent =
            |count: u64| 100.0 * count as f64 / self.offered.max(1.0);
        let of_peak = record(
            "goodput_of_peak",
            100.0 * self.goodput_per_s / peak.max(1.0),
            "%",
        );
        let retries = record("retries", percent(self.outcome.retries), "%");
        let (of_peak, retries) = match bounded {
            true => (
                of_peak.at_least(LEAST_OF_PEAK_PERCENT),
                retries.at_most(MOST_RETRIES_PERCENT),
            ),
            false => (of_peak, retries),
        };
        vec![
            of_peak,
            retries,
            record("goodput", self.goodput_per_s, "/s"),
            record("refused", percent(self.outcome.refused), "%"),
            record("failed", percent(self.outcome.failed), "%"),
            record("late", percent(self.outcome.late), "%"),
            record("p99", self.outcome.latency_ms(99.0), "ms"),
            record("share_deviation", self.share_deviation(), "%"),
        ]
    }

    /// Returns the largest difference between a team's part of the answers
    /// and its weight's, which counts once more is offered than fits.
    fn share_deviation(&self) -> f64 {
        let answered = &self.outcome.answered_by_team;
        let sum: u64 = answered.iter().sum();
        let weights: u32 = WEIGHTS.iter().sum();
        answered
            .iter()
            .zip(WEIGHTS)
            .map(|(count, weight)| {
                let part = *count as f64 / sum.max(1) as f64;
                let due = f64::from(weight) / f64::from(weights);
                100.0 * (part - due).abs()
            })
            .fold(0.0, f64::max)
    }
}
