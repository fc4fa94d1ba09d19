use limpet_platform::Clock;

use super::ExecutionLog;

/// What a runner does with a request when all of its slots are taken.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OverloadPolicy {
    /// Lets the request wait for a slot.
    Queue,
    /// Refuses the request with an answer that tells it did not run.
    Refuse,
}

/// The options of a stand-in runner.
#[derive(Clone, Debug)]
pub struct RunnerOptions {
    pub(super) name: String,
    pub(super) slots: u32,
    pub(super) overload_policy: OverloadPolicy,
    pub(super) run_time_ms: u64,
    pub(super) echo: bool,
    pub(super) log: ExecutionLog,
    pub(super) log_executions: bool,
    pub(super) clock: Clock,
}

impl RunnerOptions {
    /// Returns the options of a runner with 8 slots that refuses requests when
    /// all are taken, answers at once and logs executions.
    pub fn new(name: impl Into<String>) -> RunnerOptions {
        RunnerOptions {
            name: name.into(),
            slots: 8,
            overload_policy: OverloadPolicy::Refuse,
            run_time_ms: 0,
            echo: true,
            log: ExecutionLog::default(),
            log_executions: true,
            clock: Clock::monotonic(),
        }
    }

    /// Sets the number of requests that run at once.
    pub fn slots(mut self, slots: u32) -> RunnerOptions {
        self.slots = slots;
        self
    }

    /// Sets what happens to a request when all slots are taken.
    pub fn overload_policy(
        mut self,
        overload_policy: OverloadPolicy,
    ) -> RunnerOptions {
        self.overload_policy = overload_policy;
        self
    }

    /// Sets the run time of a request without `?ms=`, in milliseconds.
    pub fn run_time_ms(mut self, ms: u64) -> RunnerOptions {
        self.run_time_ms = ms;
        self
    }

    /// Sets whether an answer repeats the `limpet-request` header of its
    /// request.
    pub fn echo(mut self, echo: bool) -> RunnerOptions {
        self.echo = echo;
        self
    }

    /// Sets the log that executions are written to.
    pub fn log(mut self, log: ExecutionLog) -> RunnerOptions {
        self.log = log;
        self
    }

    /// Sets whether executions are logged at all.
    pub fn log_executions(mut self, log_executions: bool) -> RunnerOptions {
        self.log_executions = log_executions;
        self
    }

    /// Sets the clock for the times in the log.
    pub fn clock(mut self, clock: Clock) -> RunnerOptions {
        self.clock = clock;
        self
    }
}
