//! Answers, whole and broken.

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

/// The pause between the pieces of an answer that comes in pieces.
const PIECE_PAUSE_MS: u64 = 20;
/// The bytes that a cut answer lacks or a wrong length adds.
const MISSING_BYTES: u64 = 10;
/// The bytes that a trickling answer starts with, one by one.
const TRICKLE_BYTES: usize = 1_000;

/// Returns the body that belongs to a request: its id, repeated up to
/// `bytes`, and at least once.
pub fn expected_body(request_id: &str, bytes: usize) -> Bytes {
    let unit = format!("{request_id}\n");
    let count = bytes.div_ceil(unit.len()).max(1);
    let mut body = unit.repeat(count);
    body.truncate(bytes.max(unit.len()));
    Bytes::from(body)
}

/// Returns a whole answer.
pub(super) fn whole(body: Bytes) -> Response<BoxBody> {
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

/// Returns an answer that names a longer body than it has.
pub(super) fn wrong_length(body: Bytes) -> Response<BoxBody> {
    let length = body.len() as u64 + MISSING_BYTES;
    let pieces = stream::once(async move { Ok(body) });
    raw(length, pieces.boxed())
}

/// Returns an answer with a length whose connection closes before its end.
pub(super) fn cut_short(body: Bytes) -> Response<BoxBody> {
    let length = body.len() as u64 + MISSING_BYTES;
    let pieces = broken_off(body);
    Response::with_body(
        StatusCode::OK,
        BoxBody::new(SizedStream::new(length, pieces)),
    )
}

/// Returns an answer in chunks whose connection closes before the last one.
pub(super) fn cut_at_chunk(body: Bytes) -> Response<BoxBody> {
    let pieces = broken_off(body);
    Response::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(pieces)))
}

/// Returns an answer that comes a byte at a time.
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

/// A body that is sent, and then an error, which closes the connection.
fn broken_off(body: Bytes) -> BoxStream<'static, io::Result<Bytes>> {
    let error = stream::once(async {
        // The first part leaves on its own before the connection closes.
        sleep(Duration::from_millis(PIECE_PAUSE_MS)).await;
        Err(io::Error::other("cut on purpose"))
    });
    stream::once(async move { Ok(body) }).chain(error).boxed()
}

/// Returns an answer whose bytes are written as they are below a head that
/// names `length`.
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
