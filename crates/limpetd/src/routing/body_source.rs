use std::{
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::{Payload, body::BodySize, error::PayloadError};
use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use limpet_core::{Error, ErrorKind, Result};

/// The body of a caller's request, on its way to a runner.
pub(crate) enum BodySource {
    /// Read whole, so it can be sent more than once.
    Whole(Bytes),
    /// Passed on as it arrives.
    Streamed(StreamedBody),
}

/// A body that is passed on as it arrives, with what was read of it before
/// it was found to be long.
pub(crate) struct StreamedBody {
    length: Option<u64>,
    first: Option<Bytes>,
    payload: Payload,
    started: bool,
    left_bytes: u64,
}

impl BodySource {
    /// Reads a body up to `replay_limit_bytes`; a longer one is streamed.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::TooLarge`] over `limit_bytes`, and
    /// [`ErrorKind::InvalidRequest`] where the caller broke off.
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
            return Ok(BodySource::Whole(Bytes::new()));
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
        Ok(BodySource::Whole(read.freeze()))
    }

    /// Returns the framing that a runner is told.
    pub(crate) fn size(&self) -> BodySize {
        match self {
            BodySource::Whole(bytes) => BodySize::Sized(bytes.len() as u64),
            BodySource::Streamed(body) => {
                body.length.map_or(BodySize::Stream, BodySize::Sized)
            }
        }
    }

    /// Says whether the body can still be sent from its start.
    pub(crate) fn is_replayable(&self) -> bool {
        match self {
            BodySource::Whole(_) => true,
            BodySource::Streamed(body) => !body.started,
        }
    }
}

/// One sending of a [`BodySource`].
pub(crate) enum BodyReader<'a> {
    Whole(Option<Bytes>),
    Streamed(&'a mut StreamedBody),
}

impl<'a> BodyReader<'a> {
    /// Starts to send a body.
    pub(crate) fn new(source: &'a mut BodySource) -> BodyReader<'a> {
        match source {
            BodySource::Whole(bytes) => BodyReader::Whole(
                (!bytes.is_empty()).then(|| Bytes::clone(bytes)),
            ),
            BodySource::Streamed(body) => BodyReader::Streamed(body),
        }
    }

    /// Returns the next piece.
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Bytes, PayloadError>>> {
        match self {
            BodyReader::Whole(bytes) => Poll::Ready(bytes.take().map(Ok)),
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
