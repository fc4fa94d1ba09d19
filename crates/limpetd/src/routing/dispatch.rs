//! The attempts of a request: chooses runners and decides on retries.

use std::rc::Rc;

use actix_http::{Response, body::BoxBody};
use limpet_core::{
    EndpointId, Error, ErrorKind, Result, RunStatus,
    routing::{FailedAttempt, RetryDecision, decide_retry},
};
use slog::info;

use super::{
    TrafficContext, acquire::acquire, attempt::attempt,
    body_source::BodySource, in_flight_request::InFlightRequest,
    request_plan::RequestPlan,
};

/// Sends a request to one runner after another until one answers or no retry
/// is allowed.
///
/// # Errors
///
/// The last failure, unless an earlier attempt may have run and the last one
/// did not: then the earlier one, so that the caller isn't told `not_run`.
pub(crate) async fn dispatch(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    in_flight: &Rc<InFlightRequest>,
    body: &mut BodySource,
) -> Result<Response<BoxBody>> {
    context.with_service(plan.service, |state| state.budget.deposit());
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut failure: Option<Error> = None;
    let mut broken = 0;
    loop {
        let mut guard = match acquire(context, plan, &tried).await {
            Ok(guard) => guard,
            Err(err) => return Err(failure.unwrap_or(err)),
        };
        guard.set_in_flight(Rc::clone(in_flight));
        let endpoint = guard.endpoint().clone();
        let (reason, spilled) = (guard.reason(), guard.is_spilled());
        let answer = attempt(context, plan, guard, body).await;
        info!(
            context.logger(), "route: attempt ended";
            "request" => plan.number,
            "service" => plan.service.as_str(),
            "team" => plan.team_name(),
            "runner" => endpoint.as_str(),
            "why" => reason.as_str(),
            "spilled" => spilled,
            "attempt" => tried.len() + 1,
            "outcome" => match &answer {
                Ok(response) => response.status().as_u16().into(),
                Err(err) => LoggedOutcome::Code(err.kind().response().code),
            },
            "ms" => context.now().ms_since(plan.arrived_at),
        );
        let err = match answer {
            Ok(response) => return Ok(response),
            Err(err) => err,
        };
        tried.push(endpoint);
        broken += u32::from(err.kind() == ErrorKind::RunnerFailed);
        let attempts = Attempts { count: tried.len() as u32, broken };
        let decision = decide(context, plan, body, &err, attempts);
        let err = failure_to_report(failure.take(), err);
        if decision != RetryDecision::Retry {
            return Err(err);
        }
        failure = Some(err);
    }
}

/// The outcome of an attempt, as a value in a log line: the HTTP status of the
/// answer, or the code of the error.
enum LoggedOutcome {
    Status(u16),
    Code(&'static str),
}

impl From<u16> for LoggedOutcome {
    fn from(status: u16) -> LoggedOutcome {
        LoggedOutcome::Status(status)
    }
}

impl slog::Value for LoggedOutcome {
    fn serialize(
        &self,
        _record: &slog::Record<'_>,
        key: slog::Key,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        match self {
            LoggedOutcome::Status(status) => serializer.emit_u16(key, *status),
            LoggedOutcome::Code(code) => serializer.emit_str(key, code),
        }
    }
}

/// The attempts of a request so far.
#[derive(Clone, Copy, Debug)]
struct Attempts {
    count: u32,
    /// Those during which the runner broke off.
    broken: u32,
}

/// Decides whether a failed request is sent again.
fn decide(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    body: &BodySource,
    err: &Error,
    attempts: Attempts,
) -> RetryDecision {
    let failed = FailedAttempt {
        failure: err.kind(),
        idempotent: plan.idempotent,
        replayable: body.is_replayable(),
        attempts: attempts.count,
        broken: attempts.broken,
        deadline: plan.deadline,
    };
    let now = context.now();
    context
        .with_service(plan.service, |state| {
            decide_retry(&failed, &mut state.budget, now)
        })
        .unwrap_or(RetryDecision::NoBudget)
}

/// Returns the failure to report: an earlier one after which the request may
/// have run takes precedence over a later one.
fn failure_to_report(earlier: Option<Error>, later: Error) -> Error {
    match earlier {
        Some(earlier)
            if earlier.kind().response().run != RunStatus::NotRun =>
        {
            earlier
        }
        _ => later,
    }
}
