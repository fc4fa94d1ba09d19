//! HTTP/1.1 on loopback addresses: a server with a thread for each
//! connection, and a client that opens a connection for each call.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use crate::json::Json;

/// A request that a server has read.
pub struct Call {
    pub path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: String,
}

/// What a server does with a request.
pub enum Answer {
    /// Answers with a status and a body.
    Reply(u16, String),
    /// Never answers, and delivers nothing further on the connection.
    Silence,
}

impl Answer {
    pub fn json(status: u16, body: &Json) -> Answer {
        Answer::Reply(status, body.to_string())
    }

    pub fn empty(status: u16) -> Answer {
        Answer::Reply(status, String::new())
    }
}

impl Call {
    pub fn field(&self, name: &str) -> &str {
        find(&self.query, name)
    }

    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn find<'a>(fields: &'a [(String, String)], name: &str) -> &'a str {
    fields
        .iter()
        .find(|(key, _)| key == name)
        .map_or("", |(_, value)| value.as_str())
}

/// Serves calls at a free port of 127.0.0.1 until the process ends.
pub fn serve(
    handle: impl Fn(Call) -> Answer + Clone + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || serve_connection(stream, &handle));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handle: &impl Fn(Call) -> Answer) {
    stream.set_nodelay(true).ok();
    let Ok(mut output) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(call) = read_call(&mut input) {
        match handle(call) {
            Answer::Reply(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\
                     Content-Type: application/json\r\n\r\n",
                    body.len()
                );
                let bytes = [head.as_bytes(), body.as_bytes()].concat();
                if output.write_all(&bytes).is_err() {
                    return;
                }
            }
            Answer::Silence => {
                let mut rest = Vec::new();
                input.read_to_end(&mut rest).ok();
                return;
            }
        }
    }
}

fn read_call(input: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    input.read_line(&mut line).ok().filter(|length| *length > 0)?;
    let mut words = line.split(' ');
    let target = words.nth(1)?.to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|length| *length > 0)?;
        match line.trim_end().split_once(':') {
            Some((name, value)) => headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned())),
            None => break,
        }
    }
    let length = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), decode_query(value)))
        .collect();
    let body = String::from_utf8(body).ok()?;
    Some(Call { path: path.to_owned(), query, headers, body })
}

fn decode_query(text: &str) -> String {
    let (mut decoded, mut at) = (Vec::new(), 0);
    let bytes = text.as_bytes();
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .filter(|_| bytes[at] == b'%')
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends a request, and returns the status and the body of the answer.
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
    let mut text =
        format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += "Content-Type: application/json\r\n";
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    read_answer(&mut BufReader::new(stream))
}

fn read_answer(input: &mut BufReader<TcpStream>) -> Option<(u16, String)> {
    let mut line = String::new();
    input.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|length| *length > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8(body).ok()?))
}
