//! Goodput, fair shares and retries when more requests are offered than the
//! runners can serve.
//!
//! The routing decisions are replayed on a virtual clock, once for each fault
//! of a third of the runners and each load.

use crate::{
    BenchOptions, Record,
    replay::{
        FLEET_SLOTS, FleetFault, MEAN_RUN_MS, ReplayOptions, ReplayOutcome,
        Trace, WEIGHTS, replay,
    },
};

/// The offered loads, as multiples of the capacity of the healthy runners.
const LOAD_FACTORS: [f64; 4] = [1.0, 2.0, 3.0, 5.0];
/// The smallest allowed ratio of the goodput at any load to its maximum over
/// all loads.
const MIN_GOODPUT_OF_PEAK_PERCENT: f64 = 90.0;
/// The time at the start of a replay that is left out of the goodput.
const WARM_UP_MS: u64 = 2_000;
/// The largest allowed ratio of retries to requests.
const MAX_RETRIES_PERCENT: f64 = 10.0;

/// A configuration of overload control.
struct Variant {
    name: &'static str,
    options: ReplayOptions,
    /// Whether the variant's records have the bounds of the targets.
    bounded: bool,
}

/// Returns the default configuration and those with one mechanism off. Only
/// the default has bounds.
fn variants() -> [Variant; 3] {
    let defaults = ReplayOptions::new();
    [
        Variant { name: "kept", options: defaults, bounded: true },
        Variant {
            name: "late",
            options: ReplayOptions { early_refusal: false, ..defaults },
            bounded: false,
        },
        Variant {
            name: "no-budget",
            options: ReplayOptions { retry_budget: false, ..defaults },
            bounded: false,
        },
    ]
}

/// Offers 1 to 5 times the capacity under each fault of a third of the
/// runners.
///
/// # Errors
///
/// Never fails; the return type is the one that [`Bench`](crate::Bench)
/// requires.
pub fn run(options: &BenchOptions) -> eyre::Result<Vec<Record>> {
    let mut records = Vec::new();
    for variant in variants() {
        for fault in FleetFault::ALL {
            let case = format!("{}-{}", variant.name, fault.as_str());
            if options.includes(&case) {
                records.extend(measure(options, &case, &variant, fault));
            }
        }
    }
    Ok(records)
}

fn measure(
    options: &BenchOptions,
    case: &str,
    variant: &Variant,
    fault: FleetFault,
) -> Vec<Record> {
    let healthy_fraction = match fault {
        FleetFault::None => 1.0,
        _ => 2.0 / 3.0,
    };
    let capacity_per_s =
        healthy_fraction * FLEET_SLOTS as f64 * 1e3 / MEAN_RUN_MS;
    let points: Vec<Point> = LOAD_FACTORS
        .iter()
        .map(|&load_factor| {
            let rate_per_s = load_factor * capacity_per_s;
            let trace =
                Trace::poisson(rate_per_s, options.duration_ms, options.seed);
            let replay_options = ReplayOptions { fault, ..variant.options };
            let outcome = replay(&trace, &replay_options, options.seed);
            Point::new(load_factor, &trace, outcome)
        })
        .collect();
    let peak =
        points.iter().map(|point| point.goodput_per_s).fold(0.0, f64::max);
    points
        .iter()
        .flat_map(|point| point.records(case, peak, variant.bounded))
        .collect()
}

/// The outcome of the replay at one load.
struct Point {
    load_factor: f64,
    /// The number of requests in the trace.
    offered: f64,
    goodput_per_s: f64,
    outcome: ReplayOutcome,
}

impl Point {
    fn new(load_factor: f64, trace: &Trace, outcome: ReplayOutcome) -> Point {
        // Queues fill at the start and drain after the last arrival. Both
        // phases are left out, as neither belongs to the steady state.
        let from_ms = WARM_UP_MS.min(trace.duration_ms / 2);
        let goodput_per_s = outcome.goodput_per_s(from_ms, trace.duration_ms);
        Point {
            load_factor,
            offered: trace.requests.len() as f64,
            goodput_per_s,
            outcome,
        }
    }

    fn records(&self, case: &str, peak: f64, bounded: bool) -> Vec<Record> {
        let record = |metric, value, unit| {
            Record::new("overload", case, metric, value, unit)
                .along(self.load_factor, "times capacity")
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
                of_peak.at_least(MIN_GOODPUT_OF_PEAK_PERCENT),
                retries.at_most(MAX_RETRIES_PERCENT),
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

    /// Returns the largest difference between a team's share of the answers
    /// and its share of the weights, in percentage points. It is meaningful
    /// only if more is offered than can be served.
    fn share_deviation(&self) -> f64 {
        let answered = &self.outcome.answered_by_team;
        let sum: u64 = answered.iter().sum();
        let weights: u32 = WEIGHTS.iter().sum();
        answered
            .iter()
            .zip(WEIGHTS)
            .map(|(count, weight)| {
                let actual = *count as f64 / sum.max(1) as f64;
                let expected = f64::from(weight) / f64::from(weights);
                100.0 * (actual - expected).abs()
            })
            .fold(0.0, f64::max)
    }
}
