//! Calls to a platform over a link with little bandwidth.

use std::net::SocketAddr;

use bytes::Bytes;
use limpet_platform::{
    Clock, Platform, PortError, Transaction, Write,
    embedded::{self, EmbeddedOptions},
    http::{self, HttpOptions},
};
use limpet_standin::platform::PlatformServer;

/// The time-out of a call.
const TIMEOUT_MS: u64 = 1_000;
/// The bandwidth of the slow link.
const BYTES_PER_S: u64 = 200_000;
/// A length that takes several time-outs to arrive.
const LONG_BYTES: usize = 600_000;

fn server() -> PlatformServer {
    let options = EmbeddedOptions::new().workers(1);
    let platform = embedded::platform(&options, Clock::monotonic());
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    PlatformServer::start(platform, address).unwrap()
}

fn options(server: &PlatformServer) -> HttpOptions {
    HttpOptions::new(server.address()).timeout_ms(TIMEOUT_MS)
}

fn ports(server: &PlatformServer) -> Platform {
    http::platform(options(server))
}

fn write(key: String, length: usize) -> Transaction {
    Transaction {
        token: format!("token of {key}"),
        conditions: Vec::new(),
        writes: vec![Write { key, value: Some("x".repeat(length)) }],
    }
}

fn expect_unknown<T: std::fmt::Debug>(answer: Result<T, PortError>) {
    assert!(matches!(answer, Err(PortError::Unknown(_))), "{answer:?}");
}

/// Guards against a snapshot that can never be read over a slow link.
#[actix_rt::test]
async fn long_object() {
    let server = server();
    let ports = ports(&server);
    let content = Bytes::from(vec![7; LONG_BYTES]);
    server.platform().objects().put("a", content.clone());
    server.limit_bandwidth(BYTES_PER_S);
    let read = (ports.objects.get)("a".into()).await.unwrap();
    assert!(read == Some(content));
    server.stop().unwrap();
}

/// Guards against pages of a table that can never be read over a slow link.
#[actix_rt::test]
async fn long_page() {
    let server = server();
    let ports = ports(&server);
    for index in 0..6 {
        let row = write(format!("row-{index}"), LONG_BYTES / 6);
        (ports.table.commit)(row).await.unwrap();
    }
    server.limit_bandwidth(BYTES_PER_S);
    let rows = (ports.table.scan)("row-".into(), String::new(), 10).await;
    assert_eq!(rows.unwrap().len(), 6);
    server.stop().unwrap();
}

/// Guards against a snapshot that is uploaded for ever over a slow link.
#[actix_rt::test]
async fn long_upload() {
    let server = server();
    let ports = ports(&server);
    server.limit_bandwidth(4 * BYTES_PER_S);
    let content = Bytes::from(vec![7; 4 * LONG_BYTES]);
    (ports.objects.put)("a".into(), content.clone()).await.unwrap();
    assert!(server.platform().objects().get("a") == Some(content));
    server.stop().unwrap();
}

/// Guards against a read that waits for an answer that has stopped.
#[actix_rt::test]
async fn stopped_answer() {
    let server = server();
    let ports = ports(&server);
    server.platform().objects().put("a", Bytes::from_static(b"content"));
    server.limit_bandwidth(1);
    expect_unknown((ports.objects.get)("a".into()).await);
    server.stop().unwrap();
}

/// Guards against a read that goes on for as long as bytes drip.
#[actix_rt::test]
async fn endless_answer() {
    let server = server();
    let ports = http::platform(options(&server).max_read_ms(TIMEOUT_MS));
    let content = Bytes::from(vec![7; 20 * LONG_BYTES]);
    server.platform().objects().put("a", content);
    server.limit_bandwidth(BYTES_PER_S);
    expect_unknown((ports.objects.get)("a".into()).await);
    server.stop().unwrap();
}

/// Guards against a commit whose outcome is learned long after its time-out.
#[actix_rt::test]
async fn slow_commit() {
    let server = server();
    let ports = ports(&server);
    server.limit_bandwidth(1);
    expect_unknown((ports.table.commit)(write("a".into(), 1)).await);
    server.stop().unwrap();
}
