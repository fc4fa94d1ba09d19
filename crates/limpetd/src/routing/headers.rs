//! Headers: the names used by this proxy, which headers are forwarded, and
//! checks of those that callers send.

use actix_http::{
    RequestHead, Uri, Version,
    header::{
        self, AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST,
        HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
    },
};
use limpet_core::{Error, ErrorKind, Result, config::KeySecret};

/// The milliseconds that the receiver has left to answer.
pub(crate) const TIMEOUT_HEADER: &str = "limpet-timeout-ms";
/// The number of the request at a traffic thread of this instance. If a runner
/// echoes it, its connection can be reused at once.
pub(crate) const REQUEST_HEADER: &str = "limpet-request";
/// Whether the request ran, in a refusal by a runner or by this instance.
pub(crate) const RUN_HEADER: &str = "limpet-run";
/// The number of requests that a runner is working on.
pub(crate) const LOAD_HEADER: &str = "limpet-load";
/// Present in an answer if its runner is about to leave.
pub(crate) const LEAVING_HEADER: &str = "limpet-leaving";
/// Marks an answer that was stored when the request ran before.
pub(crate) const REPLAY_HEADER: &str = "limpet-replay";
/// The caller's key for a request that must run at most once.
pub(crate) const IDEMPOTENCY_HEADER: &str = "idempotency-key";

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName =
    HeaderName::from_static("proxy-connection");

/// Returns whether a header is always hop-by-hop and so never forwarded.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    *name == CONNECTION
        || *name == KEEP_ALIVE
        || *name == PROXY_CONNECTION
        || *name == TRANSFER_ENCODING
        || *name == header::TE
        || *name == header::TRAILER
        || *name == header::UPGRADE
        || *name == header::PROXY_AUTHENTICATE
        || *name == header::PROXY_AUTHORIZATION
}

/// Returns the names that the `connection` header declares as hop-by-hop.
fn declared_hop_by_hop(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Copies the end-to-end headers of `from` to `to`.
///
/// Headers that frame the body are never copied: each side's codec writes its
/// own for the body that it is given, so that caller and runner can't disagree
/// on where the body ends.
pub(crate) fn copy_end_to_end(from: &HeaderMap, to: &mut HeaderMap) {
    let declared = declared_hop_by_hop(from);
    for (name, value) in from.iter() {
        let skip = is_hop_by_hop(name)
            || *name == CONTENT_LENGTH
            || declared.contains(name);
        if !skip {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Returns the head of a request as the runner at `address` receives it.
pub(crate) fn forwarded_head(
    head: &RequestHead,
    uri: Uri,
    address: &str,
) -> RequestHead {
    let mut forwarded = RequestHead::default();
    forwarded.method = head.method.clone();
    forwarded.uri = uri;
    forwarded.version = Version::HTTP_11;
    copy_end_to_end(&head.headers, &mut forwarded.headers);
    let headers = &mut forwarded.headers;
    // The key is meant for this cell: a runner must not be able to use it.
    headers.remove(AUTHORIZATION);
    // This hop sends the interim answer itself before it reads the body.
    headers.remove(EXPECT);
    if let Some(host) = head.headers.get(HOST) {
        let forwarded_host = HeaderName::from_static("x-forwarded-host");
        headers.insert(forwarded_host, host.clone());
    }
    if let Ok(host) = HeaderValue::from_str(address) {
        headers.insert(HOST, host);
    }
    forwarded
}

/// Sets a header to a number.
pub(crate) fn set_number(
    headers: &mut HeaderMap,
    name: &'static str,
    number: u64,
) {
    headers.insert(HeaderName::from_static(name), HeaderValue::from(number));
}

/// Returns the number in a header, or `None` if there is no such header or it
/// isn't a number.
pub(crate) fn get_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Checks the size of the headers and that they frame the body in one way
/// only.
///
/// # Errors
///
/// [`ErrorKind::HeadersTooLarge`] if names and values together are longer than
/// `limit_bytes`, and [`ErrorKind::InvalidRequest`] if the end of the body
/// would be ambiguous.
pub(crate) fn check_headers(
    headers: &HeaderMap,
    limit_bytes: usize,
) -> Result<()> {
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if bytes > limit_bytes {
        return Err(Error::new(
            ErrorKind::HeadersTooLarge,
            format!("headers have {bytes} bytes, {limit_bytes} are allowed"),
        ));
    }
    let lengths = headers.get_all(CONTENT_LENGTH).count();
    let encodings = headers.get_all(TRANSFER_ENCODING).count();
    // The HTTP/1 codec refuses these as well, but the HTTP/2 decoder doesn't.
    if lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0) {
        return Err(Error::new(
            ErrorKind::InvalidRequest,
            "the headers frame the body in two ways",
        ));
    }
    Ok(())
}

/// Returns the key in the `authorization` header, or `None` without one.
///
/// # Errors
///
/// [`ErrorKind::UnknownKey`] if it is not written `Bearer ID:SECRET`.
pub(crate) fn read_key(headers: &HeaderMap) -> Result<Option<KeySecret>> {
    let Some(value) = headers.get(AUTHORIZATION) else {
        return Ok(None);
    };
    let invalid = || {
        Error::new(
            ErrorKind::UnknownKey,
            "authorization is not written `Bearer ID:SECRET`",
        )
    };
    let text = value.to_str().map_err(|_| invalid())?;
    let key = text.strip_prefix("Bearer ").ok_or_else(invalid)?;
    KeySecret::parse(key).map(Some)
}
