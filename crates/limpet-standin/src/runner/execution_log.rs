use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

/// What a runner did with one request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Execution {
    /// The caller's `x-request-id`.
    pub request_id: String,
    /// The name of the runner.
    pub runner: String,
    /// When it arrived, in milliseconds on the clock of the options.
    pub arrived_at_ms: u64,
    /// Whether it ran, or was refused.
    pub ran: bool,
}

/// What runners did, in the order of arrival. Clones share it, and several
/// runners may write to one.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog {
    executions: Arc<Mutex<Vec<Execution>>>,
}

impl ExecutionLog {
    /// Adds an execution.
    pub fn push(&self, execution: Execution) {
        self.lock().push(execution);
    }

    /// Returns a copy of all of them.
    pub fn to_vec(&self) -> Vec<Execution> {
        self.lock().clone()
    }

    /// Returns how many times each request ran.
    pub fn run_counts(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for execution in self.lock().iter().filter(|one| one.ran) {
            *counts.entry(execution.request_id.clone()).or_default() += 1;
        }
        counts
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Execution>> {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
