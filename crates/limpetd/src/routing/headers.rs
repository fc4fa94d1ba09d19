//! The headers that pass through, and those that end at this hop.

use actix_http::{
    RequestHead, Uri, Version,
    header::{
        self, AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST,
        HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
    },
};
use limpet_core::{Error, ErrorKind, Result, config::KeySecret};

/// How many milliseconds the receiver has left to answer.
pub(crate) const TIMEOUT_HEADER: &str = "limpet-timeout-ms";
/// The number of the request at this instance; a runner that echoes it can
/// be trusted with the same connection at once.
pub(crate) const REQUEST_HEADER: &str = "limpet-request";
/// Whether the work ran, in a refusal by a runner or by us.
pub(crate) const RUN_HEADER: &str = "limpet-run";
/// How many requests a runner has under way.
pub(crate) const LOAD_HEADER: &str = "limpet-load";
/// Whether a runner is about to leave.
pub(crate) const LEAVING_HEADER: &str = "limpet-leaving";
/// Marks an answer that was kept from an earlier sending.
pub(crate) const REPLAY_HEADER: &str = "limpet-replay";
/// The caller's name for a request that must run at most once.
pub(crate) const IDEMPOTENCY_HEADER: &str = "idempotency-key";

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName =
    HeaderName::from_static("proxy-connection");

/// Says whether a header ends at this hop, whatever `connection` names.
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

/// Returns the names that the `connection` header declares hop-by-hop.
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
/// Framing is never copied: each side's codec writes its own from the body
/// that it is given, so the two sides can't disagree on where it ends.
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

/// Returns the head of the request that a runner at `address` receives.
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
    // The key is ours: a runner must not be able to use it elsewhere.
    headers.remove(AUTHORIZATION);
    // The interim answer is given by this hop, which then has the body.
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

/// Reads a header that holds a number; `None` where there is none that can
/// be read.
pub(crate) fn get_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Refuses headers that are too long or whose framing could be read in two
/// ways.
///
/// # Errors
///
/// [`ErrorKind::HeadersTooLarge`] and [`ErrorKind::InvalidRequest`].
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
    // The codec refuses these as well; a second look costs nothing and
    // holds for HTTP/2, whose decoder lets them pass.
    if lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0) {
        return Err(Error::new(
            ErrorKind::InvalidRequest,
            "the headers frame the body in two ways",
        ));
    }
    Ok(())
}

/// Reads the key that came with a request, where one did.
///
/// # Errors
///
/// [`ErrorKind::UnknownKey`] where it is not written `Bearer ID:SECRET`.
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
