//! A cell under faults: paused owners, an unavailable or lossy platform, and a
//! data centre that is cut off from the platform.

mod cells;

use std::collections::BTreeSet;

use cells::{TestCell, job_file, job_states, sleep_ms, wait_for};
use limpet_core::{
    ShardId,
    journal::SegmentKey,
    recovery::{Snapshot, snapshot_name},
};
use limpet_platform::{EndpointEntry, MemberState, Transaction, Write};
use limpet_standin::{
    cell::{CallError, Client},
    platform::{Faults, Port},
    runner::{RunnerOptions, RunnerServer},
};

/// Longer than the lease of a shard in these cells, which is 1 s.
const LONGER_THAN_LEASE_MS: u64 = 2_500;

/// Submits a job under an idempotency key, through each client in turn, until
/// it is accepted. Returns its number, or `None` after `tries` attempts.
async fn submit_with_retries(
    clients: &[Client],
    token: &str,
    job: &str,
    tries: usize,
) -> Option<String> {
    for attempt in 0..tries {
        let client = &clients[attempt % clients.len()];
        match client.submit_once(token, job).await {
            Ok(answer) => return Some(answer.job.to_string()),
            Err(CallError::Refused { .. } | CallError::NoAnswer(_)) => {
                sleep_ms(200).await;
            }
        }
    }
    None
}

/// Waits until all jobs have a final state.
async fn wait_until_final(client: &Client, jobs: &BTreeSet<String>) {
    wait_for("every accepted job has a final state", async || {
        let states = job_states(client).await;
        let is_final = |job: &String| {
            let state = states.get(job).map_or("", String::as_str);
            ["done", "failed", "cancelled", "unknown"].contains(&state)
        };
        jobs.iter().all(is_final)
    })
    .await;
}

/// Guards against two owners of a shard: an owner is paused for longer than its
/// lease, and goes on after another instance has taken the shard over.
#[actix_rt::test]
async fn paused_owners() {
    let mut cell = TestCell::start(8, &["athens", "patras", "volos"]);
    for (index, centre) in
        ["athens", "patras", "volos", "athens", "patras", "volos", "athens"]
            .iter()
            .enumerate()
    {
        cell.add_daemon(&format!("i-{}", index + 1), centre).await;
    }
    cell.wait_for_owners().await;
    let clients: Vec<Client> = (0..7).map(|i| cell.client(i)).collect();
    let mut jobs = BTreeSet::new();
    let mut settlements = BTreeSet::new();
    for round in 0..2 {
        for index in 0..6 {
            let token = format!("r{round}-{index}");
            let job = job_file(2, 600, index % 2 == 0);
            let number = submit_with_retries(&clients, &token, &job, 60).await;
            let number = number.expect("accepted in the end");
            if index % 2 != 0 {
                settlements.insert(number.clone());
            }
            jobs.insert(number);
        }
        let owner = cell.owner_of(0, 1).await;
        cell.daemons[owner].pause().unwrap();
        sleep_ms(LONGER_THAN_LEASE_MS).await;
        cell.daemons[owner].resume().unwrap();
    }
    wait_until_final(&cell.client(0), &jobs).await;
    cell.check_runs();
    cell.check_started_once(&settlements);
    cell.check_committed();
}

/// While the table is unavailable, no job is accepted and none is lost.
#[actix_rt::test]
async fn store_down() {
    let mut cell = TestCell::start(4, &["athens"]);
    cell.add_daemon("i-1", "athens").await;
    cell.add_daemon("i-2", "athens").await;
    cell.wait_for_owners().await;
    let clients = [cell.client(0), cell.client(1)];
    let mut jobs = BTreeSet::new();
    let job = job_file(2, 1_000, true);
    let before = submit_with_retries(&clients, "before", &job, 60).await;
    jobs.insert(before.expect("accepted"));
    let down = Faults { down: true, ..Faults::default() };
    let fault_injector = cell.platform.fault_injector().clone();
    fault_injector.set(Some(Port::Table), None, down);
    // A job must not be acknowledged before it is durable.
    let job = job_file(1, 100, true);
    assert!(clients[0].submit_once("during", &job).await.is_err());
    sleep_ms(LONGER_THAN_LEASE_MS).await;
    fault_injector.clear();
    let after = submit_with_retries(&clients, "during", &job, 100).await;
    jobs.insert(after.expect("accepted in the end"));
    wait_until_final(&clients[0], &jobs).await;
    cell.check_runs();
}

/// The platform loses, repeats and reorders calls. A submission that is
/// repeated because its answer was lost must not become a second job.
#[actix_rt::test]
async fn answers_lost() {
    let mut cell = TestCell::start(4, &["athens"]);
    cell.add_daemon("i-1", "athens").await;
    cell.add_daemon("i-2", "athens").await;
    cell.wait_for_owners().await;
    let clients = [cell.client(0), cell.client(1)];
    let faults = Faults {
        lost_every: 7,
        duplicate_every: 5,
        reorder_every: 11,
        ..Faults::default()
    };
    let fault_injector = cell.platform.fault_injector().clone();
    fault_injector.set(None, None, faults);
    let mut jobs = BTreeSet::new();
    let mut settlements = BTreeSet::new();
    for index in 0..10 {
        let job = job_file(1, 200, index % 2 == 0);
        let token = format!("t-{index}");
        let number = submit_with_retries(&clients, &token, &job, 100).await;
        let number = number.expect("accepted in the end");
        if index % 2 != 0 {
            settlements.insert(number.clone());
        }
        jobs.insert(number);
    }
    fault_injector.clear();
    assert_eq!(jobs.len(), 10, "a repeated submission is the same job");
    wait_until_final(&clients[0], &jobs).await;
    cell.check_runs();
    cell.check_started_once(&settlements);
    let states = job_states(&clients[0]).await;
    assert_eq!(states.len(), 10, "no submission became two jobs");
}

/// Returns whether a request to the service is answered.
async fn is_served(client: &Client) -> bool {
    let answer = client.call_service("/services/enrolment/x").await;
    matches!(answer, Ok((200, _)))
}

/// Without the platform, a data centre still serves requests, and the other one
/// still accepts jobs.
#[actix_rt::test]
async fn centre_cut_off() {
    let mut cell = TestCell::start(6, &["athens", "patras"]);
    cell.add_daemon("i-1", "athens").await;
    cell.add_daemon("i-2", "patras").await;
    cell.add_daemon("i-3", "patras").await;
    cell.wait_for_owners().await;
    let mut jobs = BTreeSet::new();
    for (index, client) in [cell.client(0), cell.client(1)].iter().enumerate()
    {
        let job = job_file(3, 800, true);
        let token = format!("early-{index}");
        let clients = std::slice::from_ref(client);
        let number = submit_with_retries(clients, &token, &job, 60).await;
        jobs.insert(number.expect("accepted"));
    }
    let runner = RunnerServer::start(vec![RunnerOptions::new("r-1")], 1);
    let runner = runner.unwrap();
    cell.platform.platform().set_endpoints(vec![EndpointEntry {
        endpoint: "r-1".parse().unwrap(),
        service: "enrolment".parse().unwrap(),
        data_centre: "patras".parse().unwrap(),
        address: runner.runners()[0].address().to_string(),
        slots: 8,
        connections: 64,
        state: MemberState::Live,
    }]);
    let caller = cell.client(1);
    wait_for("requests are routed", async || is_served(&caller).await).await;
    let cut = Faults { cut: true, ..Faults::default() };
    let fault_injector = cell.platform.fault_injector().clone();
    fault_injector.set(None, Some("patras".parse().unwrap()), cut);
    // The data centre that is cut off goes on serving requests to its own
    // endpoints.
    for _ in 0..LONGER_THAN_LEASE_MS / 100 {
        assert!(is_served(&caller).await);
        sleep_ms(100).await;
    }
    // The other data centre goes on accepting jobs.
    let job = job_file(1, 100, true);
    let clients = [cell.client(0)];
    let number = submit_with_retries(&clients, "late", &job, 100).await;
    jobs.insert(number.expect("accepted by the other data centre"));
    fault_injector.clear();
    wait_until_final(&cell.client(0), &jobs).await;
    cell.check_runs();
    cell.check_committed();
}

/// Submits a job to the only daemon of a cell and waits until it has run.
async fn run_job(cell: &TestCell) {
    let clients = [cell.client(0)];
    let job = job_file(1, 100, true);
    let number = submit_with_retries(&clients, "job", &job, 200).await;
    let jobs = BTreeSet::from([number.expect("accepted in the end")]);
    wait_until_final(&clients[0], &jobs).await;
    cell.check_runs();
}

/// Guards against a shard that is never recovered because its segments take
/// longer to arrive than a call's time-out.
#[actix_rt::test]
async fn slow_recovery() {
    let mut cell = TestCell::start(1, &["athens"]);
    for sequence in 1..=30 {
        let key = SegmentKey { sequence, ..SegmentKey::default() };
        let value = format!("[{}]", " ".repeat(100_000));
        let row_key = key.row_key(ShardId::new(1));
        let mut segment = Transaction::new(&row_key);
        segment.writes.push(Write { key: row_key, value: Some(value) });
        cell.platform.platform().table().commit(&segment);
    }
    cell.platform.limit_bandwidth(500_000);
    cell.add_daemon("i-1", "athens").await;
    run_job(&cell).await;
}

/// Guards against a recovery that starts anew after each failed read: every
/// second call to the object store fails.
#[actix_rt::test]
async fn snapshot_answers_lost() {
    let mut cell = TestCell::start(1, &["athens"]);
    let snapshot = Snapshot::default();
    let name = snapshot_name(ShardId::new(1), snapshot.through);
    cell.platform.platform().objects().put(&name, snapshot.to_bytes().into());
    let lost = Faults { lost_every: 2, ..Faults::default() };
    cell.platform.fault_injector().set(Some(Port::Objects), None, lost);
    cell.add_daemon("i-1", "athens").await;
    run_job(&cell).await;
}
