use rustc_hash::FxHashMap;

use super::{
    ConcurrencyLimit, EndpointSpec, EndpointState, LatencyAverage, Outcome,
    RouterShare, SlowStart,
};
use crate::{DataCentre, EndpointId, TimeMs};

/// The percentage of faulty answers of a service from which a fault counts
/// as the service's own and not as the runner's.
const SERVICE_FAULT_PERCENT: f64 = 50.0;

/// The largest number of slots beyond its credits that a router uses at
/// once.
const BORROW_LIMIT: u32 = 1_024;

/// The shortest timeout that counts against a runner, as a multiple of the
/// service's typical latency.
const MIN_TIMEOUT_FACTOR: f64 = 3.0;

/// How routers that don't see each other's choices share a runner's slots.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SlotPolicy {
    /// Each router uses its own part of the slots and no others.
    Credits,
    /// Each router draws two runners at random and takes the one with the
    /// lower load, by its own count and the runner's last report.
    TwoChoices,
    /// Each router uses its own part first and then slots that are free
    /// according to the runner's last report.
    CreditsThenBorrow,
}

/// The options of a [`Router`].
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// How slots are shared among routers.
    pub policy: SlotPolicy,
    /// The router's own data centre, whose runners are preferred.
    pub data_centre: DataCentre,
    /// The one-way network latency to another data centre, in milliseconds.
    pub hop_ms: f64,
}

/// Why a runner was chosen.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ChoiceReason {
    /// One of this router's own credits was free.
    Credit,
    /// The runner's last report showed a free slot beyond the credits.
    Borrowed,
    /// The runner had the lower load of two that were drawn.
    LowerOfTwo,
    /// All runners were stalled, so a stalled one was taken.
    LastResort,
}

impl ChoiceReason {
    /// Returns the text that log lines give for the reason.
    pub const fn as_str(self) -> &'static str {
        match self {
            ChoiceReason::Credit => "own credit",
            ChoiceReason::Borrowed => "borrowed slot",
            ChoiceReason::LowerOfTwo => "lower of two",
            ChoiceReason::LastResort => "last resort",
        }
    }
}

/// A runner that was chosen for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The runner.
    pub endpoint: EndpointId,
    /// Why this runner was chosen.
    pub reason: ChoiceReason,
    /// Whether the runner is in another data centre.
    pub spilled: bool,
}

/// Chooses runners of one service for one traffic thread.
///
/// It prefers runners in its own data centre, spreads requests by load, and
/// leaves out runners that are leaving, ejected or stalled.
#[derive(Clone, Debug)]
pub struct Router {
    options: RouterOptions,
    endpoints: Vec<EndpointState>,
    /// The index of each runner in `endpoints`.
    positions: FxHashMap<EndpointId, usize>,
    /// The average latency of the answers of all runners.
    latency: LatencyAverage,
    /// The recent percentage of faulty answers: the average of 100 for each
    /// faulty answer and 0 for each other one.
    fault_percent: LatencyAverage,
    /// The number of slots beyond its credits that this router may use at
    /// once. It shrinks when runners refuse such requests, so that the
    /// routers don't all probe a fully used service for its last free slot.
    borrow_limit: ConcurrencyLimit,
    /// The number of requests in flight beyond the credits at their runners.
    borrowed: u32,
    /// Whether a list with at least one runner was set.
    synced: bool,
}

impl Router {
    /// Returns a router without runners.
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

    /// Sets the list of runners that may get new requests, and divides their
    /// slots and connections by `share`. Runners that aren't listed get no
    /// more requests.
    pub fn sync(
        &mut self,
        specs: &[EndpointSpec],
        share: &RouterShare,
        now: TimeMs,
    ) {
        // The runners of the first list may have been running for long, so
        // they don't get a slow start.
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

    /// Returns the state of a runner, or `None` if it isn't listed.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&EndpointState> {
        self.positions.get(endpoint).map(|&at| &self.endpoints[at])
    }

    /// Returns the state of a runner for updates, or `None` if it isn't
    /// listed.
    pub fn get_mut(
        &mut self,
        endpoint: &EndpointId,
    ) -> Option<&mut EndpointState> {
        self.positions.get(endpoint).map(|&at| &mut self.endpoints[at])
    }

    /// Returns the states of all listed runners.
    pub fn endpoints(&self) -> &[EndpointState] {
        &self.endpoints
    }

    /// Returns whether any runner that isn't in `tried` accepts new requests.
    pub fn accepts_requests(&self, tried: &[EndpointId], now: TimeMs) -> bool {
        self.endpoints.iter().any(|state| {
            state.accepts_requests(now)
                && !tried.contains(&state.spec.endpoint)
        })
    }

    /// Returns whether every runner that accepts new requests has been
    /// refusing them, so that queueing for one is of no use.
    pub fn all_refuse(&self, now: TimeMs) -> bool {
        self.endpoints
            .iter()
            .filter(|state| state.accepts_requests(now))
            .all(|state| state.is_refusing(now))
    }

    /// Records that a request is being sent to a runner.
    pub fn begin(&mut self, endpoint: &EndpointId, now: TimeMs) {
        if let Some(state) = self.get_mut(endpoint) {
            state.begin(now);
            if state.uses_borrowed() {
                self.borrowed += 1;
            }
        }
    }

    /// Records how a request that was sent to a runner ended.
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

    /// Updates the averages of the service by an outcome and returns the
    /// outcome to record for the runner.
    ///
    /// A fault that most runners show is the service's own and doesn't count
    /// against the runner. Neither does a timeout that was short compared
    /// with the service's typical latency.
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

    /// Updates the limit of borrowed slots by the outcome of a request that
    /// used one.
    fn update_borrow_limit(&mut self, outcome: Outcome, now: TimeMs) {
        match outcome {
            Outcome::Answered { .. } => self.borrow_limit.record_answer(),
            Outcome::Refused => {
                self.borrow_limit.record_refusal(self.borrowed, now);
            }
            _ => {}
        }
    }

    /// Chooses a runner that isn't in `tried`, or returns `None` if the
    /// request should wait.
    ///
    /// `waiting` is the number of requests that are queued already, and
    /// `draw` is a random number.
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
        let mut local = Vec::new();
        let mut remote = Vec::new();
        for state in self.rotated(draw).filter(|state| eligible(state)) {
            if state.is_stalled(typical_ms, now) {
                continue;
            }
            any_responsive = true;
            if state.has_capacity(now) {
                let is_local = self.is_local(state);
                if is_local { local.push(state) } else { remote.push(state) }
            }
        }
        if !any_responsive {
            return self.choose_stalled(tried, draw, now);
        }
        let remote = match self.spill_is_faster(waiting, now) {
            true => remote,
            false => Vec::new(),
        };
        match self.options.policy {
            SlotPolicy::Credits => self.choose_by_credit(&local, &remote, now),
            SlotPolicy::TwoChoices => self.choose_of_two(
                &local,
                &remote,
                ChoiceReason::LowerOfTwo,
                draw,
                now,
            ),
            // A credit at a distant runner is a certain slot, while a
            // borrowed slot nearby may be in use. A refusal and its retry
            // cost more time than the longer way, so credits come first.
            SlotPolicy::CreditsThenBorrow => {
                let borrows = self.borrow_limit.allows(self.borrowed, now);
                self.choose_by_credit(&local, &remote, now).or_else(|| {
                    if !borrows {
                        return None;
                    }
                    self.choose_of_two(
                        &local,
                        &remote,
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

    /// Returns the runners from a random start, so that ties between equal
    /// runners aren't always broken in favour of the same one.
    fn rotated(&self, draw: u64) -> impl Iterator<Item = &EndpointState> {
        let start = match self.endpoints.len() {
            0 => 0,
            len => (draw % len as u64) as usize,
        };
        self.endpoints[start..].iter().chain(&self.endpoints[..start])
    }

    /// Returns whether the expected wait for a slot in this data centre is
    /// longer than the network round trip to another one.
    ///
    /// With n requests in flight, a local slot comes free after a time of
    /// latency / n on average.
    fn spill_is_faster(&self, waiting: usize, now: TimeMs) -> bool {
        let local = self.endpoints.iter().filter(|state| {
            self.is_local(state) && state.accepts_requests(now)
        });
        let in_flight: u32 = local.map(EndpointState::in_flight).sum();
        if in_flight == 0 {
            return true;
        }
        let latency_ms = self.latency.mean_ms().unwrap_or(f64::MAX);
        let wait_ms = latency_ms * (waiting + 1) as f64 / f64::from(in_flight);
        wait_ms > 2.0 * self.options.hop_ms
    }

    /// Chooses the runner with the best score among those with a free credit,
    /// local ones first.
    fn choose_by_credit(
        &self,
        local: &[&EndpointState],
        remote: &[&EndpointState],
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
        least_loaded(local).or_else(|| least_loaded(remote))
    }

    /// Draws two local runners and chooses the one with the better score that
    /// has a free slot by its load. If neither has, does the same with remote
    /// ones.
    fn choose_of_two(
        &self,
        local: &[&EndpointState],
        remote: &[&EndpointState],
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
        least_loaded(local).or_else(|| least_loaded(remote))
    }

    /// Chooses a runner when all of them are stalled, because a stalled
    /// runner is better than none. Local runners and those with the fewest
    /// requests in flight come first.
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
