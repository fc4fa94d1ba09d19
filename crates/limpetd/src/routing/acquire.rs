//! Waits for a free slot of a runner.

use std::time::Duration;

use limpet_core::{
    EndpointId, Error, ErrorKind, Result, ServiceName, routing::Ticket,
};
use tokio::time::{sleep, timeout};

use super::{
    TrafficContext,
    attempt_guard::AttemptGuard,
    request_plan::RequestPlan,
    service_state::{Assignment, RunnerRequest},
};

/// How often the queue of a service is checked while requests wait in it.
/// Slots may become free by the passing of time alone, without an event.
const ASSIGN_INTERVAL: Duration = Duration::from_millis(5);

/// The place of a request in the queue. Dropping it removes the request,
/// however the wait ends.
struct QueuePlace<'a> {
    context: &'a TrafficContext,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.context.with_service(self.service, |state| {
            state.remove_waiting(self.ticket)
        });
    }
}

/// Waits until the request's deadline for a runner that is not in `tried`.
///
/// # Errors
///
/// As `ServiceState::request_runner`, [`ErrorKind::UnknownService`] if there
/// is no such service, and [`ErrorKind::DeadlineBeforeRun`] if the deadline
/// passes first.
pub(crate) async fn acquire(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    tried: &[EndpointId],
) -> Result<AttemptGuard> {
    let now = context.now();
    let request = RunnerRequest {
        team: plan.team_name(),
        weight: plan.weight,
        deadline: plan.deadline,
        tried,
    };
    let assignment = context
        .with_service(plan.service, |state| {
            state.request_runner(&request, rand::random(), now)
        })
        .unwrap_or_else(|| {
            Err(Error::new(
                ErrorKind::UnknownService,
                format!("no service `{}`", plan.service),
            ))
        })?;
    let (ticket, receiver) = match assignment {
        Assignment::Ready(choice) => {
            return Ok(AttemptGuard::new(context, plan.service, choice));
        }
        Assignment::Queued(ticket, receiver) => (ticket, receiver),
    };
    let _place = QueuePlace { context, service: plan.service, ticket };
    spawn_slot_assignment(context, plan.service);
    let left = Duration::from_millis(plan.deadline.left_ms(now));
    match timeout(left, receiver).await {
        Ok(Ok(assignment)) => assignment,
        Ok(Err(_)) | Err(_) => Err(Error::new(
            ErrorKind::DeadlineBeforeRun,
            "the deadline passed before a runner was free",
        )),
    }
}

/// Starts the task that gives free slots to waiting requests, unless it is
/// running. It ends when no request of the service waits.
fn spawn_slot_assignment(context: &TrafficContext, service: &ServiceName) {
    let started = context
        .with_service(service, |state| {
            std::mem::replace(&mut state.assigning, true)
        })
        .unwrap_or(true);
    if started {
        return;
    }
    let (context, service) = (context.clone(), service.clone());
    actix_rt::spawn(async move {
        loop {
            sleep(ASSIGN_INTERVAL).await;
            context.assign_free_slots(&service);
            let waiting = context.with_service(&service, |state| {
                state.assigning = state.is_waiting();
                state.assigning
            });
            if waiting != Some(true) {
                return;
            }
        }
    });
}
