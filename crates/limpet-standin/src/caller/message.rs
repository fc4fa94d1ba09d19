use std::fmt;

use actix_http::Method;
use bytes::Bytes;

/// A request to send.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: Vec<(&'static str, String)>,
    pub(super) body: Bytes,
    pub(super) chunked: bool,
}

impl CallerRequest {
    /// Returns a request without a body.
    pub fn new(method: Method, path: impl Into<String>) -> CallerRequest {
        CallerRequest {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            chunked: false,
        }
    }

    /// Returns a GET request.
    pub fn get(path: impl Into<String>) -> CallerRequest {
        CallerRequest::new(Method::GET, path)
    }

    /// Returns a POST request.
    pub fn post(
        path: impl Into<String>,
        body: impl Into<Bytes>,
    ) -> CallerRequest {
        CallerRequest::new(Method::POST, path).body(body)
    }

    /// Adds a header. A header can be added several times.
    pub fn header(
        mut self,
        name: &'static str,
        value: impl fmt::Display,
    ) -> CallerRequest {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> CallerRequest {
        self.body = body.into();
        self
    }

    /// Sets whether the body is sent in chunks, without a content length.
    pub fn chunked(mut self, chunked: bool) -> CallerRequest {
        self.chunked = chunked;
        self
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The names, in lower case, and the values of the headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

impl CallerAnswer {
    /// Returns the first value of a header, whose name must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header == name)
            .map(|(_, value)| value.as_str())
    }
}

/// Why no complete answer arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerError {
    /// The connection closed before any part of an answer arrived.
    Closed,
    /// The connection closed or failed within the answer, after this many
    /// bytes of its body.
    Truncated(usize),
    /// The connection failed, the request isn't valid, or the head of the
    /// answer can't be parsed.
    Failed(String),
}

impl fmt::Display for CallerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallerError::Closed => {
                f.write_str("connection closed before the answer")
            }
            CallerError::Truncated(bytes) => {
                write!(f, "answer truncated after {bytes} bytes of its body")
            }
            CallerError::Failed(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for CallerError {}
