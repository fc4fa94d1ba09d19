use std::collections::HashMap;

use limpet_core::{
    DataCentre, EndpointId, TimeMs,
    routing::{
        Admission, AdmissionOptions, Choice, Deadline, EndpointSpec,
        FairQueue, Outcome, RetryBudget, Router, RouterOptions, RouterShare,
        Ticket, Waiter,
    },
};

use super::{ReplayOptions, runner::SLOTS, trace::INSTANCES};

/// The connections of a runner.
const CONNECTIONS: u32 = 64;
/// One way to another data centre.
pub(super) const HOP_US: u64 = 1_000;
/// One way within a data centre.
pub(super) const NEAR_US: u64 = 50;
/// The data centres.
const DATA_CENTRES: usize = 3;
/// Longer than any queue: what a queue without refusals is bounded by.
const UNBOUNDED: usize = 1 << 30;

/// The weights of the teams.
pub(crate) const WEIGHTS: [u32; 3] = [3, 2, 1];
const TEAM_NAMES: [&str; 3] = ["a", "b", "c"];

/// What a request is told at its arrival.
pub(super) enum Turn {
    Now(Choice),
    Wait,
    Refused,
}

/// One instance: the decisions, and who waits.
pub(super) struct Instance {
    pub(super) router: Router,
    pub(super) queue: FairQueue,
    pub(super) budget: RetryBudget,
    admission: Admission,
    early_refusal: bool,
    tried: HashMap<u64, Vec<EndpointId>>,
    pub(super) pumped: bool,
}

pub(super) fn data_centre(index: usize) -> DataCentre {
    // The index makes a valid name.
    DataCentre::new(&format!("dc{}", index % DATA_CENTRES)).expect("a name")
}

pub(super) fn endpoint(index: usize) -> EndpointId {
    EndpointId::new(&format!("r{index}")).expect("a name")
}

impl Instance {
    pub(super) fn new(
        rank: usize,
        runners: usize,
        options: &ReplayOptions,
    ) -> Instance {
        let mut router = Router::new(RouterOptions {
            policy: options.policy,
            data_centre: data_centre(rank),
            hop_ms: HOP_US as f64 / 1e3,
        });
        let specs: Vec<EndpointSpec> = (0..runners)
            .map(|index| EndpointSpec {
                endpoint: endpoint(index),
                data_centre: data_centre(index),
                slots: SLOTS,
                connections: CONNECTIONS,
            })
            .collect();
        let (rank, routers) = (rank as u32, INSTANCES as u32);
        let share = RouterShare::new(rank, routers, 0, TimeMs::ZERO);
        router.sync(&specs, &share, TimeMs::ZERO);
        Instance {
            router,
            queue: FairQueue::default(),
            budget: RetryBudget::new(),
            admission: Admission::new(AdmissionOptions::default()),
            early_refusal: options.early_refusal,
            tried: HashMap::new(),
            pumped: false,
        }
    }

    /// Decides on a request as the daemon's `ServiceState::request_runner` does.
    pub(super) fn ask(
        &mut self,
        request: u64,
        team: usize,
        deadline: Deadline,
        tried: &[EndpointId],
        draw: u64,
        now: TimeMs,
    ) -> Turn {
        if !self.router.accepts_requests(tried, now) {
            return Turn::Refused;
        }
        if self.queue.is_empty()
            && let Some(choice) = self.router.choose(tried, 0, draw, now)
        {
            self.router.begin(&choice.endpoint, now);
            return Turn::Now(choice);
        }
        let (name, weight) = (TEAM_NAMES[team], WEIGHTS[team]);
        let limit = if self.early_refusal {
            if self.router.all_refuse(now) {
                return Turn::Refused;
            }
            let checked =
                self.admission.check(&self.queue, name, weight, deadline, now);
            match checked {
                Ok(limit) => limit,
                Err(_) => return Turn::Refused,
            }
        } else {
            UNBOUNDED
        };
        let waiter = Waiter { ticket: Ticket(request), deadline };
        if self.queue.push(name, weight, waiter, limit).is_err() {
            return Turn::Refused;
        }
        self.tried.insert(request, tried.to_vec());
        Turn::Wait
    }

    /// Takes the next request whose turn has come: with a choice, or
    /// without one where it would be too late.
    pub(super) fn next_turn(
        &mut self,
        team_of: impl Fn(u64) -> usize,
        draw: u64,
        now: TimeMs,
    ) -> Option<(u64, Option<Choice>)> {
        let waiting = self.queue.len().saturating_sub(1);
        let waiter = self.queue.pop()?;
        let request = waiter.ticket.0;
        let doomed = self.admission.will_miss_deadline(waiter.deadline, now);
        if self.early_refusal && doomed {
            self.tried.remove(&request);
            return Some((request, None));
        }
        let tried = self.tried.get(&request).map_or(&[][..], Vec::as_slice);
        match self.router.choose(tried, waiting, draw, now) {
            Some(choice) => {
                self.tried.remove(&request);
                self.router.begin(&choice.endpoint, now);
                Some((request, Some(choice)))
            }
            None => {
                let team = team_of(request);
                let (name, weight) = (TEAM_NAMES[team], WEIGHTS[team]);
                self.queue.put_back(name, weight, waiter);
                None
            }
        }
    }

    /// Takes out a request whose deadline has passed.
    pub(super) fn give_up(&mut self, request: u64, team: usize) -> bool {
        self.tried.remove(&request);
        self.queue.remove(TEAM_NAMES[team], Ticket(request))
    }

    /// Takes in what became of an attempt.
    pub(super) fn finish(
        &mut self,
        endpoint: &EndpointId,
        outcome: Outcome,
        now: TimeMs,
    ) {
        if let Outcome::Answered { latency_ms, .. } = outcome {
            let waiting = !self.queue.is_empty();
            self.admission.record_answer(latency_ms, waiting, now);
        }
        self.router.finish(endpoint, outcome, now);
    }

    pub(super) fn latency_ms(&self) -> Option<f64> {
        self.admission.latency_ms()
    }
}
