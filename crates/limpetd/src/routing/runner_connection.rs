//! HTTP/1 connections to runners.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use actix_codec::{Decoder, Encoder, Framed};
use actix_http::{
    RequestHead, RequestHeadType, ResponseHead,
    body::BodySize,
    error::{ParseError, PayloadError},
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
};
use futures::future::poll_fn;
use tokio::net::TcpStream;

use super::body_source::BodyReader;

/// A connection to a runner between two requests.
///
/// The codec is the one of the HTTP client `awc`. `awc` itself isn't used,
/// because it reports a chunked answer that ends early at a chunk boundary as
/// complete, and because it can't limit or check the connections to each
/// runner.
pub(crate) type RunnerConnection = Framed<TcpStream, ClientCodec>;

/// A connection to a runner while the body of an answer is read from it.
pub(crate) type AnsweringConnection = Framed<TcpStream, ClientPayloadCodec>;

/// Why a request got no head of an answer.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// The caller's body ended early or was too long.
    Caller(PayloadError),
    /// The connection to the runner broke; the request may have run.
    Runner(io::Error),
    /// The runner closed the connection without an answer.
    Closed,
    /// The runner's answer can't be parsed.
    Answer(ParseError),
}

/// The head of an answer, and whether the request had been sent completely.
pub(crate) struct AnswerHead {
    pub(crate) head: ResponseHead,
    pub(crate) request_sent: bool,
}

/// Opens a connection to the runner at `address`.
pub(crate) async fn connect(address: &str) -> io::Result<RunnerConnection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(Framed::new(stream, ClientCodec::default()))
}

/// The state of an idle connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IdleState {
    /// Nothing has arrived, as expected.
    Quiet,
    /// The runner has closed it.
    Closed,
    /// Bytes have arrived without a request.
    Unsolicited,
}

/// Checks an idle connection without waiting.
pub(crate) fn check_idle(connection: &RunnerConnection) -> IdleState {
    if !connection.is_read_buf_empty() {
        return IdleState::Unsolicited;
    }
    let mut byte = [0];
    match connection.io_ref().try_read(&mut byte) {
        Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
            IdleState::Quiet
        }
        Ok(0) | Err(_) => IdleState::Closed,
        Ok(_) => IdleState::Unsolicited,
    }
}

/// Sends a request and waits for the head of its answer.
///
/// Both are done concurrently, so that a runner which answers before it has
/// read the whole body can't block the exchange.
///
/// # Errors
///
/// As described at [`ExchangeError`].
pub(crate) async fn exchange(
    connection: &mut RunnerConnection,
    head: RequestHead,
    size: BodySize,
    mut body: BodyReader<'_>,
) -> Result<AnswerHead, ExchangeError> {
    let head = RequestHeadType::Owned(head);
    Pin::new(&mut *connection)
        .write(Message::Item((head, size)))
        .map_err(ExchangeError::Runner)?;
    let mut sent = matches!(size, BodySize::None | BodySize::Sized(0));
    poll_fn(|cx| {
        if !sent {
            sent = poll_send(connection, &mut body, cx)?;
        }
        // A write error is reported only if no answer can be read: a runner
        // may refuse a long body and close the connection.
        let flushed = poll_flush(connection, cx);
        match poll_head(connection, cx) {
            Poll::Ready(Err(ExchangeError::Closed)) => match flushed {
                Poll::Ready(Err(err)) => Poll::Ready(Err(err)),
                _ => Poll::Ready(Err(ExchangeError::Closed)),
            },
            Poll::Ready(Ok(head)) => {
                Poll::Ready(Ok(AnswerHead { head, request_sent: sent }))
            }
            other => {
                other.map_ok(|head| AnswerHead { head, request_sent: sent })
            }
        }
    })
    .await
}

/// Moves the body into the connection's buffer. Returns whether its end was
/// reached.
fn poll_send(
    connection: &mut RunnerConnection,
    body: &mut BodyReader<'_>,
    cx: &mut Context<'_>,
) -> Result<bool, ExchangeError> {
    loop {
        if connection.is_write_buf_full()
            && poll_flush(connection, cx)?.is_pending()
            && connection.is_write_buf_full()
        {
            return Ok(false);
        }
        let chunk = match body.poll_chunk(cx) {
            Poll::Pending => return Ok(false),
            Poll::Ready(Some(Err(err))) => {
                return Err(ExchangeError::Caller(err));
            }
            Poll::Ready(Some(Ok(chunk))) if chunk.is_empty() => continue,
            Poll::Ready(Some(Ok(chunk))) => Some(chunk),
            Poll::Ready(None) => None,
        };
        let last = chunk.is_none();
        Pin::new(&mut *connection)
            .write(Message::Chunk(chunk))
            .map_err(ExchangeError::Runner)?;
        if last {
            return Ok(true);
        }
    }
}

type Item = Message<(RequestHeadType, BodySize)>;

fn poll_flush(
    connection: &mut RunnerConnection,
    cx: &mut Context<'_>,
) -> Poll<Result<(), ExchangeError>> {
    flush::<_, Item>(Pin::new(connection), cx).map_err(ExchangeError::Runner)
}

fn flush<U, I>(
    connection: Pin<&mut Framed<TcpStream, U>>,
    cx: &mut Context<'_>,
) -> Poll<Result<(), io::Error>>
where
    U: Decoder + Encoder<I, Error = io::Error>,
{
    connection.flush(cx)
}

/// Reads the head of the final answer. Interim answers are meant for this hop
/// only and skipped.
fn poll_head(
    connection: &mut RunnerConnection,
    cx: &mut Context<'_>,
) -> Poll<Result<ResponseHead, ExchangeError>> {
    loop {
        let item = Pin::new(&mut *connection).next_item(cx);
        let head = match std::task::ready!(item) {
            None => return Poll::Ready(Err(ExchangeError::Closed)),
            Some(Err(ParseError::Io(err))) => {
                return Poll::Ready(Err(ExchangeError::Runner(err)));
            }
            Some(Err(err)) => {
                return Poll::Ready(Err(ExchangeError::Answer(err)));
            }
            Some(Ok(head)) => head,
        };
        if !head.status.is_informational() {
            return Poll::Ready(Ok(head));
        }
    }
}

/// Returns whether a body follows the head that was just read.
pub(crate) fn has_body(connection: &RunnerConnection) -> bool {
    !matches!(connection.codec_ref().message_type(), MessageType::None)
}

/// Prepares a connection to read the body of an answer.
pub(crate) fn into_answering(
    connection: RunnerConnection,
) -> AnsweringConnection {
    connection.into_map_codec(ClientCodec::into_payload_codec)
}

/// Prepares a connection for the next request, after the body of an answer
/// has been read to its end.
pub(crate) fn into_idle(connection: AnsweringConnection) -> RunnerConnection {
    connection.into_map_codec(ClientPayloadCodec::into_message_codec)
}
