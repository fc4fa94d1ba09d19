use actix_http::{
    HttpMessage, Request, Response, body::BoxBody, header::CONTENT_LENGTH,
};
use limpet_core::{Error, ErrorKind, Result, config::ServiceConfig};
use slog::info;

use super::{
    TrafficContext,
    attempt::{RequestPlan, attempt},
    body_source::BodySource,
    headers::{TIMEOUT_HEADER, check_headers, get_number, read_key},
    refusal::refuse,
    target::Target,
};
use crate::View;

/// The team of requests that came without a key, as logs show it.
const OPEN_TEAM: &str = "-";

/// Answers one request to a service.
///
/// The answer is the runner's own, whole, or a refusal that says whether
/// the request ran. A body that breaks off on its way is passed on as a
/// broken connection and never as a shorter body.
pub async fn handle(
    request: Request,
    context: &TrafficContext,
) -> Response<BoxBody> {
    match route(request, context).await {
        Ok(response) => response,
        Err(err) => {
            info!(context.logger(), "route: refused"; "why" => %err);
            refuse(&err)
        }
    }
}

async fn route(
    mut request: Request,
    context: &TrafficContext,
) -> Result<Response<BoxBody>> {
    let view = context.view();
    let payload = request.take_payload();
    let head = request.head();
    check_headers(&head.headers, context.options().headers_limit_bytes)?;
    let target = Target::parse(&head.uri)?;
    let service =
        view.config.services.get(&target.service).ok_or_else(|| {
            Error::new(
                ErrorKind::UnknownService,
                format!("no service `{}`", target.service),
            )
        })?;
    let team = verify(&view, service, request.headers(), context)?;
    let asked_ms = get_number(&head.headers, TIMEOUT_HEADER);
    let timeout_ms = asked_ms
        .unwrap_or(service.deadline_ms)
        .min(context.options().deadline_limit_ms);
    let plan = RequestPlan {
        head,
        service: &target.service,
        team: &team,
        path: &target.path,
        number: context.next_request(),
        deadline: context.now().plus_ms(timeout_ms),
        whole_by_deadline: asked_ms.is_some(),
    };
    let mut body = BodySource::read(
        payload,
        get_number(&head.headers, CONTENT_LENGTH.as_str()),
        context.options().replay_limit_bytes,
        context.options().body_limit_bytes,
    )
    .await?;
    let endpoint = context.choose(&view, &target.service)?;
    let answer = attempt(context, &plan, &endpoint, &mut body).await;
    let outcome = match &answer {
        Ok(response) => response.status().as_str().to_owned(),
        Err(err) => err.kind().answer().word.to_owned(),
    };
    info!(
        context.logger(), "route: sent";
        "request" => plan.number,
        "service" => plan.service.as_str(),
        "team" => plan.team,
        "runner" => endpoint.as_str(),
        "why" => "first with room",
        "attempt" => 1,
        "outcome" => outcome,
    );
    answer
}

/// Returns the team that a request is accepted for.
fn verify(
    view: &View,
    service: &ServiceConfig,
    headers: &actix_http::header::HeaderMap,
    context: &TrafficContext,
) -> Result<String> {
    let Some(key) = read_key(headers)? else {
        if service.open {
            return Ok(OPEN_TEAM.to_owned());
        }
        return Err(Error::new(
            ErrorKind::UnknownKey,
            "this service takes requests only with a key",
        ));
    };
    let record = view.verify_key(&key, context.now(), context.wall_now())?;
    Ok(record
        .team
        .as_ref()
        .map_or(OPEN_TEAM.to_owned(), |team| team.as_str().to_owned()))
}
