//! The values of the counters.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use super::Counter;

/// The values of all counters. Clones share them, also between threads.
#[derive(Clone, Debug)]
pub struct Metrics {
    values: Arc<Vec<AtomicU64>>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let values = Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect();
        Metrics { values: Arc::new(values) }
    }
}

impl Metrics {
    /// Adds an amount to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        self.values[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// Returns the values of all counters by name.
    pub fn to_map(&self) -> BTreeMap<&'static str, u64> {
        Counter::ALL
            .iter()
            .map(|&counter| (counter.name(), self.get(counter)))
            .collect()
    }
}
