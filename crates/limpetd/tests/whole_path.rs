//! Jobs and requests from end to end, on one daemon and on cells whose owners
//! are killed or shut down.

mod cells;

use cells::{TestCell, job_file, job_states, rows, start_daemon, wait_for};
use limpet_standin::cell::{Client, DaemonSettings, LoopbackHost};

/// Submits `count` copies of a job and returns the job numbers.
async fn submit_all(client: &Client, count: usize, job: &str) -> Vec<String> {
    let mut jobs = Vec::new();
    for index in 0..count {
        let token = format!("job-{index}");
        let answer = client.submit_once(&token, job).await.unwrap();
        jobs.push(answer.job.to_string());
    }
    jobs
}

/// Waits until all jobs are done.
async fn wait_until_done(client: &Client, jobs: &[String]) {
    wait_for("every job is done", async || {
        let states = job_states(client).await;
        let is_done = |job: &String| {
            states.get(job).is_some_and(|state| state == "done")
        };
        jobs.iter().all(is_done)
    })
    .await;
}

#[actix_rt::test]
async fn embedded_cell() {
    let settings = DaemonSettings::new("i-1", "athens", LoopbackHost::next());
    let daemon = start_daemon(&settings).await;
    let client = daemon.client();
    wait_for("a job is accepted", async || {
        client.submit(&job_file(4, 10, true)).await.is_ok()
    })
    .await;
    wait_for("the job is done", async || {
        job_states(&client).await.values().any(|state| state == "done")
    })
    .await;
    wait_for("a request is answered", async || {
        let answer = client.call_service("/services/enrolment/x").await;
        answer.is_ok_and(|(status, _)| status == 200)
    })
    .await;
}

/// After the owner is killed, another instance finishes its jobs, and no task
/// runs in two places.
#[actix_rt::test]
async fn owner_killed() {
    let mut cell = TestCell::start(6, &["athens", "patras"]);
    cell.add_daemon("i-1", "athens").await;
    cell.add_daemon("i-2", "athens").await;
    cell.add_daemon("i-3", "patras").await;
    cell.wait_for_owners().await;
    let jobs = submit_all(&cell.client(0), 12, &job_file(2, 700, true)).await;
    wait_for("another instance shows the jobs", async || {
        let states = job_states(&cell.client(2)).await;
        jobs.iter().all(|job| states.contains_key(job))
    })
    .await;
    let owner = cell.owner_of(2, 1).await;
    cell.daemons[owner].kill().unwrap();
    let left = (owner + 1) % 3;
    wait_until_done(&cell.client(left), &jobs).await;
    cell.check_runs();
    cell.check_committed();
}

/// A task that isn't idempotent starts at most once, although its owner is
/// killed and another instance takes the shard over.
#[actix_rt::test]
async fn non_idempotent_task_starts_once() {
    let mut cell = TestCell::start(4, &["athens"]);
    cell.add_daemon("i-1", "athens").await;
    cell.add_daemon("i-2", "athens").await;
    cell.wait_for_owners().await;
    let job = job_file(1, 400, false);
    let jobs = submit_all(&cell.client(0), 10, &job).await;
    let owner = cell.owner_of(0, 1).await;
    cell.daemons[owner].kill().unwrap();
    let client = cell.client(1 - owner);
    wait_for("every job has a final state", async || {
        let states = job_states(&client).await;
        let is_final = |job: &String| {
            let state = states.get(job).map_or("", String::as_str);
            ["done", "failed", "cancelled", "unknown"].contains(&state)
        };
        jobs.iter().all(is_final)
    })
    .await;
    for (task, records) in cell.records() {
        let starts = records.iter().filter(|r| r.outcome.is_none()).count();
        assert!(starts <= 1, "{task} started {starts} times: {records:?}");
    }
}

/// A submission that is repeated through another instance makes one job.
#[actix_rt::test]
async fn same_submission() {
    let mut cell = TestCell::start(2, &["athens"]);
    cell.add_daemon("i-1", "athens").await;
    cell.add_daemon("i-2", "athens").await;
    cell.wait_for_owners().await;
    let job = job_file(1, 50, false);
    let first = cell.client(0).submit_once("a", &job).await.unwrap();
    let second = cell.client(1).submit_once("a", &job).await.unwrap();
    assert_eq!(first.job, second.job, "through either instance");
    wait_until_done(&cell.client(0), &[first.job.to_string()]).await;
    assert_eq!(cell.records().len(), 1);
}

/// A graceful shutdown releases the shards, and the next owner finishes the
/// jobs.
#[actix_rt::test]
async fn graceful_shutdown_releases_shards() {
    let mut cell = TestCell::start(2, &["athens"]);
    cell.add_daemon("i-1", "athens").await;
    cell.add_daemon("i-2", "athens").await;
    cell.wait_for_owners().await;
    let jobs = submit_all(&cell.client(0), 4, &job_file(1, 300, true)).await;
    let owner = cell.owner_of(0, 1).await;
    let status = cell.daemons[owner].terminate(30_000).await.unwrap();
    assert!(status.success(), "{status}");
    let client = cell.client(1 - owner);
    wait_until_done(&client, &jobs).await;
    cell.check_runs();
    let shards = client.command("show shards").await.unwrap();
    let owners: Vec<_> =
        rows(&shards).into_iter().map(|row| row["owner"].clone()).collect();
    assert_eq!(owners, [cell.daemons[1 - owner].name()]);
}
