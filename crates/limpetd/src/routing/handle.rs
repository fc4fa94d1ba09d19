//! The entry point for requests to services.

use std::sync::Arc;

use actix_http::{
    ConnectionType, Request, Response,
    body::BoxBody,
    header::{CONTENT_LENGTH, HeaderMap},
};
use limpet_core::{
    Error, ErrorKind, Result, TeamName, TimeMs, config::ServiceConfig,
    routing::Deadline,
};
use limpet_wire::ErrorBody;
use slog::info;

use super::{
    TrafficContext,
    body_source::BodySource,
    claimed::{self, dispatch_claimed},
    dispatch::dispatch,
    headers::{
        IDEMPOTENCY_HEADER, TIMEOUT_HEADER, check_headers, get_number,
        read_key,
    },
    in_flight_request::InFlightRequest,
    refusal::refuse_with,
    request_plan::{RequestPlan, is_idempotent},
    target::Target,
};
use crate::View;

/// Answers one request to a service.
///
/// The answer is the complete answer of a runner, or a refusal that says
/// whether the request ran. If an answer's body ends early, the caller's
/// connection is closed, so that it can't mistake a truncated answer for a
/// complete one.
pub async fn handle(
    request: Request,
    context: &TrafficContext,
) -> Response<BoxBody> {
    let view = context.view();
    context.sync(&view);
    let mut response = match route(request, context, &view).await {
        Ok(response) => response,
        Err(err) => refuse_and_log(context, &err),
    };
    if view.leaving || context.view().leaving {
        // The request is served, but its caller must open its next
        // connection to another instance.
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

/// Returns the answer for a refused request, and logs it.
///
/// For refusals for lack of capacity, the times to retry are spread, so that
/// the callers don't all come back at once.
fn refuse_and_log(context: &TrafficContext, err: &Error) -> Response<BoxBody> {
    let response = err.kind().response();
    let mut body = ErrorBody::from(err);
    if lacks_capacity(err.kind()) {
        body.retry_after_ms = Some(context.retry_after_ms());
    }
    info!(
        context.logger(), "route: request refused";
        "kind" => response.code,
        "run" => response.run.as_str(),
        "why" => err.message(),
    );
    refuse_with(&body, response.http_status)
}

/// Returns whether a request was refused for lack of capacity.
fn lacks_capacity(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded
            | ErrorKind::QueueFull
            | ErrorKind::TeamLimit
            | ErrorKind::NoRunner
    )
}

/// A request whose head has been checked and that may be sent.
struct Accepted {
    request: Request,
    view: Arc<View>,
    target: Target,
    team: Option<TeamName>,
    /// The number of the request at this thread, from 1.
    number: u64,
    arrived_at: TimeMs,
    deadline: Deadline,
    /// Whether the complete answer is due at the deadline, and not only its
    /// head.
    complete_by_deadline: bool,
    /// The caller's idempotency key, if it sent one.
    idempotency_key: Option<String>,
}

impl Accepted {
    /// Returns the request as its attempts need it.
    fn plan(&self) -> RequestPlan<'_> {
        let team = self.team.as_ref();
        let config = team.and_then(|team| self.view.config.teams.get(team));
        let head = self.request.head();
        RequestPlan {
            head,
            service: &self.target.service,
            team,
            weight: config.map_or(1, |config| config.weight),
            path: &self.target.path,
            number: self.number,
            arrived_at: self.arrived_at,
            deadline: self.deadline,
            complete_by_deadline: self.complete_by_deadline,
            idempotent: is_idempotent(&head.method)
                && self.idempotency_key.is_none(),
        }
    }
}

/// Checks a request, reads its body and sends it to a runner.
async fn route(
    mut request: Request,
    context: &TrafficContext,
    view: &Arc<View>,
) -> Result<Response<BoxBody>> {
    let payload = request.take_payload();
    let accepted = accept(request, context, view)?;
    let limit = accepted.team.as_ref().and_then(|team| {
        let config = view.config.teams.get(team)?;
        Some((team, config.request_limit))
    });
    let in_flight = InFlightRequest::begin(context, limit)?;
    let options = context.options();
    let replay_limit_bytes = match &accepted.idempotency_key {
        None => options.replay_limit_bytes,
        Some(_) => options.claim_limit_bytes,
    };
    let length =
        get_number(&accepted.request.head().headers, CONTENT_LENGTH.as_str());
    let limit_bytes = options.body_limit_bytes;
    let read =
        BodySource::read(payload, length, replay_limit_bytes, limit_bytes);
    let mut body = read_within(context, accepted.deadline, read).await?;
    let Some(key) = accepted.idempotency_key.clone() else {
        let plan = accepted.plan();
        return dispatch(context, &plan, &in_flight, &mut body).await;
    };
    // The request gets a task of its own, so that it runs to its end even if
    // the caller disconnects: the answer is stored for a repeat.
    let context = context.clone();
    let task = actix_rt::spawn(async move {
        let plan = accepted.plan();
        dispatch_claimed(&context, &plan, &in_flight, &key, body).await
    });
    task.await.unwrap_or_else(|err| {
        Err(Error::new(ErrorKind::Internal, err.to_string()))
    })
}

/// Reads a body before the deadline. On a failure, nothing has been sent to a
/// runner.
async fn read_within(
    context: &TrafficContext,
    deadline: Deadline,
    read: impl Future<Output = Result<BodySource>>,
) -> Result<BodySource> {
    let left_ms = deadline.left_ms(context.now());
    let left = std::time::Duration::from_millis(left_ms);
    tokio::time::timeout(left, read).await.unwrap_or_else(|_| {
        Err(Error::new(
            ErrorKind::CallerTimeout,
            format!("the body took longer than {left_ms} ms"),
        ))
    })
}

/// Checks the head of a request: headers, path, key, deadline and idempotency
/// key.
fn accept(
    request: Request,
    context: &TrafficContext,
    view: &Arc<View>,
) -> Result<Accepted> {
    let now = context.now();
    let options = context.options();
    let headers = &request.head().headers;
    check_headers(headers, options.headers_limit_bytes)?;
    let target = Target::parse(request.uri())?;
    let service =
        view.config.services.get(&target.service).ok_or_else(|| {
            Error::new(
                ErrorKind::UnknownService,
                format!("no service `{}`", target.service),
            )
        })?;
    let team = verify(view, service, headers, context)?;
    let asked_ms = get_number(headers, TIMEOUT_HEADER);
    let deadline = Deadline::from_request(
        now,
        asked_ms,
        service.deadline_ms,
        options.deadline_limit_ms,
    )?;
    let idempotency_key = headers
        .get(IDEMPOTENCY_HEADER)
        .map(claimed::read_idempotency_key)
        .transpose()?;
    Ok(Accepted {
        view: Arc::clone(view),
        target,
        team,
        number: context.next_request(),
        arrived_at: now,
        deadline,
        complete_by_deadline: asked_ms.is_some(),
        idempotency_key,
        request,
    })
}

/// Verifies the key of a request and returns the team that it was granted to.
/// An open service also accepts requests without a key.
fn verify(
    view: &View,
    service: &ServiceConfig,
    headers: &HeaderMap,
    context: &TrafficContext,
) -> Result<Option<TeamName>> {
    let Some(key) = read_key(headers)? else {
        if service.open {
            return Ok(None);
        }
        return Err(Error::new(
            ErrorKind::UnknownKey,
            "this service accepts requests only with a key",
        ));
    };
    let record = view.verify_key(&key, context.now(), context.wall_now())?;
    Ok(record.team.clone())
}
