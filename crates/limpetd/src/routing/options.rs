//! The options of a traffic thread.

use limpet_core::routing::SlotPolicy;

/// The limits and time-outs of a traffic thread.
#[derive(Clone, Debug)]
pub struct TrafficOptions {
    pub(crate) threads: u32,
    pub(crate) thread: u32,
    pub(crate) policy: SlotPolicy,
    pub(crate) hop_ms: f64,
    pub(crate) list_lag_ms: u64,
    pub(crate) claim_limit_bytes: usize,
    pub(crate) headers_limit_bytes: usize,
    pub(crate) replay_limit_bytes: usize,
    pub(crate) body_limit_bytes: u64,
    pub(crate) connect_timeout_ms: u64,
    pub(crate) idle_timeout_ms: u64,
    pub(crate) deadline_limit_ms: u64,
}

impl TrafficOptions {
    /// Returns the default options, for an instance with one traffic thread.
    pub fn new() -> TrafficOptions {
        TrafficOptions {
            threads: 1,
            thread: 0,
            policy: SlotPolicy::CreditsThenBorrow,
            hop_ms: 1.5,
            list_lag_ms: 15_000,
            claim_limit_bytes: 256 * 1024,
            headers_limit_bytes: 32 * 1024,
            replay_limit_bytes: 64 * 1024,
            body_limit_bytes: 1024 * 1024 * 1024,
            connect_timeout_ms: 500,
            idle_timeout_ms: 30_000,
            deadline_limit_ms: 600_000,
        }
    }

    /// Sets the index of this thread, from 0, and the number of traffic
    /// threads of the instance, which divide the instance's share of each
    /// runner.
    pub fn thread(mut self, thread: u32, threads: u32) -> TrafficOptions {
        self.threads = threads.max(1);
        self.thread = thread;
        self
    }

    /// Sets how instances share the slots of runners.
    pub fn policy(mut self, policy: SlotPolicy) -> TrafficOptions {
        self.policy = policy;
        self
    }

    /// Sets the one-way latency to another data centre, in milliseconds. The
    /// router sends a request there only if waiting for a local runner costs
    /// more.
    pub fn hop_ms(mut self, ms: f64) -> TrafficOptions {
        self.hop_ms = ms;
        self
    }

    /// Sets how long a change to the platform's list takes to reach every
    /// instance, in milliseconds. A share that has grown is used only after
    /// that time, since others may still use the old one.
    pub fn list_lag_ms(mut self, ms: u64) -> TrafficOptions {
        self.list_lag_ms = ms;
        self
    }

    /// Sets the longest request body, and the longest answer body, of a
    /// request with an idempotency key, in bytes.
    pub fn claim_limit_bytes(mut self, bytes: usize) -> TrafficOptions {
        self.claim_limit_bytes = bytes;
        self
    }

    /// Sets the largest size of a request's headers, names and values
    /// together, in bytes.
    pub fn headers_limit_bytes(mut self, bytes: usize) -> TrafficOptions {
        self.headers_limit_bytes = bytes;
        self
    }

    /// Sets the longest body that is read completely before it is sent, in
    /// bytes, so that it can be sent again. Longer ones are streamed.
    pub fn replay_limit_bytes(mut self, bytes: usize) -> TrafficOptions {
        self.replay_limit_bytes = bytes;
        self
    }

    /// Sets the longest body that a caller may send, in bytes.
    pub fn body_limit_bytes(mut self, bytes: u64) -> TrafficOptions {
        self.body_limit_bytes = bytes;
        self
    }

    /// Sets how long opening a connection to a runner may take, in
    /// milliseconds.
    pub fn connect_timeout_ms(mut self, ms: u64) -> TrafficOptions {
        self.connect_timeout_ms = ms;
        self
    }

    /// Sets how long the body of an answer may pause, in milliseconds.
    pub fn idle_timeout_ms(mut self, ms: u64) -> TrafficOptions {
        self.idle_timeout_ms = ms;
        self
    }

    /// Sets the longest deadline that a caller may ask for, in milliseconds.
    pub fn deadline_limit_ms(mut self, ms: u64) -> TrafficOptions {
        self.deadline_limit_ms = ms;
        self
    }
}

impl Default for TrafficOptions {
    fn default() -> TrafficOptions {
        TrafficOptions::new()
    }
}
