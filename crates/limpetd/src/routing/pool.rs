//! The pool of connections to a runner.

use std::{collections::VecDeque, io};

use limpet_core::TimeMs;

use super::runner_connection::{
    IdleState, RunnerConnection, check_idle, connect,
};

/// How long a connection isn't used again after an answer, in milliseconds,
/// unless the runner echoes request numbers. If a runner wrongly sends a
/// second answer, it arrives in this time and isn't taken for the next
/// request's.
const REUSE_DELAY_MS: u64 = 20;

/// How long a connection may stay idle, in milliseconds. It is less than the
/// usual keep-alive time of servers, so that runners rarely close one first.
const IDLE_LIMIT_MS: u64 = 4_000;

/// A connection without a request.
struct IdleConnection {
    connection: RunnerConnection,
    idle_since: TimeMs,
    /// When the next request may be sent on it; see [`REUSE_DELAY_MS`].
    usable_at: TimeMs,
}

/// The connections of a traffic thread to one runner.
///
/// There are never more than `share` of them: the router gives a runner no
/// more requests than that, and idle connections are closed to make room for
/// those in use.
pub(crate) struct RunnerPool {
    /// The IP address and port of the runner.
    address: String,
    /// The most connections that may be open at once.
    share: u32,
    /// How many connections have a request, or are being opened for one.
    in_use: u32,
    /// The open connections without a request, the one used last at the end.
    idle: VecDeque<IdleConnection>,
}

/// The idle connections that were found unusable.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct SweepReport {
    /// How many the runner has closed.
    pub(crate) closed: u32,
    /// How many received bytes that belong to no request.
    pub(crate) unsolicited: u32,
}

impl RunnerPool {
    /// Returns an empty pool for the runner at `address`.
    pub(crate) fn new(address: String, share: u32) -> RunnerPool {
        RunnerPool { address, share, in_use: 0, idle: VecDeque::new() }
    }

    /// Returns the IP address and port of the runner.
    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    /// Sets how many connections may be open, and closes idle ones beyond.
    pub(crate) fn set_share(&mut self, share: u32) {
        self.share = share;
        self.close_surplus();
    }

    /// Counts one more connection as in use.
    pub(crate) fn begin(&mut self) {
        self.in_use += 1;
    }

    /// Removes and returns an idle connection that can carry a request, and
    /// reports the unusable ones that were removed on the way. Without one,
    /// the caller may open a new connection.
    pub(crate) fn take(
        &mut self,
        now: TimeMs,
    ) -> (Option<RunnerConnection>, SweepReport) {
        let mut report = SweepReport::default();
        // The connection that was used last is the least likely to have been
        // closed by the runner.
        while let Some(idx) =
            self.idle.iter().rposition(|idle| idle.usable_at <= now)
        {
            let Some(idle) = self.idle.remove(idx) else { break };
            match check_idle(&idle.connection) {
                IdleState::Quiet => return (Some(idle.connection), report),
                IdleState::Closed => report.closed += 1,
                IdleState::Unsolicited => report.unsolicited += 1,
            }
        }
        self.close_surplus();
        (None, report)
    }

    /// Puts back a connection whose answer was read to its end. `echoed` says
    /// whether the runner echoed the number of the request.
    pub(crate) fn put(
        &mut self,
        connection: RunnerConnection,
        echoed: bool,
        now: TimeMs,
    ) {
        let reuse_delay_ms = if echoed { 0 } else { REUSE_DELAY_MS };
        self.idle.push_back(IdleConnection {
            connection,
            idle_since: now,
            usable_at: now.plus_ms(reuse_delay_ms),
        });
    }

    /// Counts one connection less as in use, after it was put back or closed.
    pub(crate) fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
        self.close_surplus();
    }

    /// Removes the connections that were idle for too long, that the runner
    /// has closed, or that received bytes without a request.
    pub(crate) fn sweep(&mut self, now: TimeMs) -> SweepReport {
        let mut report = SweepReport::default();
        self.idle.retain(|idle| match check_idle(&idle.connection) {
            IdleState::Quiet => now.ms_since(idle.idle_since) < IDLE_LIMIT_MS,
            IdleState::Closed => {
                report.closed += 1;
                false
            }
            IdleState::Unsolicited => {
                report.unsolicited += 1;
                false
            }
        });
        report
    }

    /// Closes idle connections beyond the share, the oldest first.
    fn close_surplus(&mut self) {
        let room = self.share.saturating_sub(self.in_use) as usize;
        while self.idle.len() > room {
            self.idle.pop_front();
        }
    }
}

/// Opens a connection to the runner at `address`.
///
/// # Errors
///
/// [`io::ErrorKind::TimedOut`] after `timeout_ms`, and otherwise the error of
/// the connection.
pub(crate) async fn connect_within(
    address: &str,
    timeout_ms: u64,
) -> io::Result<RunnerConnection> {
    let timeout = std::time::Duration::from_millis(timeout_ms);
    match tokio::time::timeout(timeout, connect(address)).await {
        Ok(opened) => opened,
        Err(_) => Err(io::Error::new(
            io::ErrorKind::TimedOut,
            format!("no connection within {timeout_ms} ms"),
        )),
    }
}
