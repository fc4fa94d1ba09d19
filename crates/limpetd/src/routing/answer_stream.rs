//! The body of a runner's answer.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use actix_http::error::PayloadError;
use bytes::Bytes;
use futures::Stream;
use limpet_core::routing::Outcome;
use tokio::time::{Instant, Sleep, sleep};

use super::{
    attempt_guard::AttemptGuard,
    runner_connection::{AnsweringConnection, into_idle},
};

/// The body of an answer, streamed from a runner to the caller.
///
/// The stream ends without an error only if the framing says that the body is
/// complete. If it is dropped before its end, the runner's connection is
/// closed, so that the rest can't be taken for the answer to another
/// request.
pub(crate) struct AnswerStream {
    /// The runner's connection, until the body has ended or failed.
    connection: Option<AnsweringConnection>,
    /// Whether the request had been sent completely before the answer began.
    request_sent: bool,
    /// The attempt, until its outcome is known.
    guard: Option<AttemptGuard>,
    /// The longest pause between two chunks.
    idle_timeout: Duration,
    /// Fires when no bytes arrive for `idle_timeout`, or at the deadline.
    idle: Pin<Box<Sleep>>,
    /// When the body must be complete, if the caller set a deadline.
    deadline: Option<Instant>,
}

impl AnswerStream {
    /// Returns the body that follows on `connection`. It must be complete by
    /// `deadline`, if there is one.
    pub(crate) fn new(
        connection: AnsweringConnection,
        request_sent: bool,
        guard: AttemptGuard,
        idle_timeout: Duration,
        deadline: Option<Instant>,
    ) -> AnswerStream {
        let mut stream = AnswerStream {
            connection: Some(connection),
            request_sent,
            guard: Some(guard),
            idle_timeout,
            idle: Box::pin(sleep(idle_timeout)),
            deadline,
        };
        stream.reset_timer();
        stream
    }

    /// Sets the timer after bytes have arrived.
    fn reset_timer(&mut self) {
        let idle_until = Instant::now() + self.idle_timeout;
        let until = self.deadline.map_or(idle_until, |at| at.min(idle_until));
        self.idle.as_mut().reset(until);
    }

    /// Closes the connection and ends the stream with an error.
    fn fail(&mut self, why: &str) -> Poll<Option<Result<Bytes, io::Error>>> {
        self.connection = None;
        if let Some(guard) = self.guard.take() {
            guard.fail(Outcome::Failed);
        }
        let err = io::Error::new(io::ErrorKind::UnexpectedEof, why.to_owned());
        Poll::Ready(Some(Err(err)))
    }

    /// Ends the attempt after a complete body.
    fn finish(&mut self) {
        let Some(guard) = self.guard.take() else { return };
        let Some(connection) = self.connection.take() else { return };
        if !self.request_sent {
            // The connection can't be reused: the runner would take the rest
            // of the request's body for another request.
            return guard.finish_and_close();
        }
        let keep = connection.codec_ref().keep_alive();
        guard.finish_and_reuse(keep.then(|| into_idle(connection)));
    }
}

impl Stream for AnswerStream {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        let Some(connection) = &mut this.connection else {
            return Poll::Ready(None);
        };
        match Pin::new(connection).next_item(cx) {
            Poll::Ready(Some(Ok(Some(chunk)))) => {
                this.reset_timer();
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(Some(Ok(None))) => {
                this.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(err))) => this.fail(&describe(&err)),
            Poll::Ready(None) => {
                this.fail("the runner closed before the answer ended")
            }
            Poll::Pending => match this.idle.as_mut().poll(cx) {
                Poll::Ready(()) => this.fail("no bytes arrived in time"),
                Poll::Pending => Poll::Pending,
            },
        }
    }
}

fn describe(err: &PayloadError) -> String {
    format!("the runner's answer is malformed: {err}")
}
