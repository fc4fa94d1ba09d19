use limpet_platform::Clock;

use super::ExecutionLog;

/// What a runner does with a request that finds no free slot.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OverloadPolicy {
    /// Lets it wait.
    Queue,
    /// Refuses it and says that it did not run.
    Refuse,
}

/// How a stand-in runner works.
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
    /// Returns a runner of 8 slots that refuses when they are taken.
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

    /// Sets how many requests run at once.
    pub fn slots(mut self, slots: u32) -> RunnerOptions {
        self.slots = slots;
        self
    }

    /// Sets what happens to a request that finds no free slot.
    pub fn overload_policy(
        mut self,
        overload_policy: OverloadPolicy,
    ) -> RunnerOptions {
        self.overload_policy = overload_policy;
        self
    }

    /// Sets the run time of a request that asks for none, in milliseconds.
    pub fn run_time_ms(mut self, ms: u64) -> RunnerOptions {
        self.run_time_ms = ms;
        self
    }

    /// Sets whether the number of a request is echoed in its answer.
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

    /// Sets the clock of the log.
    pub fn clock(mut self, clock: Clock) -> RunnerOptions {
        self.clock = clock;
        self
    }
}
