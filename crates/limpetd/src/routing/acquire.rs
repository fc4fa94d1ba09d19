use std::time::Duration;

use limpet_core::{
    EndpointId, Error, ErrorKind, Result, ServiceName, routing::Ticket,
};
use tokio::time::{sleep, timeout};

use super::{
    TrafficContext,
    attempt_guard::AttemptGuard,
    request_plan::RequestPlan,
    service_state::{Turn, TurnRequest},
};

/// How often a queue is looked after while time alone may free a slot.
const PUMP_INTERVAL: Duration = Duration::from_millis(5);

/// Takes a request that gave up out of the queue, whichever way it ends.
struct QueuePlace<'a> {
    context: &'a TrafficContext,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.context
            .with_service(self.service, |state| state.give_up(self.ticket));
    }
}

/// Waits for a runner outside `tried` until the request's deadline.
///
/// # Errors
///
/// As `ServiceState::ask`, and [`ErrorKind::DeadlineBeforeRun`].
pub(crate) async fn acquire(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    tried: &[EndpointId],
) -> Result<AttemptGuard> {
    let now = context.now();
    let request = TurnRequest {
        team: plan.team_name(),
        weight: plan.weight,
        deadline: plan.deadline,
        tried,
    };
    let turn = context
        .with_service(plan.service, |state| {
            state.ask(&request, rand::random(), now)
        })
        .unwrap_or_else(|| {
            Err(Error::new(
                ErrorKind::UnknownService,
                format!("no service `{}`", plan.service),
            ))
        })?;
    let (ticket, receiver) = match turn {
        Turn::Now(choice) => {
            return Ok(AttemptGuard::new(context, plan.service, choice));
        }
        Turn::Wait(ticket, receiver) => (ticket, receiver),
    };
    let _place = QueuePlace { context, service: plan.service, ticket };
    pump_while_waiting(context, plan.service);
    let left = Duration::from_millis(plan.deadline.left_ms(now));
    match timeout(left, receiver).await {
        Ok(Ok(turn)) => turn,
        Ok(Err(_)) | Err(_) => Err(Error::new(
            ErrorKind::DeadlineBeforeRun,
            "the deadline passed before a runner was free",
        )),
    }
}

/// Starts the task that looks after a service's queue, unless it runs.
fn pump_while_waiting(context: &TrafficContext, service: &ServiceName) {
    let started = context
        .with_service(service, |state| {
            std::mem::replace(&mut state.pumped, true)
        })
        .unwrap_or(true);
    if started {
        return;
    }
    let (context, service) = (context.clone(), service.clone());
    actix_rt::spawn(async move {
        loop {
            sleep(PUMP_INTERVAL).await;
            context.pump(&service);
            let waiting = context.with_service(&service, |state| {
                state.pumped = state.is_waiting();
                state.pumped
            });
            if waiting != Some(true) {
                return;
            }
        }
    });
}
