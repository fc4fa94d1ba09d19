//! One attempt to have a runner answer a request.

use std::time::Duration;

use actix_http::{
    Method, RequestHead, Response, StatusCode, Uri,
    body::{BodyStream, BoxBody, SizedStream},
    header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING},
};
use limpet_core::{Error, ErrorKind, Result, RunStatus, routing::Outcome};
use tokio::time::{Instant, timeout};

use super::{
    TrafficContext,
    answer_stream::AnswerStream,
    attempt_guard::AttemptGuard,
    body_source::{BodyReader, BodySource},
    headers::{
        LEAVING_HEADER, LOAD_HEADER, REQUEST_HEADER, RUN_HEADER,
        TIMEOUT_HEADER, copy_end_to_end, forwarded_head, get_number,
        set_number,
    },
    pool::connect_within,
    request_plan::RequestPlan,
    runner_connection::{
        AnswerHead, ExchangeError, RunnerConnection, exchange, has_body,
        into_answering,
    },
};

/// A failed attempt: the error for the caller, and the outcome that the router
/// records for the runner.
struct Failure {
    error: Error,
    outcome: Outcome,
}

impl Failure {
    fn new(
        guard: &AttemptGuard,
        kind: ErrorKind,
        outcome: Outcome,
        why: impl std::fmt::Display,
    ) -> Failure {
        let message = format!("runner `{}`: {why}", guard.endpoint());
        Failure { error: Error::new(kind, message), outcome }
    }
}

/// Sends a request to the runner of `guard`. Returns the answer once its head
/// has arrived; the body is streamed.
///
/// # Errors
///
/// The kind's `run` is `not_run` only if nothing was sent, or if the runner
/// itself says that it did not run the request.
pub(crate) async fn attempt(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    guard: AttemptGuard,
    body: &mut BodySource,
) -> Result<Response<BoxBody>> {
    let mut guard = guard;
    match start(context, plan, &mut guard, body).await {
        Ok((connection, answer)) => {
            Ok(answer_response(context, plan, connection, guard, answer))
        }
        Err(failure) => {
            guard.fail(failure.outcome);
            Err(failure.error)
        }
    }
}

/// Sends the request and returns the connection with the checked head of the
/// answer.
async fn start(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    guard: &mut AttemptGuard,
    body: &mut BodySource,
) -> std::result::Result<(RunnerConnection, AnswerHead), Failure> {
    let (mut connection, address) =
        open_connection(context, plan, guard).await?;
    let now = context.now();
    let left_ms = plan.deadline.left_ms(now);
    let head = runner_head(plan, guard, &address, left_ms)?;
    let size = body.size();
    let sent = timeout(
        Duration::from_millis(left_ms),
        exchange(&mut connection, head, size, BodyReader::new(body)),
    )
    .await;
    let answer = match sent {
        Err(_) => return Err(timed_out(guard, left_ms)),
        Ok(Err(err)) => return Err(exchange_failed(guard, err)),
        Ok(Ok(answer)) => answer,
    };
    check_answer(plan, guard, &answer)?;
    Ok((connection, answer))
}

/// Returns an idle connection to the runner or opens a new one, with the
/// runner's address.
async fn open_connection(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    guard: &AttemptGuard,
) -> std::result::Result<(RunnerConnection, String), Failure> {
    let now = context.now();
    let taken = context.with_pool(guard.endpoint(), |pool| {
        (pool.take(now), pool.address().to_owned())
    });
    let unreachable = |why: &dyn std::fmt::Display| {
        Failure::new(
            guard,
            ErrorKind::RunnerUnreachable,
            Outcome::Unreachable,
            why,
        )
    };
    let Some(((connection, report), address)) = taken else {
        return Err(unreachable(&"no longer listed"));
    };
    if report.closed > 0 {
        guard.mark_suspected();
    }
    if let Some(connection) = connection {
        return Ok((connection, address));
    }
    let timeout_ms =
        context.options().connect_timeout_ms.min(plan.deadline.left_ms(now));
    let connection = connect_within(&address, timeout_ms)
        .await
        .map_err(|err| unreachable(&err))?;
    guard.record_connected();
    Ok((connection, address))
}

/// Returns the head of the request to the runner.
fn runner_head(
    plan: &RequestPlan<'_>,
    guard: &AttemptGuard,
    address: &str,
    left_ms: u64,
) -> std::result::Result<RequestHead, Failure> {
    let uri = plan.path.parse::<Uri>().map_err(|err| {
        Failure::new(
            guard,
            ErrorKind::InvalidRequest,
            Outcome::Abandoned,
            format!("path `{}`: {err}", plan.path),
        )
    })?;
    let mut head = forwarded_head(plan.head, uri, address);
    set_number(&mut head.headers, TIMEOUT_HEADER, left_ms);
    set_number(&mut head.headers, REQUEST_HEADER, plan.number);
    Ok(head)
}

fn timed_out(guard: &AttemptGuard, waited_ms: u64) -> Failure {
    Failure::new(
        guard,
        ErrorKind::RunnerTimeout,
        Outcome::TimedOut { waited_ms },
        "no answer before the deadline",
    )
}

fn exchange_failed(guard: &AttemptGuard, err: ExchangeError) -> Failure {
    let failed = |outcome, why: String| {
        Failure::new(guard, ErrorKind::RunnerFailed, outcome, why)
    };
    match err {
        // A part of the body may have reached the runner, so the request may
        // have run.
        ExchangeError::Caller(err) => failed(
            Outcome::Abandoned,
            format!("reading the caller's body failed: {err}"),
        ),
        ExchangeError::Runner(err) => failed(Outcome::Failed, err.to_string()),
        ExchangeError::Closed => {
            guard.mark_suspected();
            failed(
                Outcome::Failed,
                "closed the connection without an answer".to_owned(),
            )
        }
        ExchangeError::Answer(err) => {
            failed(Outcome::Failed, format!("bad answer: {err}"))
        }
    }
}

/// Records what the head of an answer says about its runner. Rejects an answer
/// to another request, a refusal, and an answer without a length.
fn check_answer(
    plan: &RequestPlan<'_>,
    guard: &mut AttemptGuard,
    answer: &AnswerHead,
) -> std::result::Result<(), Failure> {
    let headers = &answer.head.headers;
    let echo = get_number(headers, REQUEST_HEADER);
    if let Some(number) = echo.filter(|&number| number != plan.number) {
        return Err(Failure::new(
            guard,
            ErrorKind::RunnerFailed,
            Outcome::Failed,
            format!("answered request {number} in place of {}", plan.number),
        ));
    }
    let load = get_number(headers, LOAD_HEADER);
    guard.record_head(echo.is_some(), load.map(|load| load as u32));
    if headers.contains_key(LEAVING_HEADER) {
        guard.mark_leaving();
    }
    if reports_not_run(headers) {
        return Err(Failure::new(
            guard,
            ErrorKind::Overloaded,
            Outcome::Refused,
            "refused the request",
        ));
    }
    let framed = headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING);
    if !framed && may_have_body(plan, answer.head.status) {
        return Err(Failure::new(
            guard,
            ErrorKind::RunnerFailed,
            Outcome::Failed,
            "its answer has no length, so a truncated one would look complete",
        ));
    }
    Ok(())
}

/// Returns whether the runner says that it did not run the request.
fn reports_not_run(headers: &HeaderMap) -> bool {
    headers.get(RUN_HEADER).is_some_and(|run| {
        run.as_bytes() == RunStatus::NotRun.as_str().as_bytes()
    })
}

/// Returns whether an answer of this status may have a body.
fn may_have_body(plan: &RequestPlan<'_>, status: StatusCode) -> bool {
    plan.head.method != Method::HEAD
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// Returns the response for the caller. Its body is streamed from the
/// runner's connection.
fn answer_response(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    connection: RunnerConnection,
    mut guard: AttemptGuard,
    answer: AnswerHead,
) -> Response<BoxBody> {
    let length = get_number(&answer.head.headers, CONTENT_LENGTH.as_str());
    guard.set_faulty(answer.head.status.is_server_error());
    let mut response = Response::with_body(answer.head.status, ());
    copy_end_to_end(&answer.head.headers, response.headers_mut());
    response.headers_mut().remove(REQUEST_HEADER);
    if !has_body(&connection) {
        if answer.request_sent {
            let keep = connection.codec_ref().keep_alive();
            guard.finish_and_reuse(keep.then_some(connection));
        } else {
            guard.finish_and_close();
        }
        return response.set_body(empty_body(length.unwrap_or(0)));
    }
    let deadline = plan.complete_by_deadline.then(|| {
        let left_ms = plan.deadline.left_ms(context.now());
        Instant::now() + Duration::from_millis(left_ms)
    });
    let idle = Duration::from_millis(context.options().idle_timeout_ms);
    let stream = AnswerStream::new(
        into_answering(connection),
        answer.request_sent,
        guard,
        idle,
        deadline,
    );
    response.set_body(match length {
        Some(length) => BoxBody::new(SizedStream::new(length, stream)),
        None => BoxBody::new(BodyStream::new(stream)),
    })
}

/// Returns an empty body for which the head still declares `length`, as in an
/// answer to a HEAD request.
fn empty_body(length: u64) -> BoxBody {
    if length == 0 {
        return BoxBody::new(());
    }
    let none = futures::stream::empty::<std::io::Result<bytes::Bytes>>();
    BoxBody::new(SizedStream::new(length, none))
}
