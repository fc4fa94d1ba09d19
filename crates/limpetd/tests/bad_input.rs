//! Invalid input is refused with the right error kind, and the daemon goes on
//! serving.

mod cells;

use std::time::Duration;

use cells::{job_file, job_states, start_daemon, wait_for};
use limpet_core::ErrorKind;
use limpet_standin::cell::{
    CallError, Client, Daemon, DaemonSettings, LoopbackHost,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// The largest body that the daemon accepts in these tests.
const BODY_LIMIT_BYTES: u64 = 10_000;

/// Starts a daemon with short limits, and waits until it accepts jobs.
async fn start() -> (Daemon, Client) {
    let settings = DaemonSettings::new("i-1", "athens", LoopbackHost::next())
        .limit("body_bytes", BODY_LIMIT_BYTES)
        .limit("header_ms", 300)
        .limit("body_ms", 300);
    let daemon = start_daemon(&settings).await;
    let client = daemon.client();
    wait_for("the daemon accepts jobs", async || {
        client.submit(&job_file(1, 1, true)).await.is_ok()
    })
    .await;
    (daemon, client)
}

/// Checks that the daemon still accepts and runs a job.
async fn expect_alive(client: &Client) {
    let answer = client.submit(&job_file(1, 1, true)).await.unwrap();
    wait_for("the job is done", async || {
        let states = job_states(client).await;
        states.get(&answer.job.to_string()).is_some_and(|s| s == "done")
    })
    .await;
}

/// Submits a job that must be refused, and returns status and error kind.
async fn refused(client: &Client, job: &str) -> (u16, ErrorKind) {
    match client.submit(job).await {
        Err(CallError::Refused { status, body }) => (status, body.error),
        other => panic!("{other:?}"),
    }
}

#[actix_rt::test]
async fn broken_jobs() {
    let (_daemon, client) = start().await;
    let job = job_file(1, 10, true);
    let invalid = (422, ErrorKind::InvalidJob);
    assert_eq!(refused(&client, "name = [").await, invalid);
    let negative = job.replace("cores = 1", "cores = -1");
    assert_eq!(refused(&client, &negative).await, invalid);
    let absurd = job.replace("memory_mb = 64", "memory_mb = 99999999999");
    assert_eq!(refused(&client, &absurd).await, invalid);
    let unknown = job.replace("count = 1", "cuont = 1");
    assert_eq!(refused(&client, &unknown).await, invalid);
    let none = job.replace("count = 1", "count = 0");
    assert_eq!(refused(&client, &none).await, invalid);
    let queue = job.replace("\"batch\"", "\"nightly\"");
    let kind = (422, ErrorKind::UnknownQueue);
    assert_eq!(refused(&client, &queue).await, kind);
    let team = job.replace("\"rosters\"", "\"nobody\"");
    let kind = (404, ErrorKind::UnknownTeam);
    assert_eq!(refused(&client, &team).await, kind);
    let wide = job.replace("cores = 1", "cores = 1000");
    let kind = (422, ErrorKind::NeverFits);
    assert_eq!(refused(&client, &wide).await, kind);
    expect_alive(&client).await;
}

#[actix_rt::test]
async fn bad_keys() {
    let (_daemon, client) = start().await;
    let job = job_file(1, 10, true);
    let unknown = (401, ErrorKind::UnknownKey);
    for key in [None, Some("first-operator:wrong"), Some("x:y"), Some("")] {
        let caller = client.with_key(key);
        assert_eq!(refused(&caller, &job).await, unknown, "{key:?}");
    }
    expect_alive(&client).await;
}

#[actix_rt::test]
async fn oversized_body() {
    let (_daemon, client) = start().await;
    let mut job = job_file(1, 10, true);
    job.push_str(&"#".repeat(BODY_LIMIT_BYTES as usize));
    let kind = (413, ErrorKind::TooLarge);
    assert_eq!(refused(&client, &job).await, kind);
    expect_alive(&client).await;
}

/// Sends a part of a request and returns what the daemon sends until it closes
/// the connection. If `shut`, closes the sending side after the part.
async fn send_part(daemon: &Daemon, part: &str, shut: bool) -> String {
    let address = daemon.host().http_address();
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(part.as_bytes()).await.unwrap();
    if shut {
        stream.shutdown().await.unwrap();
    }
    let mut answer = Vec::new();
    let limit = Duration::from_secs(30);
    let read = stream.read_to_end(&mut answer);
    // A reset closes the connection too.
    let ended = actix_rt::time::timeout(limit, read).await;
    assert!(ended.is_ok(), "the daemon holds the connection open");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns the head of a submission and the beginning of its body.
fn partial_submission() -> String {
    "POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\
     authorization: Bearer first-operator:test-secret\r\n\r\nname = "
        .to_owned()
}

/// A caller that stops within the headers must not hold its connection open.
#[actix_rt::test]
async fn slow_headers() {
    let (daemon, client) = start().await;
    let part = "POST /v1/jobs HTTP/1.1\r\nhost:";
    let answer = send_part(&daemon, part, false).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    expect_alive(&client).await;
}

/// A caller that stops within the body must not hold its connection open.
#[actix_rt::test]
async fn slow_body() {
    let (daemon, client) = start().await;
    let answer = send_part(&daemon, &partial_submission(), false).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("caller_timeout"), "{answer}");
    expect_alive(&client).await;
}

/// A caller that closes its sending side within a body must submit no job.
#[actix_rt::test]
async fn half_closed() {
    let (daemon, client) = start().await;
    let before = job_states(&client).await.len();
    let answer = send_part(&daemon, &partial_submission(), true).await;
    assert!(!answer.contains("201"), "{answer}");
    assert_eq!(job_states(&client).await.len(), before);
    expect_alive(&client).await;
}
