//! HTTP/1.1 over loopback TCP: a server with a thread for each connection,
//! which can be cut off like a process that dies, and a client.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Clone, Debug)]
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map_or("", |(_, value)| value)
    }

    /// Returns a field of the query, percent-decoded; empty if missing.
    pub fn field(&self, name: &str) -> String {
        let pair = self.query.split('&').filter_map(|p| p.split_once('='));
        let found = pair.into_iter().find(|(key, _)| *key == name);
        found.map_or(String::new(), |(_, value)| percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A status and a JSON body; `None` is a call that is never answered.
pub type Answer = Option<(u16, String)>;

pub struct Server {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Listens on a free port of 127.0.0.1.
    pub fn start<H>(handle: H) -> io::Result<Server>
    where
        H: Fn(&Request) -> Answer + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let closed = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let handle = Arc::new(handle);
        let (ended, open) = (Arc::clone(&closed), Arc::clone(&streams));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                stream.set_nodelay(true).ok();
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (handle, ended) =
                    (Arc::clone(&handle), Arc::clone(&ended));
                thread::spawn(move || {
                    serve(&stream, &*handle, &ended).ok();
                    stream.shutdown(Shutdown::Both).ok();
                });
            }
        });
        Ok(Server { address, closed, streams })
    }

    /// Closes the port and all connections, as when the process dies.
    pub fn close(&self) {
        if self.closed.swap(true, Ordering::SeqCst) {
            return;
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
        // Wakes the listener, which ends and closes the port.
        TcpStream::connect(self.address).ok();
    }
}

fn serve(
    stream: &TcpStream,
    handle: &dyn Fn(&Request) -> Answer,
    closed: &AtomicBool,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let Some((status, body)) = handle(&request) else {
            // Holds the connection open until the caller gives up.
            let mut rest = [0; 64];
            while reader.read(&mut rest)? > 0 {}
            return Ok(());
        };
        if closed.load(Ordering::SeqCst) {
            return Ok(());
        }
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut out = stream;
        out.write_all(text.as_bytes())?;
    }
    Ok(())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let (headers, body) = read_rest(reader)?;
    Ok(Some(Request { path, query, headers, body }))
}

type Headers = Vec<(String, String)>;

fn read_rest(reader: &mut impl BufRead) -> io::Result<(Headers, String)> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_owned(), value.trim().to_owned()));
        }
    }
    let length = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Makes a call on a connection of its own. `None` if there is no answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout_ms: u64,
) -> Option<(u16, String)> {
    let timeout = Duration::from_millis(timeout_ms);
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(key, _)| *key == "Host") {
        text += &format!("Host: {address}\r\n");
    }
    for (key, value) in headers {
        text += &format!("{key}: {value}\r\n");
    }
    text += "Connection: close\r\n";
    if !body.is_empty() {
        text += "Content-Type: application/json\r\n";
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    let mut out = &stream;
    out.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(&stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, body) = read_rest(&mut reader).ok()?;
    Some((status, body))
}
