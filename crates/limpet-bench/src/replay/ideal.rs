use std::{cmp::Reverse, collections::BinaryHeap};

use super::Trace;

/// Returns the latencies of a trace at one queue before all slots, which
/// sees everything and costs no way: what no set of instances can beat.
pub fn ideal_latencies_us(trace: &Trace, slots: usize) -> Vec<u64> {
    let mut free_at: BinaryHeap<Reverse<u64>> =
        (0..slots).map(|_| Reverse(0)).collect();
    let mut latencies = Vec::with_capacity(trace.requests.len());
    for request in &trace.requests {
        let Some(Reverse(free_us)) = free_at.pop() else { break };
        let end_us = free_us.max(request.arrival_us) + request.run_us;
        free_at.push(Reverse(end_us));
        latencies.push(end_us - request.arrival_us);
    }
    latencies
}
