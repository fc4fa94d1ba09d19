//! A submission that is repeated under its idempotency key makes one job.

mod cells;

use std::collections::BTreeSet;

use cells::{TestCell, job_file, job_states};
use futures::future::join_all;

/// Starts a cell with one daemon in each of two data centres.
async fn two_centres() -> TestCell {
    let mut cell = TestCell::start(6, &["athens", "patras"]);
    cell.add_daemon("i-1", "athens").await;
    cell.add_daemon("i-2", "patras").await;
    cell.wait_for_owners().await;
    cell
}

#[actix_rt::test]
async fn other_instance() {
    let cell = two_centres().await;
    let job = job_file(1, 50, true);
    for index in 0..8 {
        let token = format!("enrol-{index}");
        let first = cell.client(0).submit_once(&token, &job).await.unwrap();
        let again = cell.client(1).submit_once(&token, &job).await.unwrap();
        assert_eq!(first, again, "{token}");
    }
    assert_eq!(job_states(&cell.client(0)).await.len(), 8);
}

#[actix_rt::test]
async fn same_moment() {
    let cell = two_centres().await;
    let job = job_file(1, 50, true);
    let clients = [cell.client(0), cell.client(1)];
    let job = &job;
    let calls = (0..12).map(|index| {
        let client = &clients[index % 2];
        async move { client.submit_once("one-seat", job).await }
    });
    // One is accepted. The others get the same number, or a refusal with which
    // the caller may try again.
    let answers = join_all(calls).await;
    let accepted: BTreeSet<String> =
        answers.iter().flatten().map(|a| a.job.to_string()).collect();
    assert_eq!(accepted.len(), 1, "{answers:?}");
    assert_eq!(job_states(&cell.client(1)).await.len(), 1);
}
