use std::cell::Cell;

/// Counters of one process, served as text.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Submissions that were accepted.
    pub accepted: Cell<u64>,
    /// Client calls that were refused.
    pub refused: Cell<u64>,
    /// Starts that were ordered.
    pub starts: Cell<u64>,
    /// Starts that got no answer.
    pub starts_unanswered: Cell<u64>,
    /// Looks at workers that failed.
    pub looks_failed: Cell<u64>,
    /// Transactions that got no answer or were refused.
    pub store_failures: Cell<u64>,
    /// Ownerships taken.
    pub takeovers: Cell<u64>,
}

impl Metrics {
    /// Adds one to a counter.
    pub fn count(counter: &Cell<u64>) {
        counter.set(counter.get() + 1);
    }

    /// Returns the counters as text, a line each.
    pub fn to_text(&self) -> String {
        let rows = [
            ("limpet_accepted_total", &self.accepted),
            ("limpet_refused_total", &self.refused),
            ("limpet_starts_total", &self.starts),
            ("limpet_starts_unanswered_total", &self.starts_unanswered),
            ("limpet_looks_failed_total", &self.looks_failed),
            ("limpet_store_failures_total", &self.store_failures),
            ("limpet_takeovers_total", &self.takeovers),
        ];
        rows.iter()
            .map(|(name, counter)| format!("{name} {}\n", counter.get()))
            .collect()
    }
}
