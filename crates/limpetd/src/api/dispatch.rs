//! Answers HTTP requests by method and path.

use actix_http::{
    Method, Request, Response, StatusCode,
    body::BoxBody,
    header::{
        AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue,
    },
};
use limpet_core::{Error, ErrorKind, JobSpec, Result, Revision};
use limpet_wire::CommandAnswer;

use super::{
    body::read_text,
    context::ThreadContext,
    credential::{parse_key, verify, verify_submitter},
};
use crate::{
    metrics::Counter,
    refusals::RefusedRequest,
    routing::{self, refuse},
};

/// The header with the key by which a repeated submission is recognised.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// The header of a submission that is to be checked but not accepted.
const DRY_RUN_HEADER: &str = "limpet-dry-run";
/// The header with the configuration's revision at which alone a job is to be
/// accepted.
const IF_REVISION_HEADER: &str = "limpet-if-revision";
/// The longest idempotency key, in bytes.
const IDEMPOTENCY_LIMIT_BYTES: usize = 200;
/// Tables of at least this many rows are serialised on another thread.
const LARGE_TABLE_ROWS: usize = 1_000;
/// The header with the id of a refusal, for `why refusal`.
const REFUSAL_HEADER: &str = "limpet-refusal";
/// The prefix of the paths of requests to services.
const SERVICE_PREFIX: &str = "/services/";

/// Answers one request, and records it if it is refused.
pub(super) async fn dispatch(
    request: Request,
    context: &ThreadContext,
) -> Response<BoxBody> {
    let refused = RefusedHead::from_request(&request);
    let mut response = if request.path().starts_with(SERVICE_PREFIX) {
        route(request, context).await
    } else {
        answer(request, context).await.unwrap_or_else(|err| refuse(&err))
    };
    record_refusal(&mut response, refused, context);
    if context.api.view.load().leaving {
        // The caller must open its next connection to another instance.
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

/// What to record of a request if it is refused.
struct RefusedHead {
    authorization: Option<HeaderValue>,
    method: Method,
    path: String,
}

impl RefusedHead {
    fn from_request(request: &Request) -> RefusedHead {
        RefusedHead {
            authorization: request.head().headers.get(AUTHORIZATION).cloned(),
            method: request.method().clone(),
            path: request.path().to_owned(),
        }
    }
}

/// Records a refusal and adds its id to the response.
fn record_refusal(
    response: &mut Response<BoxBody>,
    head: RefusedHead,
    context: &ThreadContext,
) {
    let api = &context.api;
    let Some(err) = response.extensions().get::<Error>().cloned() else {
        return;
    };
    let command = response
        .extensions_mut()
        .remove::<RefusedCommand>()
        .map(|command| command.0);
    // A key with a wrong secret must not be attributed to a team.
    let key = head.authorization.and_then(|value| parse_key(&value).ok());
    let team = key.as_ref().and_then(|key| {
        let view = api.view.load();
        let record = view.config.keys.get(key.id())?;
        key.matches(record).then(|| record.team.clone()).flatten()
    });
    let request = RefusedRequest {
        key: key.map(|key| key.id().clone()),
        team,
        description: command
            .unwrap_or_else(|| format!("{} {}", head.method, head.path)),
    };
    let id = api.refusals.add(&err, request, api.wall_clock.now());
    if let Ok(value) = HeaderValue::from_str(&id) {
        let name = HeaderName::from_static(REFUSAL_HEADER);
        response.headers_mut().insert(name, value);
    }
}

/// Answers a request to a service.
async fn route(
    request: Request,
    context: &ThreadContext,
) -> Response<BoxBody> {
    let response = routing::handle(request, &context.traffic).await;
    let refused = response.headers().contains_key("limpet-run");
    context.api.metrics.add(
        if refused {
            Counter::RequestsRefused
        } else {
            Counter::RequestsRouted
        },
        1,
    );
    response
}

/// Answers a request for a job, a command, the metrics or the health check.
async fn answer(
    request: Request,
    context: &ThreadContext,
) -> Result<Response<BoxBody>> {
    let path = request.path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/jobs") => submit(request, context).await,
        (&Method::POST, "/v1/command") => Ok(command(request, context).await),
        (&Method::GET, "/v1/metrics") => {
            json(StatusCode::OK, &context.api.metrics.to_map())
        }
        (&Method::GET, "/v1/health") => health(context),
        _ => Err(Error::new(
            ErrorKind::NotFound,
            format!("nothing answers {} {path}", request.method()),
        )),
    }
}

/// Answers the health check of the load balancer.
fn health(context: &ThreadContext) -> Result<Response<BoxBody>> {
    if context.api.view.load().leaving {
        return Err(Error::new(
            ErrorKind::Leaving,
            "this instance is leaving",
        ));
    }
    json(StatusCode::OK, &"ready")
}

/// Submits a job, or checks it for a dry run.
async fn submit(
    mut request: Request,
    context: &ThreadContext,
) -> Result<Response<BoxBody>> {
    let api = &context.api;
    let payload = request.take_payload();
    let text = read_text(payload, &api.settings.limits).await?;
    let spec: JobSpec = toml::from_str(&text)
        .map_err(|err| Error::new(ErrorKind::InvalidJob, err.to_string()))?;
    let open = {
        let view = api.view.load();
        let queue = view.config.queues.get(&spec.queue);
        queue.is_some_and(|queue| queue.open)
    };
    let key = verify_submitter(request.head(), api, &spec.team, open)?;
    let headers = &request.head().headers;
    if let Some(value) = headers.get(IF_REVISION_HEADER) {
        check_revision(value, api.view.load().config.revision)?;
    }
    if headers.contains_key(DRY_RUN_HEADER) {
        return json(StatusCode::OK, &api.control.check_job(spec).await?);
    }
    let token = read_token(&request.head().headers, spec.team.as_str())?;
    let answer = api.control.submit(token, key, spec).await?;
    json(StatusCode::CREATED, &answer)
}

/// Refuses a submission for another revision than the one in force.
fn check_revision(wanted: &HeaderValue, revision: Revision) -> Result<()> {
    let wanted = wanted.to_str().unwrap_or_default();
    if wanted.parse::<Revision>()? == revision {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::Conflict,
        format!("the revision is {revision}, the request names {wanted}"),
    ))
}

/// Returns the token for the caller's idempotency key. It includes the team,
/// so that teams can't collide.
fn read_token(headers: &HeaderMap, team: &str) -> Result<Option<String>> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if (1..=IDEMPOTENCY_LIMIT_BYTES).contains(&text.len()) => {
            Ok(Some(format!("caller/{team}/{text}")))
        }
        _ => Err(Error::new(
            ErrorKind::InvalidRequest,
            format!(
                "{IDEMPOTENCY_HEADER} must have 1 to \
                 {IDEMPOTENCY_LIMIT_BYTES} printable bytes"
            ),
        )),
    }
}

/// The text of a refused command, passed on in the response's extensions.
struct RefusedCommand(String);

/// Carries out a command.
async fn command(
    mut request: Request,
    context: &ThreadContext,
) -> Response<BoxBody> {
    let api = &context.api;
    let payload = request.take_payload();
    let verified = verify(request.head(), api);
    let text = match read_text(payload, &api.settings.limits).await {
        Ok(text) => text,
        Err(err) => return refuse(&err),
    };
    let answer = async {
        let answer = api.control.command(verified?, text.clone()).await?;
        table_response(answer).await
    };
    answer.await.unwrap_or_else(|err| {
        let mut response = refuse(&err);
        response.extensions_mut().insert(RefusedCommand(text));
        response
    })
}

/// Returns the response with the answer to a command. A large table is
/// serialised on another thread, so that other requests of this one aren't
/// delayed.
async fn table_response(answer: CommandAnswer) -> Result<Response<BoxBody>> {
    if answer.rows.len() < LARGE_TABLE_ROWS {
        return json(StatusCode::OK, &answer);
    }
    let write = move || serde_json::to_string(&answer);
    let text = actix_rt::task::spawn_blocking(write)
        .await
        .map_err(|err| Error::new(ErrorKind::Internal, err.to_string()))?;
    json_text(StatusCode::OK, text)
}

fn json(
    status: StatusCode,
    body: &impl serde::Serialize,
) -> Result<Response<BoxBody>> {
    json_text(status, serde_json::to_string(body))
}

fn json_text(
    status: StatusCode,
    text: serde_json::Result<String>,
) -> Result<Response<BoxBody>> {
    let text = text.map_err(|err| {
        Error::new(ErrorKind::Internal, format!("answer not written: {err}"))
    })?;
    let mut response = Response::with_body(status, BoxBody::new(text));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}
