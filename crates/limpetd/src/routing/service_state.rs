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

/// What a request that wants a runner says of itself.
#[derive(Clone, Copy)]
pub(crate) struct TurnRequest<'a> {
    pub(crate) team: &'a str,
    pub(crate) weight: u32,
    pub(crate) deadline: Deadline,
    /// The runners that it was sent to before.
    pub(crate) tried: &'a [EndpointId],
}

/// What a request that wants a runner gets.
pub(crate) enum Turn {
    /// A runner, at once.
    Now(Choice),
    /// A place in the queue.
    Wait(Ticket, oneshot::Receiver<Result<AttemptGuard>>),
}

/// A request in the queue.
pub(crate) struct Pending {
    pub(crate) sender: oneshot::Sender<Result<AttemptGuard>>,
    team: String,
    weight: u32,
    tried: Vec<EndpointId>,
}

/// What one traffic thread knows of one service.
pub(crate) struct ServiceState {
    service: ServiceName,
    pub(crate) router: Router,
    pub(crate) budget: RetryBudget,
    queue: FairQueue,
    admission: Admission,
    pending: HashMap<u64, Pending>,
    next_ticket: u64,
    /// Whether a task looks after the queue.
    pub(crate) pumped: bool,
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
            pumped: false,
        }
    }

    pub(crate) fn sync(
        &mut self,
        specs: &[EndpointSpec],
        share: &RouterShare,
        now: TimeMs,
    ) {
        self.router.sync(specs, share, now);
    }

    pub(crate) fn is_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Gives a request a runner or a place in the queue.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoRunner`], [`ErrorKind::Overloaded`] and
    /// [`ErrorKind::QueueFull`], each of them at once.
    pub(crate) fn ask(
        &mut self,
        request: &TurnRequest<'_>,
        draw: u64,
        now: TimeMs,
    ) -> Result<Turn> {
        if !self.router.accepts_requests(request.tried, now) {
            return Err(self.no_runner());
        }
        if self.queue.is_empty()
            && let Some(choice) =
                self.router.choose(request.tried, 0, draw, now)
        {
            self.router.begin(&choice.endpoint, now);
            return Ok(Turn::Now(choice));
        }
        if self.router.all_refuse(now) {
            return Err(self.all_refuse());
        }
        let TurnRequest { team, weight, deadline, tried } = *request;
        let limit =
            self.admission.check(&self.queue, team, weight, deadline, now)?;
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiter = Waiter { ticket, deadline };
        self.queue.push(team, weight, waiter, limit)?;
        let (sender, receiver) = oneshot::channel();
        let pending = Pending {
            sender,
            team: team.to_owned(),
            weight,
            tried: tried.to_vec(),
        };
        self.pending.insert(ticket.0, pending);
        Ok(Turn::Wait(ticket, receiver))
    }

    /// Takes the next request out of the queue whose turn has come.
    pub(crate) fn next_turn(
        &mut self,
        draw: u64,
        now: TimeMs,
    ) -> Option<(Pending, Result<Choice>)> {
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

    /// Takes out a request that gave up waiting.
    pub(crate) fn give_up(&mut self, ticket: Ticket) {
        if let Some(pending) = self.pending.remove(&ticket.0) {
            self.queue.remove(&pending.team, ticket);
        }
    }

    /// Takes in what became of an attempt.
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
            format!("no runner of `{}` takes work", self.service),
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
