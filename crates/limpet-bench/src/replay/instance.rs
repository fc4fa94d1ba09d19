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

/// The number of connections that a runner accepts.
const CONNECTIONS: u32 = 64;
/// The one-way network delay to another data centre.
pub(super) const REMOTE_HOP_US: u64 = 1_000;
/// The one-way network delay within a data centre.
pub(super) const LOCAL_HOP_US: u64 = 50;
/// The number of data centres.
const DATA_CENTRES: usize = 3;
/// The queue limit if requests aren't refused early: longer than any queue
/// gets.
const UNBOUNDED_QUEUE_LEN: usize = 1 << 30;

/// The weight of each team in the fair queue.
pub(crate) const WEIGHTS: [u32; 3] = [3, 2, 1];
/// The names of the teams, in the order of [`WEIGHTS`].
const TEAM_NAMES: [&str; 3] = ["a", "b", "c"];

/// The decision on a request that asks for a runner.
pub(super) enum Dispatch {
    /// The request is sent to the chosen runner at once.
    Immediate(Choice),
    /// The request waits in the queue.
    Queued,
    /// The request is refused without having run.
    Refused,
}

/// The routing state of one instance for the replayed service.
pub(super) struct Instance {
    pub(super) router: Router,
    pub(super) queue: FairQueue,
    pub(super) budget: RetryBudget,
    admission: Admission,
    early_refusal: bool,
    /// The endpoints that each queued request has tried.
    tried: HashMap<u64, Vec<EndpointId>>,
    /// Whether an event that dispatches from the queue is scheduled.
    pub(super) dispatch_scheduled: bool,
}

/// Returns the data centre of an instance or a runner, by its index.
pub(super) fn data_centre(index: usize) -> DataCentre {
    DataCentre::new(&format!("dc{}", index % DATA_CENTRES))
        .expect("a valid name")
}

/// Returns the endpoint of a runner, by its index.
pub(super) fn endpoint(index: usize) -> EndpointId {
    EndpointId::new(&format!("r{index}")).expect("a valid name")
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
            hop_ms: REMOTE_HOP_US as f64 / 1e3,
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
            dispatch_scheduled: false,
        }
    }

    /// Chooses a runner for a request, queues it or refuses it, by the same
    /// rules as `ServiceState::request_runner` in limpetd. `tried` lists the
    /// endpoints of earlier attempts.
    pub(super) fn request_runner(
        &mut self,
        request: u64,
        team: usize,
        deadline: Deadline,
        tried: &[EndpointId],
        draw: u64,
        now: TimeMs,
    ) -> Dispatch {
        if !self.router.accepts_requests(tried, now) {
            return Dispatch::Refused;
        }
        if self.queue.is_empty()
            && let Some(choice) = self.router.choose(tried, 0, draw, now)
        {
            self.router.begin(&choice.endpoint, now);
            return Dispatch::Immediate(choice);
        }
        let (name, weight) = (TEAM_NAMES[team], WEIGHTS[team]);
        let limit = if self.early_refusal {
            if self.router.all_refuse(now) {
                return Dispatch::Refused;
            }
            let checked =
                self.admission.check(&self.queue, name, weight, deadline, now);
            match checked {
                Ok(limit) => limit,
                Err(_) => return Dispatch::Refused,
            }
        } else {
            UNBOUNDED_QUEUE_LEN
        };
        let waiter = Waiter { ticket: Ticket(request), deadline };
        if self.queue.push(name, weight, waiter, limit).is_err() {
            return Dispatch::Refused;
        }
        self.tried.insert(request, tried.to_vec());
        Dispatch::Queued
    }

    /// Takes the next request from the queue if a runner can be chosen for
    /// it, and returns the request with the choice. Without a choice, the
    /// request was dropped because it would be answered after its deadline.
    pub(super) fn dispatch_next(
        &mut self,
        team_of: impl Fn(u64) -> usize,
        draw: u64,
        now: TimeMs,
    ) -> Option<(u64, Option<Choice>)> {
        let waiting = self.queue.len().saturating_sub(1);
        let waiter = self.queue.pop()?;
        let request = waiter.ticket.0;
        let too_late = self.admission.will_miss_deadline(waiter.deadline, now);
        if self.early_refusal && too_late {
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

    /// Removes a request whose deadline has passed, and returns whether it
    /// was still queued.
    pub(super) fn remove_queued(&mut self, request: u64, team: usize) -> bool {
        self.tried.remove(&request);
        self.queue.remove(TEAM_NAMES[team], Ticket(request))
    }

    /// Records the outcome of an attempt in the router and in admission
    /// control.
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

    /// Returns the average latency, or `None` before the first answer.
    pub(super) fn latency_ms(&self) -> Option<f64> {
        self.admission.latency_ms()
    }
}
