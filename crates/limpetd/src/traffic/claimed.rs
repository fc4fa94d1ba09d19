//! Requests with an idempotency key, which run at most once.

use std::rc::Rc;

use actix_http::{
    Response, StatusCode,
    body::{BoxBody, to_bytes_limited},
    header::{HeaderName, HeaderValue},
};
use limpet_core::{
    Error, ErrorKind, Result, Run,
    routing::{ClaimKey, request_digest},
};
use slog::{info, warn};

use super::{
    ClaimAnswer, ClaimPort, ClaimRequest, StoredAnswer, TrafficContext,
    body_source::BodySource,
    claim::{ClaimCompletion, StoredHeader},
    dispatch::dispatch,
    request_hold::RequestHold,
    request_plan::RequestPlan,
};

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
    key: ClaimKey,
    mut body: BodySource,
) -> Result<Response<BoxBody>> {
    let claims = context.claims().ok_or_else(|| {
        Error::new(ErrorKind::StoreUnavailable, "claims aren't served here")
    })?;
    let BodySource::Whole(bytes) = &body else {
        return Err(Error::new(
            ErrorKind::TooLarge,
            format!(
                "the body is longer than the {} bytes allowed with an \
                 idempotency key",
                context.options().claim_limit_bytes
            ),
        ));
    };
    let digest =
        request_digest(plan.head.method.as_str(), plan.path, bytes);
    let request = ClaimRequest { key: key.clone(), digest: digest.clone() };
    let claimed = (claims.claim)(request).await.map_err(not_sent)?;
    let version = match claimed {
        ClaimAnswer::Granted { version } => version,
        other => return answer_repeat(context, plan, &key, other),
    };
    let answer = dispatch(context, plan, hold, &mut body).await;
    match answer {
        Ok(response) => {
            let claim = Claim { claims, key, version, digest };
            keep_answer(context, claim, response).await
        }
        Err(err) => {
            if err.kind().answer().run == Run::NotRun {
                release(context, claims, key, version).await;
            }
            Err(err)
        }
    }
}

struct Claim<'a> {
    claims: &'a ClaimPort,
    key: ClaimKey,
    version: u64,
    digest: String,
}

/// An unclear claim is no reason to say that the request may have run: it
/// was never sent.
fn not_sent(err: Error) -> Error {
    match err.kind() {
        ErrorKind::StoreUnknown => Error::new(
            ErrorKind::StoreUnavailable,
            format!("the claim is unclear, nothing was sent: {err}"),
        ),
        _ => err,
    }
}

fn answer_repeat(
    context: &TrafficContext,
    plan: &RequestPlan<'_>,
    key: &ClaimKey,
    claimed: ClaimAnswer,
) -> Result<Response<BoxBody>> {
    info!(
        context.logger(), "route: repeat";
        "request" => plan.number,
        "claim" => key.as_str(),
        "found" => match &claimed {
            ClaimAnswer::Granted { .. } => "nothing",
            ClaimAnswer::Pending => "pending",
            ClaimAnswer::Done(_) => "an answer",
            ClaimAnswer::Mismatch => "another request",
        },
    );
    match claimed {
        ClaimAnswer::Done(Some(answer)) => restore(answer),
        ClaimAnswer::Done(None) => Err(not_kept(context)),
        ClaimAnswer::Mismatch => Err(Error::new(
            ErrorKind::ClaimMismatch,
            "the idempotency key was used for another request",
        )),
        ClaimAnswer::Granted { .. } | ClaimAnswer::Pending => Err(Error::new(
            ErrorKind::ClaimPending,
            "the request was sent before and its answer isn't known",
        )),
    }
}

fn not_kept(context: &TrafficContext) -> Error {
    Error::new(
        ErrorKind::AnswerNotKept,
        format!(
            "the request ran, its answer is longer than the {} bytes kept",
            context.options().claim_limit_bytes
        ),
    )
}

async fn keep_answer(
    context: &TrafficContext,
    claim: Claim<'_>,
    response: Response<BoxBody>,
) -> Result<Response<BoxBody>> {
    let (head, body) = response.into_parts();
    let limit = context.options().claim_limit_bytes;
    let read = match to_bytes_limited(body, limit).await {
        Ok(Ok(bytes)) => Some(bytes),
        Ok(Err(err)) => {
            return Err(Error::new(
                ErrorKind::RunnerFailed,
                format!("the answer broke off: {err}"),
            ));
        }
        Err(_) => None,
    };
    let stored = read.as_ref().map(|bytes| StoredAnswer {
        status: head.status().as_u16(),
        headers: store_headers(&head),
        body: bytes.as_ref().into(),
    });
    let completion = ClaimCompletion {
        key: claim.key.clone(),
        version: claim.version,
        digest: claim.digest,
        answer: stored,
    };
    if let Err(err) = (claim.claims.complete)(completion).await {
        // The caller still gets its answer; a repeat will be told that the
        // outcome isn't known, which is safe.
        warn!(
            context.logger(), "route: answer not kept";
            "claim" => claim.key.as_str(), "why" => %err,
        );
    }
    match read {
        Some(bytes) => Ok(head.set_body(BoxBody::new(bytes))),
        None => Err(not_kept(context)),
    }
}

async fn release(
    context: &TrafficContext,
    claims: &ClaimPort,
    key: ClaimKey,
    version: u64,
) {
    if let Err(err) = (claims.release)(key.clone(), version).await {
        warn!(
            context.logger(), "route: claim not released";
            "claim" => key.as_str(), "why" => %err,
        );
    }
}

fn store_headers(head: &Response<()>) -> Vec<StoredHeader> {
    head.headers()
        .iter()
        .filter_map(|(name, value)| {
            Some(StoredHeader {
                name: name.as_str().to_owned(),
                value: value.to_str().ok()?.to_owned(),
            })
        })
        .collect()
}

fn restore(answer: StoredAnswer) -> Result<Response<BoxBody>> {
    let invalid = |what: String| Error::new(ErrorKind::Internal, what);
    let status = StatusCode::from_u16(answer.status)
        .map_err(|err| invalid(format!("status {}: {err}", answer.status)))?;
    let body: Vec<u8> = answer.body.into();
    let mut response = Response::with_body(status, BoxBody::new(body));
    for header in answer.headers {
        let name: HeaderName = header
            .name
            .parse()
            .map_err(|err| invalid(format!("{}: {err}", header.name)))?;
        let value = HeaderValue::from_str(&header.value)
            .map_err(|err| invalid(format!("{}: {err}", header.name)))?;
        response.headers_mut().append(name, value);
    }
    Ok(response)
}
