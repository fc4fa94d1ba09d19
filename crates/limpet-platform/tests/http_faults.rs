//! Each fault of the stand-in platform, as a caller over HTTP sees it:
//! `Unavailable` only if the call had no effect.

use std::net::{SocketAddr, TcpListener};

use limpet_core::DataCentre;
use limpet_platform::{
    Clock, CommitAnswer, Platform, PortError, Transaction, Write,
    embedded::{self, EmbeddedOptions},
    http::{self, HttpOptions},
};
use limpet_standin::platform::{Faults, PlatformServer, Port};

fn server() -> PlatformServer {
    let options = EmbeddedOptions::new().workers(1);
    let platform = embedded::platform(&options, Clock::monotonic());
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    PlatformServer::start(platform, address).unwrap()
}

fn ports(server: &PlatformServer, timeout_ms: u64) -> Platform {
    let options = HttpOptions::new(server.address()).timeout_ms(timeout_ms);
    http::platform(options)
}

fn set_table(server: &PlatformServer, faults: Faults) {
    server.fault_injector().set(Some(Port::Table), None, faults);
}

fn write(key: &str) -> Transaction {
    Transaction {
        token: format!("token of {key}"),
        conditions: Vec::new(),
        writes: vec![Write { key: key.into(), value: Some("x".into()) }],
    }
}

fn is_written(server: &PlatformServer, key: &str) -> bool {
    server.platform().table().read(key).is_some()
}

/// Waits until another thread has made a condition true, for at most 10 s.
async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    panic!("the condition did not hold within 10 s");
}

fn expect_unknown<T: std::fmt::Debug>(answer: Result<T, PortError>) {
    assert!(matches!(answer, Err(PortError::Unknown(_))), "{answer:?}");
}

fn expect_unavailable<T: std::fmt::Debug>(answer: Result<T, PortError>) {
    assert!(matches!(answer, Err(PortError::Unavailable(_))), "{answer:?}");
}

#[actix_rt::test]
async fn table_down() {
    let server = server();
    let ports = ports(&server, 10_000);
    set_table(&server, Faults { down: true, ..Faults::default() });
    expect_unavailable((ports.table.commit)(write("a")).await);
    assert!(!is_written(&server, "a"));
    (ports.objects.list)(String::new()).await.unwrap();
    server.fault_injector().clear();
    (ports.table.commit)(write("a")).await.unwrap();
    server.stop().unwrap();
}

#[actix_rt::test]
async fn connection_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let ports = http::platform(HttpOptions::new(address));
    expect_unavailable((ports.table.commit)(write("a")).await);
}

#[actix_rt::test]
async fn call_cut() {
    let server = server();
    let ports = ports(&server, 10_000);
    set_table(&server, Faults { cut: true, ..Faults::default() });
    expect_unknown((ports.table.commit)(write("a")).await);
    assert!(!is_written(&server, "a"));
    server.stop().unwrap();
}

#[actix_rt::test]
async fn answer_lost() {
    let server = server();
    let ports = ports(&server, 10_000);
    set_table(&server, Faults { lost_every: 2, ..Faults::default() });
    (ports.table.commit)(write("a")).await.unwrap();
    expect_unknown((ports.table.commit)(write("b")).await);
    // The commit took effect, as reading the row back shows.
    let row = (ports.table.read)("b".into()).await.unwrap().unwrap();
    assert_eq!(row.token, "token of b");
    server.stop().unwrap();
}

#[actix_rt::test]
async fn table_slow() {
    let server = server();
    let ports = ports(&server, 50);
    set_table(&server, Faults { slow_ms: 200, ..Faults::default() });
    expect_unknown((ports.table.commit)(write("a")).await);
    wait_until(|| is_written(&server, "a")).await;
    server.stop().unwrap();
}

#[actix_rt::test]
async fn table_paused() {
    let server = server();
    let ports = ports(&server, 50);
    set_table(&server, Faults { paused: true, ..Faults::default() });
    expect_unknown((ports.table.commit)(write("a")).await);
    assert!(!is_written(&server, "a"));
    server.fault_injector().clear();
    wait_until(|| is_written(&server, "a")).await;
    server.stop().unwrap();
}

#[actix_rt::test]
async fn call_duplicated() {
    let server = server();
    let ports = ports(&server, 10_000);
    set_table(&server, Faults { duplicate_every: 1, ..Faults::default() });
    let answer = (ports.table.commit)(write("a")).await.unwrap();
    assert_eq!(answer, CommitAnswer::Committed { version: 1 });
    let version = || server.platform().table().read("a").unwrap().version;
    wait_until(|| version() == 2).await;
    server.stop().unwrap();
}

#[actix_rt::test]
async fn calls_reordered() {
    let server = server();
    let ports = ports(&server, 10_000);
    let reorder_limit_ms = 10_000;
    let faults = Faults { reorder_limit_ms, ..Faults::default() };
    set_table(&server, Faults { reorder_every: 2, ..faults });
    (ports.table.commit)(write("a")).await.unwrap();
    let held = actix_rt::spawn((ports.table.commit)(write("b")));
    // The held call must arrive before the next one is sent.
    let calls = || server.fault_injector().call_count(Port::Table);
    wait_until(|| calls() == 2).await;
    let later = (ports.table.commit)(write("c")).await.unwrap();
    assert_eq!(later, CommitAnswer::Committed { version: 2 });
    let held = held.await.unwrap().unwrap();
    assert_eq!(held, CommitAnswer::Committed { version: 3 });
    server.stop().unwrap();
}

#[actix_rt::test]
async fn data_centre_cut_off() {
    let server = server();
    let from = |name: &str| {
        let data_centre = DataCentre::new(name).unwrap();
        let options = HttpOptions::new(server.address());
        http::platform(options.data_centre(data_centre))
    };
    let (patras, athens) = (from("patras"), from("athens"));
    let cut = Faults { cut: true, ..Faults::default() };
    let patras_name = DataCentre::new("patras").unwrap();
    server.fault_injector().set(None, Some(patras_name), cut);
    expect_unknown((patras.directory.list)().await);
    (athens.directory.list)().await.unwrap();
    server.stop().unwrap();
}

#[actix_rt::test]
async fn faults_set_over_http() {
    let server = server();
    let ports = ports(&server, 10_000);
    let url = |what| format!("http://{}/admin/{what}", server.address());
    let client = awc::Client::default();
    let body = r#"{"port":"table","faults":{"down":true}}"#;
    client.post(url("faults")).send_body(body).await.unwrap();
    expect_unavailable((ports.table.read)("a".into()).await);
    let body = r#"{"port":"tabel"}"#;
    let answer = client.post(url("faults")).send_body(body).await.unwrap();
    assert_eq!(answer.status(), 400);
    client.post(url("clear")).send_body("").await.unwrap();
    (ports.table.read)("a".into()).await.unwrap();
    server.stop().unwrap();
}
