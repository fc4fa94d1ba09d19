use std::{collections::VecDeque, io};

use limpet_core::TimeMs;

use super::runner_connection::{
    IdleState, RunnerConnection, check_idle, connect,
};

/// How long a connection rests before its next request, unless the runner
/// echoes request numbers. A runner that answers twice shows it in that
/// time, before the second answer could be taken for another request's.
const REST_MS: u64 = 20;

/// How long a connection may stay idle; less than the usual keep-alive of
/// servers, so that the runner rarely closes one first.
const IDLE_LIMIT_MS: u64 = 4_000;

struct IdleConnection {
    connection: RunnerConnection,
    idle_since: TimeMs,
    usable_at: TimeMs,
}

/// The connections of this thread to one runner.
///
/// Open ones, idle or not, never exceed the share: the router gives a runner
/// no more requests than that, and idle ones make room for those in use.
pub(crate) struct RunnerPool {
    address: String,
    share: u32,
    in_use: u32,
    idle: VecDeque<IdleConnection>,
}

/// What a sweep over idle connections found.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct SweepReport {
    /// How many the runner had closed.
    pub(crate) closed: u32,
    /// How many held bytes that nobody asked for.
    pub(crate) unsolicited: u32,
}

impl RunnerPool {
    /// Returns an empty pool to the runner at `address`.
    pub(crate) fn new(address: String, share: u32) -> RunnerPool {
        RunnerPool { address, share, in_use: 0, idle: VecDeque::new() }
    }

    /// Returns the IP number and port of the runner.
    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    /// Sets how many connections may be open.
    pub(crate) fn set_share(&mut self, share: u32) {
        self.share = share;
        self.close_surplus();
    }

    /// Counts one more connection as in use.
    pub(crate) fn begin(&mut self) {
        self.in_use += 1;
    }

    /// Takes a connection that may carry the next request; the caller opens
    /// one where there is none.
    pub(crate) fn take(
        &mut self,
        now: TimeMs,
    ) -> (Option<RunnerConnection>, SweepReport) {
        let mut report = SweepReport::default();
        // The one used last is the least likely to be closed by the runner.
        while let Some(at) =
            self.idle.iter().rposition(|idle| idle.usable_at <= now)
        {
            let Some(idle) = self.idle.remove(at) else { break };
            match check_idle(&idle.connection) {
                IdleState::Quiet => return (Some(idle.connection), report),
                IdleState::Closed => report.closed += 1,
                IdleState::Unsolicited => report.unsolicited += 1,
            }
        }
        self.close_surplus();
        (None, report)
    }

    /// Takes back a connection whose answer was read to its end.
    pub(crate) fn put(
        &mut self,
        connection: RunnerConnection,
        echoed: bool,
        now: TimeMs,
    ) {
        let rest_ms = if echoed { 0 } else { REST_MS };
        self.idle.push_back(IdleConnection {
            connection,
            idle_since: now,
            usable_at: now.plus_ms(rest_ms),
        });
    }

    /// Ends the use of a connection, which was put back or closed.
    pub(crate) fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
        self.close_surplus();
    }

    /// Closes the connections that rest too long or that the runner closed.
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

    fn close_surplus(&mut self) {
        let room = self.share.saturating_sub(self.in_use) as usize;
        while self.idle.len() > room {
            self.idle.pop_front();
        }
    }
}

/// Opens a connection within `timeout_ms`.
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
