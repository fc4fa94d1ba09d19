//! The clients' HTTP interface: submits, shows and cancels jobs, and counts
//! the pending jobs of a queue.
//!
//! The host and the longest matching path prefix select the queue; the rest
//! of the path is the job id.

use std::rc::Rc;

use actix_http::{HttpMessage, Request, Response, body::BoxBody};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http::{Method, StatusCode, header};
use limpet_adapter::{
    API_KEY_HEADER, DEADLINE_HEADER, StoreError, decode_submission,
    encode_pending, encode_phase,
};
use limpet_core::TimeMs;
use limpet_workflow::{CellConfig, JobKey, JobPhase, JobRecord, QueueConfig};
use slog::info;

use crate::{
    accept::{Acceptance, accept_job},
    cancel::{Cancellation, cancel_job},
    clock,
    link::{owner_pending, owner_phase},
    metrics::Metrics,
    node::Node,
    progress_row::decode_progress,
    rows::{Lane, progress_row},
    stored_job::read_job,
};

/// The deadline of a request without a deadline header.
const DEFAULT_DEADLINE_MS: u64 = 3_000;
/// The fraction of the client's deadline in which writes for its request are
/// retried.
const DEADLINE_SHARE: f64 = 0.4;
/// The time-out of a call of the store.
const STORE_TIMEOUT_MS: u64 = 700;

/// A permitted request.
struct Call {
    queue: QueueConfig,
    /// The team that the API key belongs to; empty for a public queue.
    team: String,
    /// The path after the queue's prefix: a job id, or empty.
    rest: String,
    /// The time until which writes are retried.
    deadline: TimeMs,
}

/// The answer to a request.
pub struct Answer {
    status: StatusCode,
    body: Vec<u8>,
    /// Why the request was refused, for the log and the metrics; empty if it
    /// was not.
    reason: &'static str,
}

impl Answer {
    fn ok(body: Vec<u8>) -> Answer {
        Answer { status: StatusCode::OK, body, reason: "" }
    }

    /// Returns an answer that refuses a request. The reason is also the value
    /// of a metric's label.
    fn refuse(status: StatusCode, reason: &'static str) -> Answer {
        Answer { status, body: Vec::new(), reason }
    }

    fn unavailable(reason: &'static str) -> Answer {
        Answer::refuse(StatusCode::SERVICE_UNAVAILABLE, reason)
    }
}

/// Answers a client's request, and logs and counts it if it is refused.
pub async fn serve_client(
    node: Rc<Node>,
    request: Request,
) -> Response<BoxBody> {
    node.in_flight.set(node.in_flight.get() + 1);
    let method = request.method().clone();
    let path = request.path().to_owned();
    let answer = answer_client(&node, request).await;
    node.in_flight.set(node.in_flight.get() - 1);
    if !answer.reason.is_empty() {
        node.metrics.count_refused(answer.reason);
        info!(node.log, "request: refused"; "method" => %method,
            "path" => path, "status" => answer.status.as_u16(),
            "reason" => answer.reason,
            "config_age_ms" => node.config_age_ms());
    }
    into_response(&node, answer)
}

/// Returns the HTTP response for an answer. Tells the client when to retry if
/// the service is unavailable.
fn into_response(node: &Node, answer: Answer) -> Response<BoxBody> {
    let mut response = Response::build(answer.status);
    if !answer.body.is_empty() {
        response.insert_header((header::CONTENT_TYPE, "application/json"));
    }
    if matches!(
        answer.status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    ) {
        let after_s = node.retry_after_s().to_string();
        response.insert_header((header::RETRY_AFTER, after_s));
    }
    // The balancer sends the client's next connection to a ready instance.
    if !node.is_ready() {
        response.force_close();
    }
    response.body(Bytes::from(answer.body)).map_into_boxed_body()
}

/// Answers a client's request: finds its queue, checks its API key and carries
/// it out.
async fn answer_client(node: &Rc<Node>, mut request: Request) -> Answer {
    let Some(config) = node.config.borrow().clone() else {
        return Answer::unavailable("no configuration yet");
    };
    let call = match admit(node, &config, &request) {
        Ok(call) => call,
        Err(answer) => return answer,
    };
    if call.rest.is_empty() {
        return match *request.method() {
            Method::GET => count_pending(node, &call).await,
            _ => Answer::refuse(StatusCode::NOT_FOUND, "no job id"),
        };
    }
    let Ok(job) = call.rest.parse::<JobKey>() else {
        return Answer::refuse(StatusCode::NOT_FOUND, "not a job id");
    };
    match *request.method() {
        Method::GET => show_job(node, job).await,
        Method::DELETE => cancel(node, job, call.deadline).await,
        Method::POST | Method::PUT => {
            let limit = config.limits.body_bytes;
            match read_body(&mut request, limit).await {
                Ok(body) => submit(node, job, call, &body).await,
                Err(answer) => answer,
            }
        }
        _ => Answer::refuse(StatusCode::METHOD_NOT_ALLOWED, "method"),
    }
}

/// Finds the queue of a request and checks its API key.
fn admit(
    node: &Node,
    config: &CellConfig,
    request: &Request,
) -> Result<Call, Answer> {
    let text = |name: &str| {
        request.headers().get(name).and_then(|value| value.to_str().ok())
    };
    let host = text("host").unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let Some(queue) = config.route(host, request.path()) else {
        return Err(Answer::refuse(StatusCode::NOT_FOUND, "no such queue"));
    };
    let mut team = String::new();
    if !queue.public {
        if !node.keys_are_fresh() {
            return Err(Answer::unavailable("keys not confirmed"));
        }
        let key = text(API_KEY_HEADER).unwrap_or_default();
        match config.team_of_key(key) {
            Some(holder) => team.clone_from(&holder.name),
            None => {
                return Err(Answer::refuse(
                    StatusCode::UNAUTHORIZED,
                    "unknown key",
                ));
            }
        }
    }
    let deadline_ms = text(DEADLINE_HEADER)
        .and_then(|text| text.parse::<f64>().ok())
        .map_or(DEFAULT_DEADLINE_MS as f64, |ms| ms.clamp(1.0, 60_000.0));
    let granted_ms = (deadline_ms * DEADLINE_SHARE) as u64;
    Ok(Call {
        rest: request.path()[queue.path_prefix.len()..].to_owned(),
        queue: queue.clone(),
        team,
        deadline: clock::now().plus_ms(granted_ms),
    })
}

/// Reads a request body of up to `limit` bytes.
async fn read_body(
    request: &mut Request,
    limit: usize,
) -> Result<Bytes, Answer> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else {
            return Err(Answer::refuse(StatusCode::BAD_REQUEST, "body cut"));
        };
        if body.len() + chunk.len() > limit {
            return Err(Answer::refuse(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body too long",
            ));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Decodes a submission and writes it to the store.
async fn submit(
    node: &Rc<Node>,
    job: JobKey,
    call: Call,
    body: &[u8],
) -> Answer {
    let spec = match decode_submission(body) {
        Ok(spec) => spec,
        Err(err) => {
            info!(node.log, "job: invalid submission"; "job" => %job,
                "reason" => err);
            return Answer::refuse(StatusCode::BAD_REQUEST, "bad job");
        }
    };
    let record = JobRecord {
        queue: call.queue.name,
        policy: call.queue.policy,
        team: call.team,
        accepted_unix_ms: clock::unix_ms(),
        submission: rand::random(),
        spec,
    };
    let began = clock::now();
    let acceptance = accept_job(node, job, &record, call.deadline).await;
    let took_ms = clock::now().ms_since(began);
    node.metrics.submission.record_ms(took_ms);
    info!(node.log, "job: submitted"; "job" => %job,
        "queue" => &record.queue, "outcome" => ?acceptance,
        "took_ms" => took_ms);
    match acceptance {
        Acceptance::Accepted | Acceptance::Known => {
            Metrics::count(&node.metrics.accepted);
            Answer::ok(Vec::new())
        }
        Acceptance::Refused => Answer::unavailable("store refused"),
        Acceptance::Uncertain => {
            Answer::refuse(StatusCode::GATEWAY_TIMEOUT, "store silent")
        }
    }
}

/// Answers with the phase of a job, from the owner or else from the store.
async fn show_job(node: &Node, job: JobKey) -> Answer {
    let stored = match owner_phase(node, job).await {
        Some(Some(phase)) => return Answer::ok(encode_phase(phase)),
        // A job that the owner hasn't seen yet has no progress.
        Some(None) => accepted_phase(node, job).await,
        None => stored_phase(node, job).await,
    };
    match stored {
        Ok(Some(phase)) => Answer::ok(encode_phase(phase)),
        Ok(None) => Answer::refuse(StatusCode::GONE, "no such job"),
        Err(_) => Answer::unavailable("neither owner nor store"),
    }
}

/// Reads the phase of a job from the store; `None` if there is no such job.
async fn stored_phase(
    node: &Node,
    job: JobKey,
) -> Result<Option<JobPhase>, StoreError> {
    let lanes = Lane::all().map(|lane| async move {
        let row = progress_row(lane, job);
        node.store.read_row(&row, STORE_TIMEOUT_MS).await
    });
    let rows = futures::future::try_join_all(lanes).await?;
    let records = rows
        .iter()
        .filter_map(|row| decode_progress(row.value.as_deref()?))
        .collect::<Vec<_>>();
    // The job's row is read last: progress that was read is of it or of an
    // earlier submission, which its version tells.
    let stored = read_job(node, job, STORE_TIMEOUT_MS).await?;
    Ok(stored.phase(&records))
}

/// Reads the phase of a job without progress from the store; `None` if there
/// is no such job.
async fn accepted_phase(
    node: &Node,
    job: JobKey,
) -> Result<Option<JobPhase>, StoreError> {
    let stored = read_job(node, job, STORE_TIMEOUT_MS).await?;
    Ok(stored.phase(&[]))
}

/// Answers with the number of jobs of a queue of which no task has started.
/// Only the owner knows it.
async fn count_pending(node: &Node, call: &Call) -> Answer {
    match owner_pending(node, &call.queue.name).await {
        Some(pending) => Answer::ok(encode_pending(pending as usize)),
        None => Answer::unavailable("no owner"),
    }
}

/// Cancels a job.
async fn cancel(node: &Node, job: JobKey, deadline: TimeMs) -> Answer {
    let cancellation = cancel_job(node, job, deadline).await;
    info!(node.log, "job: cancel requested"; "job" => %job,
        "outcome" => ?cancellation);
    match cancellation {
        Cancellation::Cancelled => Answer::ok(Vec::new()),
        Cancellation::NoJob => Answer::refuse(StatusCode::GONE, "no such job"),
        Cancellation::Refused => Answer::unavailable("store refused"),
        Cancellation::Uncertain => {
            Answer::refuse(StatusCode::GATEWAY_TIMEOUT, "store silent")
        }
    }
}
