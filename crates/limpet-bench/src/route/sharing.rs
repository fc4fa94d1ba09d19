use limpet_core::routing::SlotPolicy;

use crate::{
    BenchOptions, Record,
    replay::{
        FLEET_SLOTS, MEAN_RUN_MS, ReplayOptions, ReplayOutcome, Trace,
        ideal_latencies_us, percentile_ms, replay,
    },
};

/// The loads as fractions of the capacity of all slots, each with the
/// fraction of the requests that the balancer sends to the first instance
/// before it spreads the rest evenly.
const LOADS: [(f64, f64); 4] =
    [(0.6, 0.0), (0.8, 0.0), (0.9, 0.0), (0.6, 0.2)];
/// The largest allowed ratio of the 99th percentile of the latency to that of
/// one ideal queue, where the balancer spreads requests evenly.
const MAX_P99_OVER_IDEAL: f64 = 2.0;
/// The delay before a request is hedged, as a multiple of the mean latency.
const HEDGE_FACTOR: f64 = 3.0;

/// Replays each load with each variant of slot sharing. All variants replay
/// the same trace.
pub(super) fn measure(options: &BenchOptions) -> Vec<Record> {
    let variants = [
        ("credits", variant(SlotPolicy::Credits, None)),
        ("two-choices", variant(SlotPolicy::TwoChoices, None)),
        ("borrow", variant(SlotPolicy::CreditsThenBorrow, None)),
        ("hedged", variant(SlotPolicy::Credits, Some(HEDGE_FACTOR))),
    ];
    let mut records = Vec::new();
    for (load, skew) in LOADS {
        for (name, replay_options) in variants {
            let skewed = if skew > 0.0 { "-skewed" } else { "" };
            let case = format!("sharing-{name}-{:.0}{skewed}", load * 100.0);
            if options.includes(&case) {
                records.extend(measure_variant(
                    options,
                    &case,
                    (load, skew),
                    &replay_options,
                ));
            }
        }
    }
    records
}

fn variant(policy: SlotPolicy, hedge_factor: Option<f64>) -> ReplayOptions {
    ReplayOptions { policy, hedge_factor, ..ReplayOptions::new() }
}

fn measure_variant(
    options: &BenchOptions,
    case: &str,
    (load, skew): (f64, f64),
    replay_options: &ReplayOptions,
) -> Vec<Record> {
    let rate_per_s = load * FLEET_SLOTS as f64 * 1e3 / MEAN_RUN_MS;
    let trace =
        Trace::skewed(rate_per_s, options.duration_ms, options.seed, skew);
    let ideal = ideal_latencies_us(&trace, FLEET_SLOTS);
    let outcome = replay(&trace, replay_options, options.seed);
    let offered = trace.requests.len() as f64;
    let ratio = outcome.latency_ms(99.0) / percentile_ms(&ideal, 99.0);
    let record = Record::new("route", case, "p99_over_ideal", ratio, "times");
    let mut records = vec![match is_default(replay_options) && skew == 0.0 {
        true => record.at_most(MAX_P99_OVER_IDEAL),
        false => record,
    }];
    let mut add = |metric, value, unit| {
        records.push(Record::new("route", case, metric, value, unit));
    };
    add("p50", outcome.latency_ms(50.0), "ms");
    add("p99", outcome.latency_ms(99.0), "ms");
    add("collisions", percent_of(outcome.collisions, offered), "%");
    add("not_answered", not_answered_percent(&outcome, offered), "%");
    add("retries", percent_of(outcome.retries, offered), "%");
    add("spilled", percent_of(outcome.spilled, offered), "%");
    add("imbalance", outcome.imbalance(), "times");
    records
}

/// Returns whether these are the default options, to which the bound applies.
fn is_default(replay_options: &ReplayOptions) -> bool {
    let defaults = ReplayOptions::new();
    replay_options.policy == defaults.policy
        && replay_options.hedge_factor == defaults.hedge_factor
}

fn percent_of(count: u64, offered: f64) -> f64 {
    100.0 * count as f64 / offered
}

fn not_answered_percent(outcome: &ReplayOutcome, offered: f64) -> f64 {
    percent_of(outcome.refused + outcome.failed, offered)
}
