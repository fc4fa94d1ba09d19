use limpet_core::routing::SlotPolicy;

use crate::{
    BenchOptions, Record,
    replay::{
        MEAN_RUN_MS, ReplayOptions, ReplayOutcome, SITE_SLOTS, Trace,
        ideal_latencies_us, percentile_ms, replay,
    },
};

/// The loads, as parts of what all slots can carry, and how much more than
/// its due the balancer gives the first instance.
const LOADS: [(f64, f64); 4] =
    [(0.6, 0.0), (0.8, 0.0), (0.9, 0.0), (0.6, 0.2)];
/// The latency at the 99th percentile over that of one ideal queue, where
/// the balancer gives each instance its due.
const MOST_TIMES_IDEAL: f64 = 2.0;
/// The hedge that is compared, in times of the mean latency.
const HEDGE_FACTOR: f64 = 3.0;

/// Replays the same trace under each way to share slots.
pub(super) fn measure(options: &BenchOptions) -> Vec<Record> {
    let ways = [
        ("credits", way(SlotPolicy::Credits, None)),
        ("two-choices", way(SlotPolicy::TwoChoices, None)),
        ("borrow", way(SlotPolicy::CreditsThenBorrow, None)),
        ("hedged", way(SlotPolicy::Credits, Some(HEDGE_FACTOR))),
    ];
    let mut records = Vec::new();
    for (load, skew) in LOADS {
        for (name, way) in ways {
            let skewed = if skew > 0.0 { "-skewed" } else { "" };
            let case = format!("sharing-{name}-{:.0}{skewed}", load * 100.0);
            if options.includes(&case) {
                records.extend(measure_way(
                    options,
                    &case,
                    (load, skew),
                    &way,
                ));
            }
        }
    }
    records
}

fn way(policy: SlotPolicy, hedge_factor: Option<f64>) -> ReplayOptions {
    ReplayOptions { policy, hedge_factor, ..ReplayOptions::new() }
}

fn measure_way(
    options: &BenchOptions,
    case: &str,
    (load, skew): (f64, f64),
    way: &ReplayOptions,
) -> Vec<Record> {
    let rate_per_s = load * SITE_SLOTS as f64 * 1e3 / MEAN_RUN_MS;
    let trace =
        Trace::skewed(rate_per_s, options.duration_ms, options.seed, skew);
    let ideal = ideal_latencies_us(&trace, SITE_SLOTS);
    let outcome = replay(&trace, way, options.seed);
    let offered = trace.requests.len() as f64;
    let times = outcome.latency_ms(99.0) / percentile_ms(&ideal, 99.0);
    let ratio = Record::new("route", case, "p99_over_ideal", times, "times");
    let mut records = vec![match is_shipped(way) && skew == 0.0 {
        true => ratio.at_most(MOST_TIMES_IDEAL),
        false => ratio,
    }];
    let mut add = |metric, value, unit| {
        records.push(Record::new("route", case, metric, value, unit));
    };
    add("p50", outcome.latency_ms(50.0), "ms");
    add("p99", outcome.latency_ms(99.0), "ms");
    add("collisions", parts(outcome.collisions, offered), "%");
    add("not_answered", not_answered(&outcome, offered), "%");
    add("retries", parts(outcome.retries, offered), "%");
    add("spilled", parts(outcome.spilled, offered), "%");
    add("imbalance", outcome.imbalance(), "times");
    records
}

/// Says whether this is the way that the system ships with.
fn is_shipped(way: &ReplayOptions) -> bool {
    let shipped = ReplayOptions::new();
    way.policy == shipped.policy && way.hedge_factor == shipped.hedge_factor
}

fn parts(count: u64, offered: f64) -> f64 {
    100.0 * count as f64 / offered
}

fn not_answered(outcome: &ReplayOutcome, offered: f64) -> f64 {
    parts(outcome.refused + outcome.failed, offered)
}
