//! A blocking HTTP/1.1 server and client for loopback addresses.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query's parameters, decoded.
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn param(&self, name: &str) -> &str {
        find(&self.query, name)
    }

    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn find<'a>(pairs: &'a [(String, String)], name: &str) -> &'a str {
    let found = pairs.iter().find(|(key, _)| key == name);
    found.map_or("", |(_, value)| value)
}

/// What a handler does with a request.
pub enum Action {
    Answer(u16, String),
    /// The connection stays open and delivers nothing further.
    Silent,
}

type Handler = Arc<dyn Fn(Request) -> Action + Send + Sync>;

/// A listener with its connections, which can be closed and opened again.
pub struct Server {
    pub address: SocketAddr,
    handler: Handler,
    open: Mutex<Option<Arc<AtomicBool>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(handler: Handler) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = Arc::new(Server {
            address,
            handler,
            open: Mutex::new(None),
            streams: Arc::default(),
        });
        server.serve(listener);
        server
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        if let Some(open) = self.open.lock().unwrap().take() {
            open.store(false, Ordering::SeqCst);
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
        thread::sleep(Duration::from_millis(10));
    }

    pub fn reopen(&self) {
        for _ in 0..200 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                return self.serve(listener);
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("{} can't be bound again", self.address);
    }

    fn serve(&self, listener: TcpListener) {
        let open = Arc::new(AtomicBool::new(true));
        *self.open.lock().unwrap() = Some(Arc::clone(&open));
        listener.set_nonblocking(true).expect("a listener");
        let handler = Arc::clone(&self.handler);
        let streams = Arc::clone(&self.streams);
        thread::spawn(move || {
            while open.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).ok();
                        stream.set_nodelay(true).ok();
                        if let Ok(copy) = stream.try_clone() {
                            streams.lock().unwrap().push(copy);
                        }
                        let handler = Arc::clone(&handler);
                        thread::spawn(move || connection(stream, handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }
}

fn connection(stream: TcpStream, handler: Handler) {
    let Ok(mut output) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        match handler(request) {
            Action::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n",
                    body.len()
                );
                if output.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Action::Silent => {
                // Waits until the peer closes the connection.
                let mut rest = [0; 1024];
                while input.read(&mut rest).is_ok_and(|count| count > 0) {}
                return;
            }
        }
    }
    output.shutdown(std::net::Shutdown::Both).ok();
}

fn read_request(input: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    if input.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_lowercase(), value.trim().to_owned()));
    }
    let length = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), percent_decode(value)))
        .collect();
    let path = path.to_owned();
    let body = String::from_utf8(body).ok()?;
    Some(Request { method, path, query, headers, body })
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex =
                std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("0");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request on a new connection. Returns the status and the body;
/// `None` without a complete answer within `timeout_ms`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout_ms: u64,
) -> Option<(u16, String)> {
    let limit = Duration::from_millis(timeout_ms);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok();
    let mut text =
        format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if headers.iter().all(|(name, _)| *name != "Host") {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}
