//! Requests with an idempotency key, which run at most once.

use std::{rc::Rc, time::Duration};

use actix_http::{
    Response, StatusCode,
    body::{BoxBody, to_bytes_limited},
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use bytes::Bytes;
use limpet_core::{
    Error, ErrorKind, Result, Run,
    claim::{Claim, ClaimOutcome, ClaimRequest},
    table::Transaction,
};
use slog::{info, warn};

use super::{
    ClaimGrant, ClaimPort, TrafficContext,
    body_source::BodySource,
    dispatch::dispatch,
    headers::{IDEMPOTENCY_HEADER, REPLAY_HEADER},
    request_hold::RequestHold,
    request_plan::RequestPlan,
};

/// The longest idempotency key, in characters.
const KEY_LIMIT: usize = 128;

/// How long an answer waits for its claim to end, so that a caller's repeat
/// right after it usually finds the outcome.
const SETTLE_WAIT: Duration = Duration::from_millis(250);

/// Reads the caller's name for a request.
///
/// # Errors
///
/// [`ErrorKind::InvalidRequest`] where it can't be read, for a key that is
/// ignored would let the request run twice.
pub(crate) fn read_key(value: &HeaderValue) -> Result<String> {
    let text = value.to_str().unwrap_or("").trim().trim_matches('"');
    let length = text.chars().count();
    if !(1..=KEY_LIMIT).contains(&length) {
        return Err(Error::new(
            ErrorKind::InvalidRequest,
            format!(
                "{IDEMPOTENCY_HEADER} has {length} readable characters, 1 \
                 to {KEY_LIMIT} are allowed"
            ),
        ));
    }
    Ok(text.to_owned())
}

/// Sends a request under a claim, or answers it from an earlier one.
///
/// # Errors
///
/// `ClaimPending` and `ClaimMismatch`, those of the table, and those of
/// [`dispatch`]. Only where the request certainly did not run is its key
/// free again.
pub(crate) async fn dispatch_claimed(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    hold: &Rc<RequestHold>,
    key: &str,
    mut body: BodySource,
) -> Result<Response<BoxBody>> {
    let claims = context.claims().ok_or_else(|| {
        Error::new(ErrorKind::StoreUnavailable, "claims aren't served here")
    })?;
    let request = claim_request(context, plan, key, &body)?;
    let claim = match claim_in_time(context, plan, claims, request).await? {
        ClaimGrant::Send(claim) => claim,
        ClaimGrant::Replay(outcome) => {
            info!(
                context.logger(), "route: replayed";
                "request" => plan.number,
                "service" => plan.service.as_str(),
                "team" => plan.team_name(),
            );
            return replay(outcome);
        }
    };
    match dispatch(context, plan, hold, &mut body).await {
        Ok(response) => {
            keep_answer(context, hold, claims, &claim, response).await
        }
        Err(err) => {
            if err.kind().answer().run == Run::NotRun {
                settle(context, hold, claims, claim.release()).await;
            }
            Err(err)
        }
    }
}

fn claim_request(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    key: &str,
    body: &BodySource,
) -> Result<ClaimRequest> {
    let BodySource::Whole(bytes) = body else {
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

/// Claims before the deadline. A claim that is granted later is given back
/// by its server.
async fn claim_in_time(
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

async fn keep_answer(
    context: &TrafficContext,
    hold: &Rc<RequestHold>,
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
                format!("the answer broke off: {err}"),
            ));
        }
        Err(_) => None,
    };
    let outcome = outcome(&head, read.as_ref());
    settle(context, hold, claims, claim.finish(outcome)).await;
    match read {
        Some(bytes) => Ok(head.set_body(BoxBody::new(bytes))),
        None => Err(not_kept(limit_bytes)),
    }
}

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

fn not_kept(limit_bytes: usize) -> Error {
    Error::new(
        ErrorKind::AnswerNotKept,
        format!(
            "the request ran, but its answer is too long: {limit_bytes} \
             bytes are passed on, fewer are kept for a repeat"
        ),
    )
}

/// Ends a claim, in the background where the table is slow: the caller's
/// answer doesn't depend on it. Until it has ended, a repeat is told that
/// the outcome isn't known, which is safe.
async fn settle(
    context: &TrafficContext,
    hold: &Rc<RequestHold>,
    claims: &ClaimPort,
    transaction: Option<Transaction>,
) {
    let Some(transaction) = transaction else { return };
    let settling = (claims.settle)(transaction);
    let logger = context.logger().clone();
    let hold = Rc::clone(hold);
    let task = actix_rt::spawn(async move {
        if let Err(err) = settling.await {
            warn!(logger, "route: claim not settled"; "why" => %err);
        }
        drop(hold);
    });
    drop(tokio::time::timeout(SETTLE_WAIT, task).await);
}

fn replay(outcome: ClaimOutcome) -> Result<Response<BoxBody>> {
    let status = StatusCode::from_u16(outcome.http_status).map_err(|err| {
        Error::new(ErrorKind::Internal, format!("kept status: {err}"))
    })?;
    let Some(body) = outcome.body else {
        return Err(not_kept(limpet_core::claim::OUTCOME_BODY_LIMIT_BYTES));
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
