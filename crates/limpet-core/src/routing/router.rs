use rustc_hash::FxHashMap;

use super::{
    ConcurrencyLimit, EndpointSpec, EndpointState, LatencyAverage, Outcome,
    RouterShare, SlowStart,
};
use crate::{DataCentre, EndpointId, TimeMs};

/// The part of faulty answers from which faults are the service's own.
const SERVICE_FAULT_PERCENT: f64 = 50.0;

/// The most slots beyond its credits that a party tries at once.
const BORROW_LIMIT: u32 = 1_024;

/// How many times the usual latency a timeout must have lasted to count
/// against the runner.
const MIN_TIMEOUT_FACTOR: f64 = 3.0;

/// How the slots of a runner are shared between parties that don't see each
/// other's choices.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SlotPolicy {
    /// Each party uses its own part of the slots and no other.
    Credits,
    /// Each party draws two runners and takes the one with the lower load,
    /// by its own count and the runner's last report.
    TwoChoices,
    /// Its own part first, then a slot that the reports show to be free.
    CreditsThenBorrow,
}

/// How a [`Router`] chooses.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// How slots are shared.
    pub policy: SlotPolicy,
    /// The data centre whose runners come first.
    pub data_centre: DataCentre,
    /// What one way to another data centre costs.
    pub hop_ms: f64,
}

/// Why a runner was chosen.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ChoiceReason {
    /// A slot of this party's own part was free.
    Credit,
    /// The runner's report showed a free slot of others.
    Borrowed,
    /// It had the lower load of two.
    LowerOfTwo,
    /// Every other runner was silent for longer.
    LastResort,
}

impl ChoiceReason {
    /// Returns the words for a log line.
    pub const fn as_str(self) -> &'static str {
        match self {
            ChoiceReason::Credit => "own credit",
            ChoiceReason::Borrowed => "borrowed slot",
            ChoiceReason::LowerOfTwo => "lower of two",
            ChoiceReason::LastResort => "last resort",
        }
    }
}

/// A runner that was chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The runner.
    pub endpoint: EndpointId,
    /// Why this runner was chosen.
    pub reason: ChoiceReason,
    /// Whether it stands in another data centre.
    pub spilled: bool,
}

/// Chooses runners of one service for one party.
#[derive(Clone, Debug)]
pub struct Router {
    options: RouterOptions,
    endpoints: Vec<EndpointState>,
    positions: FxHashMap<EndpointId, usize>,
    latency: LatencyAverage,
    /// Of 100 for each faulty answer and 0 for each other one.
    fault_percent: LatencyAverage,
    /// How many slots beyond its credits this party may try at once. It
    /// shrinks when they turn out to be taken, so that a site whose slots
    /// are all in use isn't searched by everybody for the last one.
    borrow_limit: ConcurrencyLimit,
    borrowed: u32,
    synced: bool,
}

impl Router {
    /// Returns a router that knows no runner.
    pub fn new(options: RouterOptions) -> Router {
        Router {
            options,
            endpoints: Vec::new(),
            positions: FxHashMap::default(),
            latency: LatencyAverage::default(),
            fault_percent: LatencyAverage::default(),
            borrow_limit: ConcurrencyLimit::new(BORROW_LIMIT),
            borrowed: 0,
            synced: false,
        }
    }

    /// Takes in the list of runners that may get new requests. Those that
    /// it no longer names get none from now on.
    pub fn sync(
        &mut self,
        specs: &[EndpointSpec],
        share: &RouterShare,
        now: TimeMs,
    ) {
        // Runners that were there before this party are warm.
        let slow_start = match self.synced {
            true => SlowStart::cold(now),
            false => SlowStart::warm(),
        };
        let mut known: FxHashMap<EndpointId, EndpointState> = self
            .endpoints
            .drain(..)
            .map(|state| (state.spec.endpoint.clone(), state))
            .collect();
        for (spec, salt) in specs.iter().zip(0..) {
            let mut state =
                known.remove(&spec.endpoint).unwrap_or_else(|| {
                    EndpointState::new(spec.clone(), slow_start)
                });
            state.set_spec(spec.clone());
            state.credits = share.part(spec.slots, salt);
            let connections = share.part_reserving_joiner(spec.connections);
            state.connection_share = connections.max(1);
            self.endpoints.push(state);
        }
        self.positions = self
            .endpoints
            .iter()
            .enumerate()
            .map(|(at, state)| (state.spec.endpoint.clone(), at))
            .collect();
        self.synced |= !specs.is_empty();
    }

    /// Returns what is known of a runner.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&EndpointState> {
        self.positions.get(endpoint).map(|&at| &self.endpoints[at])
    }

    /// Returns what is known of a runner, to take in news of it.
    pub fn get_mut(
        &mut self,
        endpoint: &EndpointId,
    ) -> Option<&mut EndpointState> {
        self.positions.get(endpoint).map(|&at| &mut self.endpoints[at])
    }

    /// Returns every runner that is known.
    pub fn endpoints(&self) -> &[EndpointState] {
        &self.endpoints
    }

    /// Says whether any runner outside `tried` takes new requests.
    pub fn accepts_requests(&self, tried: &[EndpointId], now: TimeMs) -> bool {
        self.endpoints.iter().any(|state| {
            state.accepts_requests(now)
                && !tried.contains(&state.spec.endpoint)
        })
    }

    /// Says whether every runner that takes requests refuses them, so that
    /// waiting for one is of no use.
    pub fn all_refuse(&self, now: TimeMs) -> bool {
        self.endpoints
            .iter()
            .filter(|state| state.accepts_requests(now))
            .all(|state| state.is_refusing(now))
    }

    /// Takes in that a request was given to a runner.
    pub fn begin(&mut self, endpoint: &EndpointId, now: TimeMs) {
        if let Some(state) = self.get_mut(endpoint) {
            state.begin(now);
            if state.uses_borrowed() {
                self.borrowed += 1;
            }
        }
    }

    /// Takes in what became of it.
    pub fn finish(
        &mut self,
        endpoint: &EndpointId,
        outcome: Outcome,
        now: TimeMs,
    ) {
        let outcome = self.attribute_to_runner(outcome);
        let Some(state) = self.get_mut(endpoint) else { return };
        let was_borrowed = state.uses_borrowed();
        state.finish(outcome, now);
        if was_borrowed {
            self.borrowed = self.borrowed.saturating_sub(1);
            self.update_borrow_limit(outcome, now);
        }
    }

    /// Takes in what an outcome says of the service as a whole, and returns
    /// what it says of the runner alone: a fault that most runners show is
    /// the service's own, and a caller in a hurry proves nothing.
    fn attribute_to_runner(&mut self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Answered { latency_ms, .. } => {
                self.latency.record(latency_ms);
                self.fault_percent.record(0);
                outcome
            }
            Outcome::Faulty { latency_ms } => {
                let faults = self.fault_percent.mean_ms().unwrap_or(0.0);
                self.fault_percent.record(100);
                match faults < SERVICE_FAULT_PERCENT {
                    true => outcome,
                    false => Outcome::Answered { latency_ms, load: None },
                }
            }
            Outcome::TimedOut { waited_ms } => {
                let typical_ms = self.latency.mean_ms().unwrap_or(0.0);
                match waited_ms as f64 >= MIN_TIMEOUT_FACTOR * typical_ms {
                    true => outcome,
                    false => Outcome::Abandoned,
                }
            }
            _ => outcome,
        }
    }

    fn update_borrow_limit(&mut self, outcome: Outcome, now: TimeMs) {
        match outcome {
            Outcome::Answered { .. } => self.borrow_limit.record_answer(),
            Outcome::Refused => {
                self.borrow_limit.record_refusal(self.borrowed, now);
            }
            _ => {}
        }
    }

    /// Chooses a runner outside `tried`; `None` where the request should
    /// wait. `waiting` others wait already, and `draw` is a random number.
    pub fn choose(
        &self,
        tried: &[EndpointId],
        waiting: usize,
        draw: u64,
        now: TimeMs,
    ) -> Option<Choice> {
        let typical_ms = self.latency.mean_ms();
        let eligible = |state: &EndpointState| {
            state.accepts_requests(now)
                && !tried.contains(&state.spec.endpoint)
        };
        let mut any_responsive = false;
        let mut near = Vec::new();
        let mut far = Vec::new();
        for state in self.rotated(draw).filter(|state| eligible(state)) {
            if state.is_stalled(typical_ms, now) {
                continue;
            }
            any_responsive = true;
            if state.has_capacity(now) {
                let local = self.is_local(state);
                if local { near.push(state) } else { far.push(state) }
            }
        }
        if !any_responsive {
            return self.choose_stalled(tried, draw, now);
        }
        let far = match self.spill_is_faster(waiting, now) {
            true => far,
            false => Vec::new(),
        };
        match self.options.policy {
            SlotPolicy::Credits => self.choose_by_credit(&near, &far, now),
            SlotPolicy::TwoChoices => self.choose_of_two(
                &near,
                &far,
                ChoiceReason::LowerOfTwo,
                draw,
                now,
            ),
            // An own slot far away is certain, a borrowed one near may be
            // taken: a collision costs more than the way.
            SlotPolicy::CreditsThenBorrow => {
                let borrows = self.borrow_limit.allows(self.borrowed, now);
                self.choose_by_credit(&near, &far, now).or_else(|| {
                    if !borrows {
                        return None;
                    }
                    self.choose_of_two(
                        &near,
                        &far,
                        ChoiceReason::Borrowed,
                        draw,
                        now,
                    )
                })
            }
        }
    }

    fn is_local(&self, state: &EndpointState) -> bool {
        state.spec.data_centre == self.options.data_centre
    }

    /// The runners from a random start, so that equal ones take turns.
    fn rotated(&self, draw: u64) -> impl Iterator<Item = &EndpointState> {
        let start = match self.endpoints.len() {
            0 => 0,
            len => (draw % len as u64) as usize,
        };
        self.endpoints[start..].iter().chain(&self.endpoints[..start])
    }

    /// Says whether waiting for a near slot costs more than the way to a
    /// far one and back.
    ///
    /// Near slots come free one by one, on average each latency / in flight.
    fn spill_is_faster(&self, waiting: usize, now: TimeMs) -> bool {
        let near = self.endpoints.iter().filter(|state| {
            self.is_local(state) && state.accepts_requests(now)
        });
        let in_flight: u32 = near.map(EndpointState::in_flight).sum();
        if in_flight == 0 {
            return true;
        }
        let latency_ms = self.latency.mean_ms().unwrap_or(f64::MAX);
        let wait_ms = latency_ms * (waiting + 1) as f64 / f64::from(in_flight);
        wait_ms > 2.0 * self.options.hop_ms
    }

    fn choose_by_credit(
        &self,
        near: &[&EndpointState],
        far: &[&EndpointState],
        now: TimeMs,
    ) -> Option<Choice> {
        let typical_ms = self.latency.mean_ms();
        let least_loaded = |states: &[&EndpointState]| {
            states
                .iter()
                .filter(|state| state.free_credits(now) > 0)
                .min_by(|a, b| {
                    a.score(typical_ms, now)
                        .total_cmp(&b.score(typical_ms, now))
                })
                .map(|state| self.choice(state, ChoiceReason::Credit))
        };
        least_loaded(near).or_else(|| least_loaded(far))
    }

    fn choose_of_two(
        &self,
        near: &[&EndpointState],
        far: &[&EndpointState],
        reason: ChoiceReason,
        draw: u64,
        now: TimeMs,
    ) -> Option<Choice> {
        let typical_ms = self.latency.mean_ms();
        let least_loaded = |states: &[&EndpointState]| {
            if states.is_empty() {
                return None;
            }
            let len = states.len() as u64;
            let first = states[((draw >> 16) % len) as usize];
            let second = states[((draw >> 40) % len) as usize];
            [first, second]
                .into_iter()
                .filter(|state| state.load(now) < state.spec.slots)
                .min_by(|a, b| {
                    a.score(typical_ms, now)
                        .total_cmp(&b.score(typical_ms, now))
                })
                .map(|state| self.choice(state, reason))
        };
        least_loaded(near).or_else(|| least_loaded(far))
    }

    /// Chooses among runners that are all silent: better a silent one than
    /// none, one request at a time.
    fn choose_stalled(
        &self,
        tried: &[EndpointId],
        draw: u64,
        now: TimeMs,
    ) -> Option<Choice> {
        self.rotated(draw)
            .filter(|state| {
                state.accepts_requests(now) && state.has_capacity(now)
            })
            .filter(|state| !tried.contains(&state.spec.endpoint))
            .min_by_key(|state| (!self.is_local(state), state.in_flight()))
            .map(|state| self.choice(state, ChoiceReason::LastResort))
    }

    fn choice(&self, state: &EndpointState, reason: ChoiceReason) -> Choice {
        Choice {
            endpoint: state.spec.endpoint.clone(),
            reason,
            spilled: !self.is_local(state),
        }
    }
}
