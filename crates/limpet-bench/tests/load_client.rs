//! The load client measures latency from the time at which a request was due
//! and counts how each request ended.

use std::{cell::Cell, rc::Rc, time::Duration};

use limpet_bench::load::{self, LoadOptions, Reply};

#[actix_rt::test]
async fn stall_counts_for_later_requests() {
    // Guards against coordinated omission: the first request blocks the
    // thread for longer than the schedule lasts, so that all later requests
    // are sent late, and their latency must include the delay.
    let stalled = Rc::new(Cell::new(false));
    let options = LoadOptions::new(1_000.0, 100);
    let outcome = load::run(options, |_| {
        let stalled = Rc::clone(&stalled);
        async move {
            if !stalled.replace(true) {
                std::thread::sleep(Duration::from_millis(300));
            }
            Reply::Answered
        }
    })
    .await;
    assert_eq!(outcome.answered, 100);
    assert!(outcome.latency_ms(50.0) >= 200.0);
}

#[actix_rt::test]
async fn replies_counted() {
    let options = LoadOptions::new(10_000.0, 10).grace_ms(100);
    let outcome = load::run(options, |index| async move {
        match index % 4 {
            0 => Reply::Answered,
            1 => Reply::Refused,
            2 => Reply::Failed,
            _ => std::future::pending().await,
        }
    })
    .await;
    let counts = (outcome.answered, outcome.refused, outcome.failed);
    assert_eq!(counts, (25, 25, 50), "requests without an answer fail");
    assert_eq!(outcome.latency_us.len(), 25);
}
