//! The attempts of a request: chooses runners and decides on retries.

use std::rc::Rc;

use actix_http::{Response, body::BoxBody};
use limpet_core::{
    EndpointId, Error, Result, RunStatus,
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
    loop {
        let mut guard = match acquire(context, plan, &tried).await {
            Ok(guard) => guard,
            Err(err) => return Err(failure.unwrap_or(err)),
        };
        guard.set_in_flight(Rc::clone(in_flight));
        let endpoint = guard.endpoint().clone();
        let (why, spilled) = (guard.why(), guard.is_spilled());
        let answer = attempt(context, plan, guard, body).await;
        info!(
            context.logger(), "route: attempt ended";
            "request" => plan.number,
            "service" => plan.service.as_str(),
            "team" => plan.team_name(),
            "runner" => endpoint.as_str(),
            "why" => why.as_str(),
            "spilled" => spilled,
            "attempt" => tried.len() + 1,
            "outcome" => match &answer {
                Ok(response) => response.status().as_u16().into(),
                Err(err) => Outcome::Word(err.kind().response().code),
            },
            "ms" => context.now().ms_since(plan.arrived_at),
        );
        let err = match answer {
            Ok(response) => return Ok(response),
            Err(err) => err,
        };
        tried.push(endpoint);
        let decision = decide(context, plan, body, &err, tried.len());
        let err = failure_to_report(failure.take(), err);
        if decision != RetryDecision::Retry {
            return Err(err);
        }
        failure = Some(err);
    }
}

/// The outcome of an attempt, as a value in a log line.
enum Outcome {
    Status(u16),
    Word(&'static str),
}

impl From<u16> for Outcome {
    fn from(status: u16) -> Outcome {
        Outcome::Status(status)
    }
}

impl slog::Value for Outcome {
    fn serialize(
        &self,
        _record: &slog::Record<'_>,
        key: slog::Key,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        match self {
            Outcome::Status(status) => serializer.emit_u16(key, *status),
            Outcome::Word(word) => serializer.emit_str(key, word),
        }
    }
}

/// Decides whether a failed request is sent again.
fn decide(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    body: &BodySource,
    err: &Error,
    attempts: usize,
) -> RetryDecision {
    let question = FailedAttempt {
        failure: err.kind(),
        idempotent: plan.idempotent,
        replayable: body.is_replayable(),
        attempts: attempts as u32,
        deadline: plan.deadline,
    };
    let now = context.now();
    context
        .with_service(plan.service, |state| {
            decide_retry(&question, &mut state.budget, now)
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
