//! Queueing of requests: fairness between teams, queue limits, and early
//! refusal of requests that would miss their deadline.

use limpet_core::{
    ErrorKind, TimeMs,
    routing::{
        Admission, AdmissionOptions, Deadline, FairQueue, RetryAfter,
        RetryBudget, Ticket, Waiter,
    },
};

fn at(ms: u64) -> TimeMs {
    TimeMs::from_ms(ms)
}

fn waiter(ticket: u64) -> Waiter {
    Waiter { ticket: Ticket(ticket), deadline: Deadline::at(at(10_000)) }
}

/// Adds `n` requests of a team to the queue, with tickets from `first`.
fn push(queue: &mut FairQueue, team: &str, weight: u32, first: u64, n: u64) {
    for ticket in first..first + n {
        queue.push(team, weight, waiter(ticket), 1_000).expect("room");
    }
}

#[test]
fn shares_by_weight() {
    let mut queue = FairQueue::default();
    push(&mut queue, "a", 3, 0, 100);
    push(&mut queue, "b", 1, 1_000, 100);
    let first: Vec<u64> =
        (0..40).map(|_| queue.pop().expect("a waiter").ticket.0).collect();
    let of_a = first.iter().filter(|ticket| **ticket < 1_000).count();
    assert!((29..=31).contains(&of_a), "{of_a} of 40 for 3 of 4");
    let in_order: Vec<u64> =
        first.iter().copied().filter(|ticket| *ticket < 1_000).collect();
    assert!(in_order.is_sorted());
}

#[test]
fn idle_team_gains_no_credit() {
    let mut queue = FairQueue::default();
    push(&mut queue, "a", 1, 0, 50);
    for _ in 0..40 {
        queue.pop();
    }
    push(&mut queue, "b", 1, 1_000, 50);
    let next: Vec<u64> =
        (0..10).map(|_| queue.pop().expect("a waiter").ticket.0).collect();
    let of_a = next.iter().filter(|ticket| **ticket < 1_000).count();
    assert!((4..=6).contains(&of_a), "{of_a} of 10 for the older team");
}

#[test]
fn queue_limited_per_team() {
    let mut queue = FairQueue::default();
    queue.push("a", 1, waiter(1), 1).expect("room");
    let err = queue.push("a", 1, waiter(2), 1).expect_err("full");
    assert_eq!(err.kind(), ErrorKind::QueueFull);
    queue.push("b", 1, waiter(3), 1).expect("another team's room");
    assert!(queue.remove("a", Ticket(1)));
    assert!(!queue.remove("a", Ticket(1)));
    assert_eq!(queue.pop().map(|waiter| waiter.ticket), Some(Ticket(3)));
    assert!(queue.is_empty());
}

#[test]
fn put_back_is_next() {
    let mut queue = FairQueue::default();
    push(&mut queue, "a", 1, 0, 3);
    let first = queue.pop().expect("a waiter");
    queue.put_back("a", 1, first);
    assert_eq!(queue.len(), 3);
    assert_eq!(queue.pop(), Some(first));
}

/// Returns an admission control that has recorded one answer per
/// millisecond, with a latency of 10 ms, while requests were queued.
fn busy_admission() -> Admission {
    let mut admission = Admission::new(AdmissionOptions::default());
    for ms in 0..2_000 {
        admission.record_answer(10, true, at(ms));
    }
    admission
}

#[test]
fn refused_early() {
    let admission = busy_admission();
    let mut queue = FairQueue::default();
    push(&mut queue, "a", 1, 0, 500);
    let soon = Deadline::at(at(2_300));
    let err = admission.check(&queue, "a", 1, soon, at(2_000));
    assert_eq!(err.expect_err("too late").kind(), ErrorKind::Overloaded);
    let later = Deadline::at(at(3_000));
    admission.check(&queue, "a", 1, later, at(2_000)).expect("in time");
    // A team without waiting requests is served from its own fair share.
    admission.check(&queue, "b", 1, soon, at(2_000)).expect("in time");
}

#[test]
fn missed_deadlines() {
    let admission = busy_admission();
    assert!(admission.will_miss_deadline(Deadline::at(at(2_009)), at(2_000)));
    assert!(!admission.will_miss_deadline(Deadline::at(at(2_050)), at(2_000)));
}

#[test]
fn retry_delays_spread() {
    let mut retry_after = RetryAfter::default();
    for _ in 0..100 {
        retry_after.record_served(at(10));
    }
    let mut draw = 1_u64;
    let returns: Vec<u64> = (0..1_000)
        .map(|_| {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005) + 1;
            retry_after.refuse(at(20), draw >> 33)
        })
        .collect();
    let last = &returns[800..];
    assert!(last.iter().all(|ms| (1_000..=30_000).contains(ms)));
    // With ten refusals for each answer, the delays spread over about 10 s.
    assert!(last.iter().max() > Some(&8_000));
    assert!(last.iter().min() < Some(&2_000));
}

#[test]
fn retry_budget() {
    let mut budget = RetryBudget::new();
    let mut spent = 0;
    for _ in 0..10_000 {
        budget.deposit();
        spent += u32::from(budget.try_spend());
    }
    assert!((800..=1_000).contains(&spent), "{spent} of 10000");
}
