//! The runners and the queue of a service on one traffic thread.

use std::collections::HashMap;

use limpet_core::{
    DataCentre, EndpointId, Error, ErrorKind, Result, ServiceName, TimeMs,
    routing::{
        Admission, AdmissionOptions, Choice, Deadline, EndpointSpec,
        FairQueue, Outcome, RetryBudget, Router, RouterOptions, RouterShare,
        Ticket, Waiter,
    },
};
use tokio::sync::oneshot;

use super::{TrafficOptions, attempt_guard::AttemptGuard};

/// What is needed of a request to choose a runner for it.
#[derive(Clone, Copy)]
pub(crate) struct RunnerRequest<'a> {
    pub(crate) team: &'a str,
    pub(crate) weight: u32,
    pub(crate) deadline: Deadline,
    /// The runners that the request was sent to before.
    pub(crate) tried: &'a [EndpointId],
}

/// The answer to a request for a runner.
pub(crate) enum Assignment {
    /// A runner is free.
    Ready(Choice),
    /// The request has to wait in the queue. The receiver gets the result.
    Queued(Ticket, oneshot::Receiver<Result<AttemptGuard>>),
}

/// A request in the queue.
pub(crate) struct QueuedRequest {
    pub(crate) sender: oneshot::Sender<Result<AttemptGuard>>,
    team: String,
    weight: u32,
    tried: Vec<EndpointId>,
}

/// The state of a service on one traffic thread.
pub(crate) struct ServiceState {
    service: ServiceName,
    /// Chooses runners and tracks their slots and health.
    pub(crate) router: Router,
    /// Limits retries to a fraction of the requests.
    pub(crate) budget: RetryBudget,
    /// The order in which waiting requests get runners.
    queue: FairQueue,
    /// Decides whether a request may wait.
    admission: Admission,
    /// The requests in the queue, by ticket.
    pending: HashMap<u64, QueuedRequest>,
    next_ticket: u64,
    /// Whether the task that gives free slots to waiting requests is running.
    pub(crate) assigning: bool,
}

impl ServiceState {
    pub(crate) fn new(
        service: ServiceName,
        data_centre: DataCentre,
        options: &TrafficOptions,
    ) -> ServiceState {
        ServiceState {
            service,
            router: Router::new(RouterOptions {
                policy: options.policy,
                data_centre,
                hop_ms: options.hop_ms,
            }),
            budget: RetryBudget::new(),
            queue: FairQueue::default(),
            admission: Admission::new(AdmissionOptions::default()),
            pending: HashMap::new(),
            next_ticket: 0,
            assigning: false,
        }
    }

    /// Applies the listed runners of the service and this thread's share.
    pub(crate) fn sync(
        &mut self,
        specs: &[EndpointSpec],
        share: &RouterShare,
        now: TimeMs,
    ) {
        self.router.sync(specs, share, now);
    }

    /// Returns whether requests wait in the queue.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Chooses a runner for a request, or puts the request into the queue.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoRunner`] if no runner accepts requests,
    /// [`ErrorKind::Overloaded`] if every runner refuses requests or the
    /// request would wait for too long, and [`ErrorKind::QueueFull`].
    pub(crate) fn request_runner(
        &mut self,
        request: &RunnerRequest<'_>,
        draw: u64,
        now: TimeMs,
    ) -> Result<Assignment> {
        if !self.router.accepts_requests(request.tried, now) {
            return Err(self.no_runner());
        }
        if self.queue.is_empty()
            && let Some(choice) =
                self.router.choose(request.tried, 0, draw, now)
        {
            self.router.begin(&choice.endpoint, now);
            return Ok(Assignment::Ready(choice));
        }
        if self.router.all_refuse(now) {
            return Err(self.all_refuse());
        }
        let RunnerRequest { team, weight, deadline, tried } = *request;
        let limit =
            self.admission.check(&self.queue, team, weight, deadline, now)?;
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiter = Waiter { ticket, deadline };
        self.queue.push(team, weight, waiter, limit)?;
        let (sender, receiver) = oneshot::channel();
        let pending = QueuedRequest {
            sender,
            team: team.to_owned(),
            weight,
            tried: tried.to_vec(),
        };
        self.pending.insert(ticket.0, pending);
        Ok(Assignment::Queued(ticket, receiver))
    }

    /// Removes and returns the next request of the queue, with the runner that
    /// was chosen for it or the reason why it must not wait any longer.
    /// Returns `None` if the queue is empty or no runner is free.
    pub(crate) fn next_waiting(
        &mut self,
        draw: u64,
        now: TimeMs,
    ) -> Option<(QueuedRequest, Result<Choice>)> {
        if !self.router.accepts_requests(&[], now) {
            let waiter = self.queue.pop()?;
            let pending = self.pending.remove(&waiter.ticket.0)?;
            return Some((pending, Err(self.no_runner())));
        }
        let waiting = self.queue.len().saturating_sub(1);
        let waiter = self.queue.pop()?;
        let pending = self.pending.remove(&waiter.ticket.0)?;
        if self.admission.will_miss_deadline(waiter.deadline, now) {
            return Some((pending, Err(too_late(waiter.deadline, now))));
        }
        match self.router.choose(&pending.tried, waiting, draw, now) {
            Some(choice) => {
                self.router.begin(&choice.endpoint, now);
                Some((pending, Ok(choice)))
            }
            None if self.router.all_refuse(now) => {
                Some((pending, Err(self.all_refuse())))
            }
            None => {
                self.queue.put_back(&pending.team, pending.weight, waiter);
                self.pending.insert(waiter.ticket.0, pending);
                None
            }
        }
    }

    /// Removes a request that has stopped waiting from the queue.
    pub(crate) fn remove_waiting(&mut self, ticket: Ticket) {
        if let Some(pending) = self.pending.remove(&ticket.0) {
            self.queue.remove(&pending.team, ticket);
        }
    }

    /// Records the outcome of an attempt.
    pub(crate) fn finish(
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

    fn all_refuse(&self) -> Error {
        Error::new(
            ErrorKind::Overloaded,
            format!("every runner of `{}` refuses requests", self.service),
        )
    }

    fn no_runner(&self) -> Error {
        Error::new(
            ErrorKind::NoRunner,
            format!("no runner of `{}` accepts requests", self.service),
        )
    }
}

fn too_late(deadline: Deadline, now: TimeMs) -> Error {
    Error::new(
        ErrorKind::Overloaded,
        format!(
            "{} ms are left after the wait, too few for an answer",
            deadline.left_ms(now)
        ),
    )
}
