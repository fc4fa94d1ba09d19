//! Requests with an idempotency key, which run at most once.
//!
//! A request is claimed in the table before it is sent, and its outcome is
//! stored with the claim, so that a repeat gets the stored answer.

use std::{rc::Rc, time::Duration};

use actix_http::{
    Response, StatusCode,
    body::{BoxBody, to_bytes_limited},
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use bytes::Bytes;
use limpet_core::{
    Error, ErrorKind, Result, RunStatus,
    claim::{Claim, ClaimOutcome, ClaimRequest},
    table::Transaction,
};
use slog::{info, warn};

use super::{
    ClaimGrant, ClaimPort, TrafficContext,
    body_source::BodySource,
    dispatch::dispatch,
    headers::{IDEMPOTENCY_HEADER, REPLAY_HEADER},
    in_flight_request::InFlightRequest,
    request_plan::RequestPlan,
};

/// The longest idempotency key, in characters.
const KEY_LIMIT_CHARS: usize = 128;

/// How long an answer is held back for its outcome to be stored, so that a
/// repeat right after the answer usually finds the outcome.
const SETTLE_WAIT: Duration = Duration::from_millis(250);

/// Reads the idempotency key of a request.
///
/// # Errors
///
/// [`ErrorKind::InvalidRequest`] if it is empty, too long or not printable. It
/// must not be ignored, since the request could then run twice.
pub(crate) fn read_idempotency_key(value: &HeaderValue) -> Result<String> {
    let text = value.to_str().unwrap_or("").trim().trim_matches('"');
    let length = text.chars().count();
    if !(1..=KEY_LIMIT_CHARS).contains(&length) {
        return Err(Error::new(
            ErrorKind::InvalidRequest,
            format!(
                "{IDEMPOTENCY_HEADER} has {length} readable characters, 1 \
                 to {KEY_LIMIT_CHARS} are allowed"
            ),
        ));
    }
    Ok(text.to_owned())
}

/// Claims a request and sends it, or returns the stored answer if it ran
/// before.
///
/// # Errors
///
/// `ClaimPending` if the outcome of an earlier sending isn't known,
/// `ClaimMismatch` if the key was used for another request, those of the
/// table, and those of [`dispatch`]. The key can be used again only after an
/// error that says that the request did not run.
pub(crate) async fn dispatch_claimed(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    in_flight: &Rc<InFlightRequest>,
    key: &str,
    mut body: BodySource,
) -> Result<Response<BoxBody>> {
    let claims = context.claims().ok_or_else(|| {
        Error::new(
            ErrorKind::StoreUnavailable,
            "this instance doesn't serve idempotency keys",
        )
    })?;
    let request = claim_request(context, plan, key, &body)?;
    let claim = match request_claim(context, plan, claims, request).await? {
        ClaimGrant::Send(claim) => claim,
        ClaimGrant::Replay(outcome) => {
            info!(
                context.logger(), "route: stored answer sent";
                "request" => plan.number,
                "service" => plan.service.as_str(),
                "team" => plan.team_name(),
            );
            return replay(outcome);
        }
    };
    match dispatch(context, plan, in_flight, &mut body).await {
        Ok(response) => {
            store_answer(context, in_flight, claims, &claim, response).await
        }
        Err(err) => {
            if err.kind().response().run == RunStatus::NotRun {
                settle(context, in_flight, claims, claim.release()).await;
            }
            Err(err)
        }
    }
}

/// Returns the claim to ask for. The body must have been read completely: its
/// hash tells a repeat from another request with the same key.
fn claim_request(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    key: &str,
    body: &BodySource,
) -> Result<ClaimRequest> {
    let BodySource::Buffered(bytes) = body else {
        return Err(Error::new(
            ErrorKind::TooLarge,
            format!(
                "the body is longer than the {} bytes allowed with an \
                 idempotency key",
                context.options().claim_limit_bytes
            ),
        ));
    };
    let method = plan.head.method.as_str();
    Ok(ClaimRequest::new(
        plan.team.cloned(),
        format!("{}/{key}", plan.service),
        &[method.as_bytes(), plan.path.as_bytes(), bytes],
    ))
}

/// Asks for a claim until the deadline. A claim that is granted later is
/// released by the control thread.
async fn request_claim(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    claims: &ClaimPort,
    request: ClaimRequest,
) -> Result<ClaimGrant> {
    let left_ms = plan.deadline.left_ms(context.now());
    let left = Duration::from_millis(left_ms);
    let claimed = tokio::time::timeout(left, (claims.claim)(request)).await;
    claimed.unwrap_or_else(|_| {
        Err(Error::new(
            ErrorKind::StoreUnavailable,
            "the claim was not confirmed in time; nothing was sent",
        ))
    })
}

/// Reads an answer to its end, stores it with its claim and returns it.
async fn store_answer(
    context: &TrafficContext,
    in_flight: &Rc<InFlightRequest>,
    claims: &ClaimPort,
    claim: &Claim,
    response: Response<BoxBody>,
) -> Result<Response<BoxBody>> {
    let (head, body) = response.into_parts();
    let limit_bytes = context.options().claim_limit_bytes;
    let read = match to_bytes_limited(body, limit_bytes).await {
        Ok(Ok(bytes)) => Some(bytes),
        Ok(Err(err)) => {
            return Err(Error::new(
                ErrorKind::RunnerFailed,
                format!("the answer ended early: {err}"),
            ));
        }
        Err(_) => None,
    };
    let outcome = outcome(&head, read.as_ref());
    settle(context, in_flight, claims, claim.finish(outcome)).await;
    match read {
        Some(bytes) => Ok(head.set_body(BoxBody::new(bytes))),
        None => Err(answer_not_stored(limit_bytes)),
    }
}

/// Returns the outcome to store. Without `body`, only status and content type
/// are stored.
fn outcome(head: &Response<()>, body: Option<&Bytes>) -> ClaimOutcome {
    let content_type = head
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let http_status = head.status().as_u16();
    match body {
        Some(body) => ClaimOutcome::new(http_status, content_type, body),
        None => ClaimOutcome { http_status, content_type, body: None },
    }
}

/// Returns the error for a request that ran but whose answer is longer than
/// `limit_bytes`: the most that is read of a first answer, or the most that is
/// stored for repeats.
fn answer_not_stored(limit_bytes: usize) -> Error {
    Error::new(
        ErrorKind::AnswerNotKept,
        format!(
            "the request ran, but its answer is longer than the \
             {limit_bytes} bytes allowed with an idempotency key"
        ),
    )
}

/// Commits the transaction that ends a claim. Waits for it only for
/// [`SETTLE_WAIT`] and then leaves it to a task in the background, since the
/// caller's answer doesn't depend on it. Until it is committed, a repeat is
/// told that the outcome isn't known, which is safe.
async fn settle(
    context: &TrafficContext,
    in_flight: &Rc<InFlightRequest>,
    claims: &ClaimPort,
    transaction: Option<Transaction>,
) {
    let Some(transaction) = transaction else { return };
    let settling = (claims.settle)(transaction);
    let logger = context.logger().clone();
    let in_flight = Rc::clone(in_flight);
    let task = actix_rt::spawn(async move {
        if let Err(err) = settling.await {
            warn!(
                logger,
                "route: storing an outcome failed; repeats see it as pending";
                "why" => %err
            );
        }
        drop(in_flight);
    });
    drop(tokio::time::timeout(SETTLE_WAIT, task).await);
}

/// Returns the answer for a request that ran before.
fn replay(outcome: ClaimOutcome) -> Result<Response<BoxBody>> {
    let status = StatusCode::from_u16(outcome.http_status).map_err(|err| {
        Error::new(
            ErrorKind::Internal,
            format!("the stored status is invalid: {err}"),
        )
    })?;
    let Some(body) = outcome.body else {
        return Err(answer_not_stored(
            limpet_core::claim::OUTCOME_BODY_LIMIT_BYTES,
        ));
    };
    let mut response = Response::with_body(status, BoxBody::new(body));
    let headers = response.headers_mut();
    headers.insert(
        HeaderName::from_static(REPLAY_HEADER),
        HeaderValue::from_static("true"),
    );
    let content_type = outcome.content_type.and_then(|text| text.parse().ok());
    if let Some(content_type) = content_type {
        headers.insert(CONTENT_TYPE, content_type);
    }
    Ok(response)
}
