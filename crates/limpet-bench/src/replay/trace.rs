use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One request of a trace.
#[derive(Clone, Copy, Debug)]
pub struct TraceRequest {
    /// The arrival time.
    pub arrival_us: u64,
    /// The time for which a healthy runner works on the request.
    pub run_us: u64,
    /// The index of the instance to which the balancer sends the request.
    pub instance: usize,
    /// The index of the team.
    pub team: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Requests with their arrival and run times, generated from a seed.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The requests, by arrival.
    pub requests: Vec<TraceRequest>,
    /// The time during which requests arrive.
    pub duration_ms: u64,
}

/// The number of instances.
pub const INSTANCES: usize = 7;
/// The number of teams.
pub const TEAMS: usize = 3;
/// The mean run time of a request at a healthy runner.
pub const MEAN_RUN_MS: f64 = 50.0;

impl Trace {
    /// Returns Poisson arrivals at `rate_per_s` with exponential run times.
    /// Instances and teams are drawn evenly.
    pub fn poisson(rate_per_s: f64, duration_ms: u64, seed: u64) -> Trace {
        Trace::skewed(rate_per_s, duration_ms, seed, 0.0)
    }

    /// Returns arrivals as [`Trace::poisson`] does, except that the fraction
    /// `skew` of them goes to the first instance, and the rest is spread
    /// evenly over all.
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

/// Draws from the exponential distribution with mean 1.
fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
