//! The body of a request, read completely or streamed.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::{Payload, body::BodySize, error::PayloadError};
use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use limpet_core::{Error, ErrorKind, Result};

/// The body of a caller's request.
pub(crate) enum BodySource {
    /// A body that was read completely, so that it can be sent more than once.
    Buffered(Bytes),
    /// A body that is passed on as it arrives.
    Streamed(StreamedBody),
}

/// A body that is passed on as it arrives, because it is too long to be kept.
pub(crate) struct StreamedBody {
    length: Option<u64>,
    /// What was read before the body was found to be too long.
    first: Option<Bytes>,
    payload: Payload,
    /// Whether a part was passed on, so that the body can't be sent again.
    started: bool,
    /// How many more bytes the caller may send.
    left_bytes: u64,
}

impl BodySource {
    /// Reads a body of up to `replay_limit_bytes` completely; a longer one is
    /// streamed. `length` is the length that the caller declared.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::TooLarge`] if it is known to be longer than `limit_bytes`,
    /// and [`ErrorKind::InvalidRequest`] if the caller's connection breaks.
    pub(crate) async fn read(
        mut payload: Payload,
        length: Option<u64>,
        replay_limit_bytes: usize,
        limit_bytes: u64,
    ) -> Result<BodySource> {
        if length.is_some_and(|length| length > limit_bytes) {
            return Err(too_large(limit_bytes));
        }
        if matches!(payload, Payload::None) {
            return Ok(BodySource::Buffered(Bytes::new()));
        }
        let streamed = |first: BytesMut, payload| {
            let left_bytes = limit_bytes.saturating_sub(first.len() as u64);
            let first = (!first.is_empty()).then(|| first.freeze());
            BodySource::Streamed(StreamedBody {
                length,
                first,
                payload,
                started: false,
                left_bytes,
            })
        };
        let mut read = BytesMut::new();
        if length.is_some_and(|length| length > replay_limit_bytes as u64) {
            return Ok(streamed(read, payload));
        }
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|err| {
                Error::new(ErrorKind::InvalidRequest, err.to_string())
            })?;
            read.extend_from_slice(&chunk);
            if read.len() as u64 > limit_bytes {
                return Err(too_large(limit_bytes));
            }
            if read.len() > replay_limit_bytes {
                return Ok(streamed(read, payload));
            }
        }
        Ok(BodySource::Buffered(read.freeze()))
    }

    /// Returns the framing of the body in the request to a runner.
    pub(crate) fn size(&self) -> BodySize {
        match self {
            BodySource::Buffered(bytes) => BodySize::Sized(bytes.len() as u64),
            BodySource::Streamed(body) => {
                body.length.map_or(BodySize::Stream, BodySize::Sized)
            }
        }
    }

    /// Returns whether the body can still be sent from its start.
    pub(crate) fn is_replayable(&self) -> bool {
        match self {
            BodySource::Buffered(_) => true,
            BodySource::Streamed(body) => !body.started,
        }
    }
}

/// Reads a [`BodySource`] for one attempt.
pub(crate) enum BodyReader<'a> {
    Buffered(Option<Bytes>),
    Streamed(&'a mut StreamedBody),
}

impl<'a> BodyReader<'a> {
    /// Returns a reader at the start of a body, or where an earlier reader of
    /// a streamed body stopped.
    pub(crate) fn new(source: &'a mut BodySource) -> BodyReader<'a> {
        match source {
            BodySource::Buffered(bytes) => BodyReader::Buffered(
                (!bytes.is_empty()).then(|| Bytes::clone(bytes)),
            ),
            BodySource::Streamed(body) => BodyReader::Streamed(body),
        }
    }

    /// Polls for the next chunk, or `None` at the end of the body.
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Bytes, PayloadError>>> {
        match self {
            BodyReader::Buffered(bytes) => Poll::Ready(bytes.take().map(Ok)),
            BodyReader::Streamed(body) => body.poll_chunk(cx),
        }
    }
}

impl StreamedBody {
    fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Bytes, PayloadError>>> {
        self.started = true;
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        let polled = Pin::new(&mut self.payload).poll_next(cx);
        if let Poll::Ready(Some(Ok(chunk))) = &polled {
            let Some(left) = self.left_bytes.checked_sub(chunk.len() as u64)
            else {
                return Poll::Ready(Some(Err(PayloadError::Overflow)));
            };
            self.left_bytes = left;
        }
        polled
    }
}

fn too_large(limit_bytes: u64) -> Error {
    Error::new(
        ErrorKind::TooLarge,
        format!("the body is longer than the {limit_bytes} bytes allowed"),
    )
}
