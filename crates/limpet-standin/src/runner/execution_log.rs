use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

/// A record of one request that a runner ran or refused.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Execution {
    /// The caller's `x-request-id`; empty if it sent none.
    pub request_id: String,
    /// The name of the runner.
    pub runner: String,
    /// When it started to run or was refused, in milliseconds on the clock of
    /// the runner's options.
    pub arrived_at_ms: u64,
    /// Whether it ran; otherwise it was refused.
    pub ran: bool,
}

/// A log of executions, oldest first. Clones share the same log, and several
/// runners may write to it.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog {
    executions: Arc<Mutex<Vec<Execution>>>,
}

impl ExecutionLog {
    /// Adds an execution.
    pub fn push(&self, execution: Execution) {
        self.lock().push(execution);
    }

    /// Returns a copy of all executions.
    pub fn to_vec(&self) -> Vec<Execution> {
        self.lock().clone()
    }

    /// Returns how many times each request ran, by its id. Refusals don't
    /// count.
    pub fn run_counts(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for execution in self.lock().iter().filter(|execution| execution.ran) {
            *counts.entry(execution.request_id.clone()).or_default() += 1;
        }
        counts
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Execution>> {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
