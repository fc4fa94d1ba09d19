use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One request of a trace.
#[derive(Clone, Copy, Debug)]
pub struct TraceRequest {
    /// When it arrives.
    pub arrival_us: u64,
    /// How long a sound runner works on it.
    pub run_us: u64,
    /// The instance that the balancer gives it to.
    pub instance: usize,
    /// Its team.
    pub team: usize,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// Requests in the order of arrival.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The requests.
    pub requests: Vec<TraceRequest>,
    /// How long arrivals go on.
    pub duration_ms: u64,
}

/// The instances of a site.
pub const INSTANCES: usize = 7;
/// The teams of the trace.
pub const TEAMS: usize = 3;
/// The mean run time.
pub const MEAN_RUN_MS: f64 = 50.0;

impl Trace {
    /// Returns Poisson arrivals of `rate_per_s` with exponential run times.
    pub fn poisson(rate_per_s: f64, duration_ms: u64, seed: u64) -> Trace {
        Trace::skewed(rate_per_s, duration_ms, seed, 0.0)
    }

    /// Returns arrivals of which this part more than its due goes to the
    /// first instance.
    pub fn skewed(
        rate_per_s: f64,
        duration_ms: u64,
        seed: u64,
        skew: f64,
    ) -> Trace {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut at_us = 0.0;
        loop {
            at_us += exponential(&mut rng) * 1e6 / rate_per_s;
            if at_us >= duration_ms as f64 * 1e3 {
                return Trace { requests, duration_ms };
            }
            let run_us = exponential(&mut rng) * MEAN_RUN_MS * 1e3;
            requests.push(TraceRequest {
                arrival_us: at_us as u64,
                run_us: (run_us as u64).max(1),
                instance: match rng.random_bool(skew) {
                    true => 0,
                    false => rng.random_range(0..INSTANCES),
                },
                team: rng.random_range(0..TEAMS),
                idempotent: rng.random_bool(0.5),
            });
        }
    }
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
