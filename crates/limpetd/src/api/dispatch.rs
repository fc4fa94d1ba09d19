use actix_http::{
    Method, Request, Response, StatusCode,
    body::BoxBody,
    header::{CONTENT_TYPE, HeaderMap, HeaderValue},
};
use limpet_core::{Error, ErrorKind, JobSpec, Result};

use super::{
    body::read_text,
    context::ThreadContext,
    credential::{verify, verify_submitter},
};
use crate::{
    metrics::Counter,
    traffic::{self, refuse},
};

/// The header that makes a repeated submission the same one.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// The longest idempotency key, in bytes.
const IDEMPOTENCY_LIMIT_BYTES: usize = 200;
/// The start of the paths of requests to services.
const SERVICE_PREFIX: &str = "/services/";

/// Answers one request.
pub(super) async fn dispatch(
    request: Request,
    context: &ThreadContext,
) -> Response<BoxBody> {
    let mut response = if request.path().starts_with(SERVICE_PREFIX) {
        route(request, context).await
    } else {
        answer(request, context).await.unwrap_or_else(|err| refuse(&err))
    };
    if context.api.view.load().leaving {
        // The caller's next request shall go to another instance.
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

async fn route(
    request: Request,
    context: &ThreadContext,
) -> Response<BoxBody> {
    let response = traffic::handle(request, &context.traffic).await;
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

async fn answer(
    request: Request,
    context: &ThreadContext,
) -> Result<Response<BoxBody>> {
    let path = request.path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/jobs") => submit(request, context).await,
        (&Method::POST, "/v1/command") => command(request, context).await,
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

fn health(context: &ThreadContext) -> Result<Response<BoxBody>> {
    if context.api.view.load().leaving {
        return Err(Error::new(
            ErrorKind::Leaving,
            "this instance is leaving",
        ));
    }
    json(StatusCode::OK, &"ready")
}

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
    let token = read_token(&request.head().headers, spec.team.as_str())?;
    let answer = api.control.submit(token, key, spec).await?;
    json(StatusCode::CREATED, &answer)
}

/// Returns the caller's idempotency key, told apart by team.
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
                "{IDEMPOTENCY_HEADER} has 1 to {IDEMPOTENCY_LIMIT_BYTES} \
                 printable bytes"
            ),
        )),
    }
}

async fn command(
    mut request: Request,
    context: &ThreadContext,
) -> Result<Response<BoxBody>> {
    let api = &context.api;
    let asker = verify(request.head(), api)?;
    let payload = request.take_payload();
    let text = read_text(payload, &api.settings.limits).await?;
    let answer = api.control.command(asker, text).await?;
    json(StatusCode::OK, &answer)
}

fn json(
    status: StatusCode,
    body: &impl serde::Serialize,
) -> Result<Response<BoxBody>> {
    let text = serde_json::to_string(body).map_err(|err| {
        Error::new(ErrorKind::Internal, format!("answer not written: {err}"))
    })?;
    let mut response = Response::with_body(status, BoxBody::new(text));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}
