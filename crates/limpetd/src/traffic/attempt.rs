use std::time::Duration;

use actix_http::{
    RequestHead, Response, StatusCode, Uri,
    body::{BodySize, BoxBody, SizedStream},
    header::CONTENT_LENGTH,
};
use limpet_core::{EndpointId, Error, ErrorKind, Result, ServiceName, TimeMs};
use slog::info;
use tokio::time::Instant;

use super::{
    TrafficContext,
    answer_stream::AnswerStream,
    body_source::{BodyReader, BodySource},
    headers::{
        REQUEST_HEADER, TIMEOUT_HEADER, copy_end_to_end, forwarded_head,
        get_number, set_number,
    },
    pool::connect_within,
    runner_connection::{
        AnswerHead, ExchangeError, RunnerConnection, exchange, has_body,
        into_answering,
    },
};

/// One request as its attempts see it.
pub(crate) struct RequestPlan<'a> {
    pub(crate) head: &'a RequestHead,
    pub(crate) service: &'a ServiceName,
    pub(crate) team: &'a str,
    pub(crate) path: &'a str,
    pub(crate) number: u64,
    pub(crate) deadline: TimeMs,
    pub(crate) whole_by_deadline: bool,
}

/// Holds one use of a runner's connection until its answer has ended.
pub(crate) struct AttemptGuard {
    context: TrafficContext,
    endpoint: EndpointId,
    number: u64,
    echoed: bool,
}

impl AttemptGuard {
    fn new(
        context: &TrafficContext,
        endpoint: &EndpointId,
        number: u64,
    ) -> AttemptGuard {
        context.add_in_flight();
        AttemptGuard {
            context: context.clone(),
            endpoint: endpoint.clone(),
            number,
            echoed: false,
        }
    }

    /// Ends the use after a whole answer; the connection may serve again.
    pub(crate) fn answer_whole(self, connection: Option<RunnerConnection>) {
        let now = self.context.now();
        if let Some(connection) = connection
            && connection.is_read_buf_empty()
        {
            self.context.with_pool(&self.endpoint, |pool| {
                pool.put(connection, self.echoed, now);
            });
        }
    }

    /// Ends the use after an answer that broke off.
    pub(crate) fn answer_broken(self, why: &str) {
        info!(
            self.context.logger(), "route: answer broken";
            "request" => self.number,
            "runner" => self.endpoint.as_str(),
            "why" => why,
        );
    }

    /// Ends the use after the caller went away.
    pub(crate) fn abandoned(self) {
        info!(
            self.context.logger(), "route: caller left";
            "request" => self.number,
            "runner" => self.endpoint.as_str(),
        );
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.context.with_pool(&self.endpoint, |pool| pool.release());
        self.context.remove_in_flight();
    }
}

/// Sends a request to one runner and returns the start of its answer.
///
/// # Errors
///
/// [`ErrorKind::RunnerUnreachable`] where nothing was sent, and
/// [`ErrorKind::RunnerFailed`] or [`ErrorKind::RunnerTimeout`] where the
/// request may have run.
pub(crate) async fn attempt(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    endpoint: &EndpointId,
    body: &mut BodySource,
) -> Result<Response<BoxBody>> {
    let mut guard = AttemptGuard::new(context, endpoint, plan.number);
    let (mut connection, address) =
        open_connection(context, plan, endpoint).await?;
    let left_ms = plan.deadline.ms_since(context.now());
    let head = runner_head(plan, &address, left_ms)?;
    let size = body.size();
    let sent = tokio::time::timeout(
        Duration::from_millis(left_ms),
        exchange(&mut connection, head, size, BodyReader::new(body)),
    )
    .await;
    let answer = match sent {
        Err(_) => return Err(timed_out(endpoint)),
        Ok(Err(err)) => return Err(exchange_failed(endpoint, err)),
        Ok(Ok(answer)) => answer,
    };
    guard.echoed = check_echo(plan, endpoint, &answer)?;
    answer_response(context, plan, connection, guard, answer)
}

async fn open_connection(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    endpoint: &EndpointId,
) -> Result<(RunnerConnection, String)> {
    let now = context.now();
    let taken = context.with_pool(endpoint, |pool| {
        (pool.take(now), pool.address().to_owned())
    });
    let Some(((connection, _), address)) = taken else {
        return Err(Error::new(
            ErrorKind::RunnerUnreachable,
            format!("runner `{endpoint}` is gone"),
        ));
    };
    if let Some(connection) = connection {
        return Ok((connection, address));
    }
    let timeout_ms =
        context.options().connect_timeout_ms.min(plan.deadline.ms_since(now));
    let connection =
        connect_within(&address, timeout_ms).await.map_err(|err| {
            Error::new(
                ErrorKind::RunnerUnreachable,
                format!("runner `{endpoint}`: {err}"),
            )
        })?;
    Ok((connection, address))
}

fn runner_head(
    plan: &RequestPlan<'_>,
    address: &str,
    left_ms: u64,
) -> Result<RequestHead> {
    let uri = plan.path.parse::<Uri>().map_err(|err| {
        Error::new(
            ErrorKind::InvalidRequest,
            format!("path `{}`: {err}", plan.path),
        )
    })?;
    let mut head = forwarded_head(plan.head, uri, address);
    set_number(&mut head.headers, TIMEOUT_HEADER, left_ms);
    set_number(&mut head.headers, REQUEST_HEADER, plan.number);
    Ok(head)
}

fn timed_out(endpoint: &EndpointId) -> Error {
    Error::new(
        ErrorKind::RunnerTimeout,
        format!("runner `{endpoint}` gave no answer before the deadline"),
    )
}

fn exchange_failed(endpoint: &EndpointId, err: ExchangeError) -> Error {
    let failed = |why: String| {
        Error::new(
            ErrorKind::RunnerFailed,
            format!("runner `{endpoint}`: {why}"),
        )
    };
    match err {
        ExchangeError::Caller(err) => {
            failed(format!("the caller's body broke off: {err}"))
        }
        ExchangeError::Runner(err) => failed(err.to_string()),
        ExchangeError::Closed => failed("closed without an answer".into()),
        ExchangeError::Answer(err) => failed(format!("bad answer: {err}")),
    }
}

/// Says whether the answer bears the number of the request.
///
/// # Errors
///
/// [`ErrorKind::RunnerFailed`] where it bears another one: it is the answer
/// to another request.
fn check_echo(
    plan: &RequestPlan<'_>,
    endpoint: &EndpointId,
    answer: &AnswerHead,
) -> Result<bool> {
    match get_number(&answer.head.headers, REQUEST_HEADER) {
        None => Ok(false),
        Some(number) if number == plan.number => Ok(true),
        Some(number) => Err(Error::new(
            ErrorKind::RunnerFailed,
            format!(
                "runner `{endpoint}` answered request {number} in place of \
                 {}",
                plan.number
            ),
        )),
    }
}

fn answer_response(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    connection: RunnerConnection,
    guard: AttemptGuard,
    answer: AnswerHead,
) -> Result<Response<BoxBody>> {
    let status = answer.head.status;
    let length = get_number(&answer.head.headers, CONTENT_LENGTH.as_str());
    let chunked = answer.head.headers.contains_key("transfer-encoding");
    if length.is_none() && !chunked && may_have_body(plan, status) {
        return Err(Error::new(
            ErrorKind::RunnerFailed,
            "the answer has no length, so a cut one would look whole",
        ));
    }
    let mut response = Response::with_body(status, ());
    copy_end_to_end(&answer.head.headers, response.headers_mut());
    response.headers_mut().remove(REQUEST_HEADER);
    if !has_body(&connection) {
        let keep = answer.request_sent && connection.codec_ref().keep_alive();
        guard.answer_whole(keep.then_some(connection));
        return Ok(response.set_body(empty_body(length.unwrap_or(0))));
    }
    let deadline_ms = plan.deadline.ms_since(context.now());
    let deadline = plan
        .whole_by_deadline
        .then(|| Instant::now() + Duration::from_millis(deadline_ms));
    let idle = Duration::from_millis(context.options().idle_timeout_ms);
    let stream =
        AnswerStream::new(into_answering(connection), guard, idle, deadline);
    let body = match length {
        Some(length) => BoxBody::new(SizedStream::new(length, stream)),
        None => BoxBody::new(actix_http::body::BodyStream::new(stream)),
    };
    Ok(response.set_body(body))
}

fn may_have_body(plan: &RequestPlan<'_>, status: StatusCode) -> bool {
    plan.head.method != actix_http::Method::HEAD
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// Returns a body of no bytes whose head still says `length`, as an answer
/// to HEAD does.
fn empty_body(length: u64) -> BoxBody {
    if length == 0 {
        return BoxBody::new(());
    }
    let none = futures::stream::empty::<std::io::Result<bytes::Bytes>>();
    let body = SizedStream::new(length, none);
    debug_assert!(matches!(
        actix_http::body::MessageBody::size(&body),
        BodySize::Sized(_)
    ));
    BoxBody::new(body)
}
