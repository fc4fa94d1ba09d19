//! What the proxy forwards of requests and answers, what it doesn't, and that
//! it applies back-pressure.

mod support;

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use actix_http::Method;
use limpet_standin::{caller::CallerRequest, runner::expected_body};
use limpetd::routing::TrafficOptions;

use self::support::{Proxy, Stage, call, entry, run};

/// The most bytes that may be sent before a transfer blocks: those in the
/// buffers of the sockets and of the proxy.
const BUFFERED_LIMIT_BYTES: usize = 24 << 20;

/// Starts a runner that answers every request with the bytes `answer`. The
/// receiver gets each request's head in lower case.
fn raw_runner(answer: &'static str) -> (SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut read = Vec::new();
            let mut part = [0; 4_096];
            while !read.windows(4).any(|end| end == b"\r\n\r\n") {
                match stream.read(&mut part) {
                    Ok(0) | Err(_) => break,
                    Ok(count) => read.extend_from_slice(&part[..count]),
                }
            }
            let text = String::from_utf8_lossy(&read).to_lowercase();
            // The test may have ended and dropped the receiver.
            drop(sender.send(text));
            drop(stream.write_all(answer.as_bytes()));
        }
    });
    (address, receiver)
}

/// Starts a proxy in front of the runner at `address`.
fn proxy_before(address: SocketAddr) -> Proxy {
    let view = support::view(support::config(), vec![entry("raw", address)]);
    Proxy::start(TrafficOptions::new(), view, None)
}

/// Sends the bytes of `text` to the proxy and returns the start of the answer.
fn send_raw(proxy: &Proxy, text: &str) -> String {
    let mut stream = TcpStream::connect(proxy.address).expect("connected");
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).expect("a timeout");
    stream.write_all(text.as_bytes()).expect("sent");
    let mut answer = [0; 512];
    let count = stream.read(&mut answer).unwrap_or(0);
    String::from_utf8_lossy(&answer[..count]).into_owned()
}

#[test]
fn hop_by_hop() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: \
                  timeout=9\r\nconnection: x-inner\r\nx-inner: 1\r\n\
                  x-outer: 2\r\n\r\nok";
    let (address, received) = raw_runner(answer);
    let proxy = proxy_before(address);
    // Sent as bytes, since the codec of the stand-in caller writes its own
    // `connection` header.
    let text = format!(
        "GET {} HTTP/1.1\r\nhost: x\r\nconnection: x-mine, keep-alive\r\n\
         x-mine: 1\r\nx-kept: 2\r\nte: trailers\r\n\
         authorization: Bearer k1:the-secret\r\n\
         limpet-timeout-ms: 5000\r\n\r\n",
        Proxy::path("/a/b?c=d")
    );
    let answer = send_raw(&proxy, &text).to_lowercase();
    assert!(answer.contains("\r\nx-outer: 2\r\n"), "{answer}");
    assert!(!answer.contains("x-inner"), "{answer}");
    assert!(!answer.contains("keep-alive"), "{answer}");
    let request = received.recv().expect("a request");
    assert!(request.starts_with("get /a/b?c=d http/1.1\r\n"), "{request}");
    assert!(request.contains("\r\nx-kept: 2\r\n"));
    for name in ["x-mine", "\nte:", "authorization", "the-secret"] {
        assert!(!request.contains(name), "{name} in {request}");
    }
    let left_ms: u64 = request
        .lines()
        .find_map(|line| line.strip_prefix("limpet-timeout-ms: "))
        .and_then(|text| text.parse().ok())
        .expect("a deadline");
    assert!((1..=5_000).contains(&left_ms));
}

#[test]
fn head_request() {
    let stage = Stage::start(1);
    run(async {
        for _ in 0..3 {
            let path = Proxy::path("/x?bytes=500");
            let request = CallerRequest::new(Method::HEAD, path);
            let answer = call(&stage.proxy, request, "h").await;
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, 200);
            assert_eq!(answer.header("content-length"), Some("500"));
            assert!(answer.body.is_empty());
        }
    });
}

#[test]
fn large_bodies() {
    let stage = Stage::start(1);
    run(async {
        for chunked in [false, true] {
            let body = expected_body("large", 3 << 20);
            let request = CallerRequest::post(Proxy::path("/x"), body.clone())
                .chunked(chunked);
            let answer = call(&stage.proxy, request, "l").await;
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, 200);
            assert_eq!(answer.body, body);
        }
    });
}

#[test]
fn continue_expected() {
    let stage = Stage::start(1);
    let text = format!(
        "POST {} HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n\
         content-length: 5\r\n\r\n",
        Proxy::path("/x")
    );
    let mut stream =
        TcpStream::connect(stage.proxy.address).expect("connected");
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).expect("a timeout");
    stream.write_all(text.as_bytes()).expect("sent");
    let mut part = [0; 1_024];
    let count = stream.read(&mut part).expect("an interim answer");
    let interim = String::from_utf8_lossy(&part[..count]);
    assert!(interim.starts_with("HTTP/1.1 100"), "{interim}");
    stream.write_all(b"hello").expect("sent");
    let count = stream.read(&mut part).expect("an answer");
    let answer = String::from_utf8_lossy(&part[..count]);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("hello"), "{answer}");
}

/// Guards against request smuggling: a request whose end is ambiguous is
/// refused, and what follows it on the connection is not run.
#[test]
fn smuggling_refused() {
    let stage = Stage::start(1);
    let path = Proxy::path("/x");
    let heads = [
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "content-length: 3\r\ncontent-length: 4\r\n",
        "content-length: +3\r\n",
        "transfer-encoding: chunked, identity\r\n",
        "transfer-encoding: xchunked\r\n",
        "transfer-encoding : chunked\r\n",
    ];
    for head in heads {
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\n{head}\r\n0\r\n\r\n\
             GET {path}?smuggled HTTP/1.1\r\nhost: x\r\n\r\n"
        );
        let answer = send_raw(&stage.proxy, &text);
        assert!(answer.starts_with("HTTP/1.1 400"), "{head}: {answer}");
    }
    assert!(stage.runner(0).log().to_vec().is_empty());
}

/// An answer without a length is refused, since a truncated one would look
/// complete.
#[test]
fn unframed_answer() {
    let (address, _received) =
        raw_runner("HTTP/1.1 200 OK\r\nx: y\r\n\r\nhow long is this");
    let proxy = proxy_before(address);
    run(async {
        let request = CallerRequest::post(Proxy::path("/x"), "body");
        let answer = call(&proxy, request, "u").await.expect("an answer");
        assert_eq!(answer.status, 502);
        assert_eq!(answer.header("limpet-run"), Some("unknown"));
    });
}

/// Repeats `step`, which moves bytes, until it blocks for longer than its
/// time-out or the connection ends. Returns the number of bytes moved.
fn until_blocked(mut step: impl FnMut() -> std::io::Result<usize>) -> usize {
    let mut moved = 0;
    loop {
        match step() {
            Ok(0) => return moved,
            Ok(count) => moved += count,
            Err(err) if err.kind() == ErrorKind::WouldBlock => return moved,
            Err(err) => panic!("{err}"),
        }
        assert!(moved <= BUFFERED_LIMIT_BYTES, "unbounded: {moved} bytes");
    }
}

/// Guards against unbounded buffering of a body that the runner doesn't read.
#[test]
fn upload_held_back() {
    // The runner accepts connections but reads nothing.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let proxy = proxy_before(listener.local_addr().expect("an address"));
    let mut stream = TcpStream::connect(proxy.address).expect("connected");
    let timeout = Some(Duration::from_millis(500));
    stream.set_write_timeout(timeout).expect("a timeout");
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: x\r\ncontent-length: 900000000\r\n\r\n",
        Proxy::path("/x")
    );
    stream.write_all(head.as_bytes()).expect("sent");
    let part = vec![b'u'; 64 * 1_024];
    let moved = until_blocked(|| stream.write(&part));
    assert!(moved > 0);
}

/// Guards against unbounded buffering of an answer that the caller doesn't
/// read.
#[test]
fn download_held_back() {
    // The runner writes as much as it can, but the caller reads nothing.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let proxy = proxy_before(listener.local_addr().expect("an address"));
    let mut caller = TcpStream::connect(proxy.address).expect("connected");
    let head =
        format!("GET {} HTTP/1.1\r\nhost: x\r\n\r\n", Proxy::path("/x"));
    caller.write_all(head.as_bytes()).expect("sent");
    let (mut stream, _) = listener.accept().expect("a connection");
    let timeout = Some(Duration::from_millis(500));
    stream.set_write_timeout(timeout).expect("a timeout");
    let mut part = vec![b'd'; 64 * 1_024];
    let read = stream.read(&mut part).expect("a request");
    assert!(read > 0);
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 900000000\r\n\r\n")
        .expect("sent");
    let moved = until_blocked(|| stream.write(&part));
    assert!(moved > 0);
}
