use rustc_hash::FxHashMap;

use super::{
    EndpointSpec, EndpointState, LatencyAverage, Outcome, ShareWindow,
    SlowStart,
};
use crate::{DataCentre, EndpointId, TimeMs};

/// The part of faulty answers from which faults are the service's own.
const COMMON_FAULT_PERCENT: f64 = 50.0;

/// How many times the usual latency a timeout must have lasted to count
/// against the runner.
const PATIENCE_FACTOR: f64 = 3.0;

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
pub enum Why {
    /// A slot of this party's own part was free.
    Credit,
    /// The runner's report showed a free slot of others.
    Borrowed,
    /// It had the lower load of two.
    LowerOfTwo,
    /// Every other runner was silent for longer.
    LastResort,
}

impl Why {
    /// Returns the words for a log line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Why::Credit => "own credit",
            Why::Borrowed => "borrowed slot",
            Why::LowerOfTwo => "lower of two",
            Why::LastResort => "last resort",
        }
    }
}

/// A runner that was chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The runner.
    pub endpoint: EndpointId,
    /// Why it, of all.
    pub why: Why,
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
            synced: false,
        }
    }

    /// Takes in the list of runners that may get new requests. Those that
    /// it no longer names get none from now on.
    pub fn sync(
        &mut self,
        specs: &[EndpointSpec],
        share: &ShareWindow,
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
            let connections = share.part_beside_joiner(spec.connections);
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
    pub fn takes_work(&self, tried: &[EndpointId], now: TimeMs) -> bool {
        self.endpoints.iter().any(|state| {
            state.takes_work(now) && !tried.contains(&state.spec.endpoint)
        })
    }

    /// Says whether every runner that takes requests refuses them, so that
    /// waiting for one is of no use.
    pub fn all_refuse(&self, now: TimeMs) -> bool {
        self.endpoints
            .iter()
            .filter(|state| state.takes_work(now))
            .all(|state| state.is_refusing(now))
    }

    /// Takes in that a request was given to a runner.
    pub fn begin(&mut self, endpoint: &EndpointId, now: TimeMs) {
        if let Some(state) = self.get_mut(endpoint) {
            state.begin(now);
        }
    }

    /// Takes in what became of it.
    pub fn finish(
        &mut self,
        endpoint: &EndpointId,
        outcome: Outcome,
        now: TimeMs,
    ) {
        let outcome = self.weigh(outcome);
        if let Some(state) = self.get_mut(endpoint) {
            state.finish(outcome, now);
        }
    }

    /// Takes in what an outcome says of the service as a whole, and returns
    /// what it says of the runner alone: a fault that most runners show is
    /// the service's own, and a caller in a hurry proves nothing.
    fn weigh(&mut self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Answered { latency_ms, .. } => {
                self.latency.record(latency_ms);
                self.fault_percent.record(0);
                outcome
            }
            Outcome::Faulty { latency_ms } => {
                let faults = self.fault_percent.mean_ms().unwrap_or(0.0);
                self.fault_percent.record(100);
                match faults < COMMON_FAULT_PERCENT {
                    true => outcome,
                    false => Outcome::Answered { latency_ms, load: None },
                }
            }
            Outcome::TimedOut { waited_ms } => {
                let usual_ms = self.latency.mean_ms().unwrap_or(0.0);
                match waited_ms as f64 >= PATIENCE_FACTOR * usual_ms {
                    true => outcome,
                    false => Outcome::Abandoned,
                }
            }
            _ => outcome,
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
        let usual_ms = self.latency.mean_ms();
        let open = |state: &EndpointState| {
            state.takes_work(now) && !tried.contains(&state.spec.endpoint)
        };
        let mut any_awake = false;
        let mut near = Vec::new();
        let mut far = Vec::new();
        for state in self.rotated(draw).filter(|state| open(state)) {
            if state.is_stalled(usual_ms, now) {
                continue;
            }
            any_awake = true;
            if state.has_room(now) {
                let local = self.is_local(state);
                if local { near.push(state) } else { far.push(state) }
            }
        }
        if !any_awake {
            return self.choose_stalled(tried, draw, now);
        }
        self.choose_from(&near, draw, now).or_else(|| {
            self.spill_pays(waiting, now)
                .then(|| self.choose_from(&far, draw, now))
                .flatten()
        })
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
    fn spill_pays(&self, waiting: usize, now: TimeMs) -> bool {
        let near = self
            .endpoints
            .iter()
            .filter(|state| self.is_local(state) && state.takes_work(now));
        let in_flight: u32 = near.map(EndpointState::in_flight).sum();
        if in_flight == 0 {
            return true;
        }
        let latency_ms = self.latency.mean_ms().unwrap_or(f64::MAX);
        let wait_ms = latency_ms * (waiting + 1) as f64 / f64::from(in_flight);
        wait_ms > 2.0 * self.options.hop_ms
    }

    fn choose_from(
        &self,
        states: &[&EndpointState],
        draw: u64,
        now: TimeMs,
    ) -> Option<Choice> {
        match self.options.policy {
            SlotPolicy::Credits => self.choose_credit(states, now),
            SlotPolicy::TwoChoices => {
                self.choose_of_two(states, Why::LowerOfTwo, draw, now)
            }
            SlotPolicy::CreditsThenBorrow => {
                self.choose_credit(states, now).or_else(|| {
                    self.choose_of_two(states, Why::Borrowed, draw, now)
                })
            }
        }
    }

    fn choose_credit(
        &self,
        states: &[&EndpointState],
        now: TimeMs,
    ) -> Option<Choice> {
        let usual_ms = self.latency.mean_ms();
        states
            .iter()
            .filter(|state| state.free_credits(now) > 0)
            .min_by(|a, b| {
                a.score(usual_ms, now).total_cmp(&b.score(usual_ms, now))
            })
            .map(|state| self.choice(state, Why::Credit))
    }

    fn choose_of_two(
        &self,
        states: &[&EndpointState],
        why: Why,
        draw: u64,
        now: TimeMs,
    ) -> Option<Choice> {
        if states.is_empty() {
            return None;
        }
        let usual_ms = self.latency.mean_ms();
        let len = states.len() as u64;
        let first = states[((draw >> 16) % len) as usize];
        let second = states[((draw >> 40) % len) as usize];
        [first, second]
            .into_iter()
            .filter(|state| state.load(now) < state.spec.slots)
            .min_by(|a, b| {
                a.score(usual_ms, now).total_cmp(&b.score(usual_ms, now))
            })
            .map(|state| self.choice(state, why))
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
            .filter(|state| state.takes_work(now) && state.has_room(now))
            .filter(|state| !tried.contains(&state.spec.endpoint))
            .min_by_key(|state| (!self.is_local(state), state.in_flight()))
            .map(|state| self.choice(state, Why::LastResort))
    }

    fn choice(&self, state: &EndpointState, why: Why) -> Choice {
        Choice {
            endpoint: state.spec.endpoint.clone(),
            why,
            spilled: !self.is_local(state),
        }
    }
}
