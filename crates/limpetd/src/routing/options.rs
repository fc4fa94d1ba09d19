use limpet_core::routing::SlotPolicy;

/// Limits that a traffic thread holds its callers and runners to.
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
    /// Returns the limits for one traffic thread an instance.
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

    /// Sets which of how many traffic threads of this instance this one is,
    /// from 0. They divide the instance's part of each runner among them.
    pub fn thread(mut self, thread: u32, threads: u32) -> TrafficOptions {
        self.threads = threads.max(1);
        self.thread = thread;
        self
    }

    /// Sets how the slots of runners are shared between instances.
    pub fn policy(mut self, policy: SlotPolicy) -> TrafficOptions {
        self.policy = policy;
        self
    }

    /// Sets what one way to another data centre costs, in milliseconds.
    pub fn hop_ms(mut self, ms: f64) -> TrafficOptions {
        self.hop_ms = ms;
        self
    }

    /// Sets how long a change to the platform's list takes to reach every
    /// instance. A share that grows is used only after that time.
    pub fn list_lag_ms(mut self, ms: u64) -> TrafficOptions {
        self.list_lag_ms = ms;
        self
    }

    /// Sets the longest request body and answer body, each, of a request
    /// with an idempotency key. Its answer is kept for the caller's repeats.
    pub fn claim_limit_bytes(mut self, bytes: usize) -> TrafficOptions {
        self.claim_limit_bytes = bytes;
        self
    }

    /// Sets the longest headers, names and values together.
    pub fn headers_limit_bytes(mut self, bytes: usize) -> TrafficOptions {
        self.headers_limit_bytes = bytes;
        self
    }

    /// Sets the longest body that is read whole before it is sent, so that
    /// it can be sent again. Longer ones are streamed.
    pub fn replay_limit_bytes(mut self, bytes: usize) -> TrafficOptions {
        self.replay_limit_bytes = bytes;
        self
    }

    /// Sets the longest body that a caller may send.
    pub fn body_limit_bytes(mut self, bytes: u64) -> TrafficOptions {
        self.body_limit_bytes = bytes;
        self
    }

    /// Sets how long a connection to a runner may take to open.
    pub fn connect_timeout_ms(mut self, ms: u64) -> TrafficOptions {
        self.connect_timeout_ms = ms;
        self
    }

    /// Sets how long a body may stand still, in either direction.
    pub fn idle_timeout_ms(mut self, ms: u64) -> TrafficOptions {
        self.idle_timeout_ms = ms;
        self
    }

    /// Sets the longest deadline that a caller may ask for.
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
