use super::{
    ConcurrencyLimit, Health, LatencyAverage, OutlierDetector, SlowStart,
};
use crate::{DataCentre, EndpointId, TimeMs};

/// How long a runner's own announcement that it is leaving outweighs the
/// list of runners, which lags and may still show it as live.
const LEAVING_HOLD_MS: u64 = 60_000;

/// The shortest silence after which a runner counts as stalled.
const STALL_MIN_MS: u64 = 500;

/// The silence after which a runner counts as stalled, as a multiple of the
/// typical latency of the service.
const STALL_FACTOR: f64 = 8.0;

/// How long a reported load is used.
const REPORT_VALID_MS: u64 = 1_000;

/// How long after its last answer a runner's own latency is used instead of
/// the service's typical one.
const LATENCY_VALID_MS: u64 = 1_000;

/// A runner's entry in the list of runners.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointSpec {
    /// The runner's name.
    pub endpoint: EndpointId,
    /// The data centre in which it runs.
    pub data_centre: DataCentre,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The number of connections that it accepts.
    pub connections: u32,
}

/// How an attempt to send a request to a runner ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The runner answered.
    Answered {
        /// The time from sending the request to the answer.
        latency_ms: u64,
        /// The number of requests that the runner reported to have in
        /// flight, if it did.
        load: Option<u32>,
    },
    /// The runner refused the request for lack of capacity.
    Refused,
    /// No connection to the runner could be opened.
    Unreachable,
    /// The connection broke or the answer was malformed.
    Failed,
    /// The runner answered that it had failed itself.
    Faulty {
        /// The time from sending the request to the answer.
        latency_ms: u64,
    },
    /// No answer came before the deadline.
    TimedOut {
        /// The time from sending the request to the deadline.
        waited_ms: u64,
    },
    /// The caller stopped waiting before the deadline.
    Abandoned,
}

/// A runner's state as one router sees it.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// The runner's entry in the list.
    pub spec: EndpointSpec,
    /// This router's part of the runner's slots.
    pub credits: u32,
    /// This router's part of the runner's connections.
    pub connection_share: u32,
    in_flight: u32,
    /// The last load that is known from the runner, and when it was learnt.
    reported: Option<(u32, TimeMs)>,
    latency: LatencyAverage,
    /// When the runner last answered a request; zero before the first answer.
    answered_at: TimeMs,
    limit: ConcurrencyLimit,
    outlier: OutlierDetector,
    slow_start: SlowStart,
    /// When the runner last answered, or got its first request in flight;
    /// `None` while it has no requests in flight.
    silent_since: Option<TimeMs>,
    /// Until when the runner counts as leaving.
    leaving_until: Option<TimeMs>,
    /// Whether the runner closed a connection and has accepted none since.
    suspected: bool,
}

impl EndpointState {
    /// Returns the state of a runner that was newly listed.
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

    /// Returns the number of this router's requests in flight at the runner.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the average latency of the runner's answers, or `None` before
    /// the first one.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency.mean_ms()
    }

    /// Updates the runner's entry in the list.
    pub fn set_spec(&mut self, spec: EndpointSpec) {
        self.limit.set_max(spec.slots);
        self.spec = spec;
    }

    /// Returns whether this router uses more of the runner's slots than its
    /// credits.
    pub fn uses_borrowed(&self) -> bool {
        self.in_flight > self.credits
    }

    /// Records that a request is being sent to the runner.
    pub fn begin(&mut self, now: TimeMs) {
        self.in_flight += 1;
        self.silent_since.get_or_insert(now);
    }

    /// Records how a request that was sent to the runner ended.
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

    /// Records that the runner started to answer a request.
    pub fn record_response_start(&mut self, now: TimeMs) {
        self.silent_since = Some(now);
    }

    /// Records that the runner announced that it is leaving. It gets no new
    /// requests for 60 s, even if the list still shows it as live.
    pub fn mark_leaving(&mut self, now: TimeMs) {
        self.leaving_until = Some(now.plus_ms(LEAVING_HOLD_MS));
    }

    /// Records that the runner closed a connection, possibly because it is
    /// leaving. It gets no new requests until it accepts a new connection.
    pub fn mark_suspected(&mut self) {
        self.suspected = true;
    }

    /// Records whether the runner accepted a connection that was opened as a
    /// probe, without a request.
    pub fn record_probe(&mut self, accepted: bool, now: TimeMs) {
        if accepted {
            self.suspected = false;
        } else {
            self.outlier.record_unreachable(now);
        }
    }

    /// Returns whether a probe connection to the runner is due.
    pub fn needs_probe(&self) -> bool {
        self.suspected
    }

    /// Returns whether the runner may get new requests: it isn't suspected,
    /// leaving or ejected.
    pub fn accepts_requests(&self, now: TimeMs) -> bool {
        !self.suspected
            && self.leaving_until.is_none_or(|until| now >= until)
            && self.outlier.health(now) != Health::Ejected
    }

    /// Returns whether the runner is paused after several consecutive
    /// refusals.
    pub fn is_refusing(&self, now: TimeMs) -> bool {
        self.limit.is_refusing(now)
    }

    /// Returns whether the runner has requests in flight and has been silent
    /// for more than eight times `typical_ms`, and for more than 500 ms.
    pub fn is_stalled(&self, typical_ms: Option<f64>, now: TimeMs) -> bool {
        let limit_ms = typical_ms.map_or(STALL_MIN_MS, |typical_ms| {
            STALL_MIN_MS.max((typical_ms * STALL_FACTOR) as u64)
        });
        self.silent_since.is_some_and(|since| now.ms_since(since) > limit_ms)
    }

    /// Returns whether the runner may get one more request from this router
    /// by its health, its concurrency limit and this router's part of its
    /// connections.
    pub fn has_capacity(&self, now: TimeMs) -> bool {
        let max_requests = match self.outlier.health(now) {
            Health::Ejected => 0,
            Health::Probation => 1,
            Health::Healthy => self.connection_share,
        };
        self.in_flight < max_requests && self.limit.allows(self.in_flight, now)
    }

    /// Returns the number of unused credits of this router, which is lower
    /// while the runner warms up.
    pub fn free_credits(&self, now: TimeMs) -> u32 {
        let allowed = self.slow_start.allowed(self.credits, now);
        allowed.saturating_sub(self.in_flight)
    }

    /// Returns an estimate of the runner's requests in flight from all
    /// routers: the last report, or this router's own number if it is
    /// higher.
    pub fn load(&self, now: TimeMs) -> u32 {
        let reported = match self.reported {
            Some((load, at)) if now.ms_since(at) < REPORT_VALID_MS => load,
            _ => 0,
        };
        reported.max(self.in_flight)
    }

    /// Returns a score for comparison with other runners that grows with the
    /// expected latency of one more request. The lowest score is the best.
    pub fn score(&self, typical_ms: Option<f64>, now: TimeMs) -> f64 {
        // An old latency is replaced by the typical one. Otherwise a runner
        // that was slow once would never get another request, and couldn't
        // show that it has recovered.
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
