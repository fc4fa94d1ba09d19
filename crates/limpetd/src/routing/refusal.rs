//! The HTTP answers for refused requests.

use actix_http::{
    Response, StatusCode,
    body::BoxBody,
    header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
};
use limpet_core::Error;
use limpet_wire::ErrorBody;

use super::headers::RUN_HEADER;

/// Returns the HTTP answer for an error. Its body says what was refused,
/// whether anything ran, and when to try again.
pub fn refuse(err: &Error) -> Response<BoxBody> {
    refuse_with(&ErrorBody::from(err), err.kind().response().http_status)
}

/// Returns the HTTP answer for an error body, whose time to try again may have
/// been chosen for this caller.
pub(crate) fn refuse_with(
    body: &ErrorBody,
    http_status: u16,
) -> Response<BoxBody> {
    let status = StatusCode::from_u16(http_status)
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let text = serde_json::to_string(body).unwrap_or_default();
    let mut response = Response::with_body(status, BoxBody::new(text));
    // The HTTP server records it from there for `show refusals`.
    response.extensions_mut().insert(Error::from(body.clone()));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(
        HeaderName::from_static(RUN_HEADER),
        HeaderValue::from_static(body.run.as_str()),
    );
    if let Some(ms) = body.retry_after_ms {
        // The header is in whole seconds; the body has the exact time.
        headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
    }
    response
}
