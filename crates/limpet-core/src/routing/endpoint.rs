use super::{
    ConcurrencyLimit, Health, LatencyAverage, OutlierDetector, SlowStart,
};
use crate::{DataCentre, EndpointId, TimeMs};

/// How long what a runner said of itself counts against the list, which may
/// still name it live.
const LEAVING_HOLD_MS: u64 = 60_000;

/// How long a runner may answer nothing before others are preferred.
const STALL_MIN_MS: u64 = 500;

/// How many times the usual latency a runner may answer nothing.
const STALL_FACTOR: f64 = 8.0;

/// How long a reported load is believed.
const REPORT_VALID_MS: u64 = 1_000;

/// How long the latency of the last answers tells a runner from others.
const LATENCY_VALID_MS: u64 = 1_000;

/// What the list says of a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointSpec {
    /// Its name.
    pub endpoint: EndpointId,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it takes.
    pub connections: u32,
}

/// What became of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was answered.
    Answered {
        /// How long that took.
        latency_ms: u64,
        /// How many requests the runner then had under way, where it says.
        load: Option<u32>,
    },
    /// The runner refused it for lack of room.
    Refused,
    /// Nobody was reached.
    Unreachable,
    /// The connection broke or the answer was no answer.
    Failed,
    /// It was answered with a fault of the runner's own.
    Faulty {
        /// How long that took.
        latency_ms: u64,
    },
    /// No answer came in time.
    TimedOut {
        /// How long it was waited for.
        waited_ms: u64,
    },
    /// The caller gave up first.
    Abandoned,
}

/// A runner as one party sees it.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// What the list says.
    pub spec: EndpointSpec,
    /// This party's part of its slots.
    pub credits: u32,
    /// This party's part of its connections.
    pub connection_share: u32,
    in_flight: u32,
    reported: Option<(u32, TimeMs)>,
    latency: LatencyAverage,
    answered_at: TimeMs,
    limit: ConcurrencyLimit,
    outlier: OutlierDetector,
    slow_start: SlowStart,
    silent_since: Option<TimeMs>,
    leaving_until: Option<TimeMs>,
    suspected: bool,
}

impl EndpointState {
    /// Returns a runner of which nothing is known but the list's entry.
    pub fn new(spec: EndpointSpec, slow_start: SlowStart) -> EndpointState {
        let limit = ConcurrencyLimit::new(spec.slots);
        EndpointState {
            spec,
            credits: 0,
            connection_share: 0,
            in_flight: 0,
            reported: None,
            latency: LatencyAverage::default(),
            answered_at: TimeMs::ZERO,
            limit,
            outlier: OutlierDetector::default(),
            slow_start,
            silent_since: None,
            leaving_until: None,
            suspected: false,
        }
    }

    /// Returns how many of this party's requests it has.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the mean time of its answers.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency.mean_ms()
    }

    /// Takes in a changed number of slots.
    pub fn set_spec(&mut self, spec: EndpointSpec) {
        self.limit.set_max(spec.slots);
        self.spec = spec;
    }

    /// Says whether this party uses more of its slots than its credits.
    pub fn uses_borrowed(&self) -> bool {
        self.in_flight > self.credits
    }

    /// Takes in that a request was given to it.
    pub fn begin(&mut self, now: TimeMs) {
        self.in_flight += 1;
        self.silent_since.get_or_insert(now);
    }

    /// Takes in what became of a request.
    pub fn finish(&mut self, outcome: Outcome, now: TimeMs) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered { latency_ms, load } => {
                self.latency.record(latency_ms);
                self.answered_at = now;
                self.limit.record_answer();
                self.outlier.record_answer();
                self.reported = load.map(|load| (load, now)).or(self.reported);
                self.silent_since = Some(now);
            }
            Outcome::Refused => {
                self.limit.record_refusal(self.in_flight, now);
                self.reported = Some((self.spec.slots, now));
                self.silent_since = Some(now);
            }
            Outcome::Unreachable => self.outlier.record_unreachable(now),
            Outcome::Failed => self.outlier.record_failure(now),
            Outcome::Faulty { .. } => {
                self.outlier.record_failure(now);
                self.silent_since = Some(now);
            }
            Outcome::TimedOut { .. } => {
                self.limit.record_timeout(self.in_flight, now);
                self.outlier.record_failure(now);
            }
            Outcome::Abandoned => {}
        }
        if self.in_flight == 0 {
            self.silent_since = None;
        }
    }

    /// Takes in that it began to answer.
    pub fn record_response_start(&mut self, now: TimeMs) {
        self.silent_since = Some(now);
    }

    /// Takes in evidence that it is about to leave.
    pub fn mark_leaving(&mut self, now: TimeMs) {
        self.leaving_until = Some(now.plus_ms(LEAVING_HOLD_MS));
    }

    /// Takes in that it closed a connection, which it may have done because
    /// it leaves. It gets nothing until a new connection was accepted.
    pub fn mark_suspected(&mut self) {
        self.suspected = true;
    }

    /// Takes in the result of a new connection without a request.
    pub fn record_probe(&mut self, accepted: bool, now: TimeMs) {
        if accepted {
            self.suspected = false;
        } else {
            self.outlier.record_unreachable(now);
        }
    }

    /// Says whether a new connection should be tried.
    pub fn needs_probe(&self) -> bool {
        self.suspected
    }

    /// Says whether it may be given any new request at all.
    pub fn accepts_requests(&self, now: TimeMs) -> bool {
        !self.suspected
            && self.leaving_until.is_none_or(|until| now >= until)
            && self.outlier.health(now) != Health::Ejected
    }

    /// Says whether it pauses after it refused several requests in a row.
    pub fn is_refusing(&self, now: TimeMs) -> bool {
        self.limit.is_refusing(now)
    }

    /// Says whether it has answered nothing for much longer than usual.
    pub fn is_stalled(&self, typical_ms: Option<f64>, now: TimeMs) -> bool {
        let limit_ms = typical_ms.map_or(STALL_MIN_MS, |typical_ms| {
            STALL_MIN_MS.max((typical_ms * STALL_FACTOR) as u64)
        });
        self.silent_since.is_some_and(|since| now.ms_since(since) > limit_ms)
    }

    /// Says whether this party's connections, what was learnt and its
    /// health let it have one more request.
    pub fn has_capacity(&self, now: TimeMs) -> bool {
        let max_requests = match self.outlier.health(now) {
            Health::Ejected => 0,
            Health::Probation => 1,
            Health::Healthy => self.connection_share,
        };
        self.in_flight < max_requests && self.limit.allows(self.in_flight, now)
    }

    /// Returns how many of this party's credits are free.
    pub fn free_credits(&self, now: TimeMs) -> u32 {
        let allowed = self.slow_start.allowed(self.credits, now);
        allowed.saturating_sub(self.in_flight)
    }

    /// Returns the best guess at all parties' requests that it has.
    pub fn load(&self, now: TimeMs) -> u32 {
        let reported = match self.reported {
            Some((load, at)) if now.ms_since(at) < REPORT_VALID_MS => load,
            _ => 0,
        };
        reported.max(self.in_flight)
    }

    /// Returns the expected time of one more request relative to other
    /// runners: the lower, the better.
    pub fn score(&self, typical_ms: Option<f64>, now: TimeMs) -> f64 {
        // An old latency says little, and a runner that was slow once would
        // never be given the request that shows it is fast again.
        let recent = now.ms_since(self.answered_at) < LATENCY_VALID_MS;
        let own_ms = self.latency.mean_ms().filter(|_| recent);
        let latency_ms = own_ms.or(typical_ms).unwrap_or(1.0);
        let slots = f64::from(self.spec.slots.max(1));
        let slots =
            f64::from(self.slow_start.allowed(self.spec.slots, now).max(1))
                .min(slots);
        latency_ms.max(1.0) * f64::from(self.load(now) + 1) / slots
    }
}
