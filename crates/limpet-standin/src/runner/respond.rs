//! Builds complete and faulty answers.

use std::{io, time::Duration};

use actix_http::{
    Response, StatusCode,
    body::{BodyStream, BoxBody, SizedStream},
    header::{CONTENT_LENGTH, HeaderValue},
};
use actix_rt::time::sleep;
use bytes::Bytes;
use futures::{
    StreamExt,
    stream::{self, BoxStream},
};

/// The pause between two pieces of an answer, and before its connection is
/// closed on purpose.
const PIECE_PAUSE_MS: u64 = 20;
/// How far the content length of a faulty answer exceeds its body.
const MISSING_BYTES: u64 = 10;
/// The most bytes of a trickled answer that are sent.
const TRICKLE_BYTES: usize = 1_000;

/// Returns the body of the answer to a request without a body: a line with its
/// id, repeated and cut at `bytes`, but at least once.
pub fn expected_body(request_id: &str, bytes: usize) -> Bytes {
    let unit = format!("{request_id}\n");
    let count = bytes.div_ceil(unit.len()).max(1);
    let mut body = unit.repeat(count);
    body.truncate(bytes.max(unit.len()));
    Bytes::from(body)
}

/// Returns a complete answer.
pub(super) fn complete(body: Bytes) -> Response<BoxBody> {
    Response::with_body(StatusCode::OK, BoxBody::new(body))
}

/// Returns an answer without a body.
pub(super) fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(()))
}

/// Returns an answer that is sent twice on one connection.
pub(super) fn twice(body: Bytes) -> Response<BoxBody> {
    let length = body.len();
    let again = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    let pieces = vec![body.clone(), Bytes::from(again), body];
    raw(length as u64, stream::iter(pieces).map(Ok).boxed())
}

/// Returns an answer whose content length is longer than its body.
pub(super) fn wrong_length(body: Bytes) -> Response<BoxBody> {
    let length = body.len() as u64 + MISSING_BYTES;
    let pieces = stream::once(async move { Ok(body) });
    raw(length, pieces.boxed())
}

/// Returns an answer with a content length whose connection closes before the
/// end of the body.
pub(super) fn cut_short(body: Bytes) -> Response<BoxBody> {
    let length = body.len() as u64 + MISSING_BYTES;
    let pieces = body_then_error(body);
    Response::with_body(
        StatusCode::OK,
        BoxBody::new(SizedStream::new(length, pieces)),
    )
}

/// Returns an answer in chunks whose connection closes before the last one.
pub(super) fn cut_at_chunk(body: Bytes) -> Response<BoxBody> {
    let pieces = body_then_error(body);
    Response::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(pieces)))
}

/// Returns an answer that is sent a byte at a time.
pub(super) fn trickle(body: Bytes) -> Response<BoxBody> {
    let length = body.len() as u64;
    let bytes = body.into_iter().take(TRICKLE_BYTES);
    let pieces = stream::iter(bytes).then(|byte| async move {
        sleep(Duration::from_millis(PIECE_PAUSE_MS)).await;
        io::Result::Ok(Bytes::copy_from_slice(&[byte]))
    });
    Response::with_body(
        StatusCode::OK,
        BoxBody::new(SizedStream::new(length, Box::pin(pieces))),
    )
}

/// Returns a stream of the body followed by an error, which closes the
/// connection.
fn body_then_error(body: Bytes) -> BoxStream<'static, io::Result<Bytes>> {
    let error = stream::once(async {
        // Lets the body leave before the connection closes.
        sleep(Duration::from_millis(PIECE_PAUSE_MS)).await;
        Err(io::Error::other("injected fault: answer cut off"))
    });
    stream::once(async move { Ok(body) }).chain(error).boxed()
}

/// Returns an answer whose pieces are written unframed after a head with the
/// content length `length`.
fn raw(
    length: u64,
    pieces: BoxStream<'static, io::Result<Bytes>>,
) -> Response<BoxBody> {
    let body = BoxBody::new(BodyStream::new(pieces));
    let mut response = Response::with_body(StatusCode::OK, body);
    response.head_mut().no_chunking(true);
    response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    response
}
