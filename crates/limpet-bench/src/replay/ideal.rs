use std::{cmp::Reverse, collections::BinaryHeap};

use super::Trace;

/// Returns the latencies of a trace's requests if a single queue fed all
/// `slots` without network delay. No set of instances can do better, so this
/// is the reference for their latencies.
pub fn ideal_latencies_us(trace: &Trace, slots: usize) -> Vec<u64> {
    let mut free_at_us: BinaryHeap<Reverse<u64>> =
        (0..slots).map(|_| Reverse(0)).collect();
    let mut latencies_us = Vec::with_capacity(trace.requests.len());
    for request in &trace.requests {
        let Some(Reverse(free_us)) = free_at_us.pop() else { break };
        let end_us = free_us.max(request.arrival_us) + request.run_us;
        free_at_us.push(Reverse(end_us));
        latencies_us.push(end_us - request.arrival_us);
    }
    latencies_us
}
