//! Sends calls over HTTP and tells whether a failed one may have had an
//! effect.

use std::{rc::Rc, time::Duration};

use actix_http::{Method, StatusCode};
use awc::{
    Client, Connector,
    error::{ConnectError, SendRequestError},
};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use serde::{Serialize, de::DeserializeOwned};

use super::{
    message::{DATA_CENTRE_HEADER, EFFECT_HEADER, NO_EFFECT},
    options::HttpOptions,
};
use crate::port::PortError;

/// How long an idle connection is kept. Servers keep theirs for longer, so a
/// call rarely uses a connection that the server is just closing.
const KEEP_ALIVE_MS: u64 = 3_000;

/// The bandwidth to allow for when the body of a request is uploaded.
const UPLOAD_BYTES_PER_MS: u64 = 500;

/// A complete answer.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

/// An HTTP client for the platform and its workers, for one thread.
#[derive(Clone)]
pub(super) struct Caller {
    client: Client,
    options: Rc<HttpOptions>,
}

impl Caller {
    pub(super) fn new(options: HttpOptions) -> Caller {
        let connector = Connector::new()
            .timeout(Duration::from_millis(options.get_connect_timeout_ms()))
            .conn_keep_alive(Duration::from_millis(KEEP_ALIVE_MS));
        let mut builder =
            Client::builder().connector(connector).disable_redirects();
        if let Some(data_centre) = options.get_data_centre() {
            let header = (DATA_CENTRE_HEADER, data_centre.as_str());
            builder = builder.add_default_header(header);
        }
        Caller { client: builder.finish(), options: Rc::new(options) }
    }

    /// Returns the URL of a path at the platform's address.
    pub(super) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.options.get_address())
    }

    /// Posts a JSON body, as [`Caller::send`], and decodes the JSON body of
    /// the answer.
    pub(super) async fn post<B: Serialize, A: DeserializeOwned>(
        &self,
        url: String,
        body: &B,
    ) -> Result<A, PortError> {
        let answer = self.send(Method::POST, url, encode(body)?).await?;
        decode(&answer)
    }

    /// Posts a JSON body, as [`Caller::fetch`], and decodes the JSON body of
    /// the answer.
    pub(super) async fn post_read<B: Serialize, A: DeserializeOwned>(
        &self,
        url: String,
        body: &B,
    ) -> Result<A, PortError> {
        let answer = self.fetch(Method::POST, url, encode(body)?).await?;
        decode(&answer)
    }

    /// Sends a request and receives the complete answer within the time-out
    /// and the time to upload `body`.
    pub(super) async fn send(
        &self,
        method: Method,
        url: String,
        body: Bytes,
    ) -> Result<Answer, PortError> {
        let upload_ms = body.len() as u64 / UPLOAD_BYTES_PER_MS;
        let limit_ms = self.options.get_timeout_ms() + upload_ms;
        let answer = self.exchange(method, url, body, limit_ms);
        within(limit_ms, answer).await?
    }

    /// Like [`Caller::send`], for a read, whose answer may be long: the
    /// time-out bounds the wait for the head of the answer and each pause
    /// within it.
    pub(super) async fn fetch(
        &self,
        method: Method,
        url: String,
        body: Bytes,
    ) -> Result<Answer, PortError> {
        let timeout_ms = self.options.get_timeout_ms();
        let answer = self.exchange(method, url, body, timeout_ms);
        within(self.options.get_max_read_ms(), answer).await?
    }

    /// Sends a request and receives its answer. Each wait for more of it may
    /// take `wait_ms`.
    async fn exchange(
        &self,
        method: Method,
        url: String,
        body: Bytes,
        wait_ms: u64,
    ) -> Result<Answer, PortError> {
        let mut response = self
            .client
            .request(method, &url)
            .timeout(Duration::from_millis(wait_ms))
            .send_body(body)
            .await
            .map_err(|err| send_error(&err))?;
        let status = response.status();
        let no_effect = response
            .headers()
            .get(EFFECT_HEADER)
            .is_some_and(|value| value.as_bytes() == NO_EFFECT.as_bytes());
        let mut body = BytesMut::new();
        while let Some(part) = within(wait_ms, response.next()).await? {
            let part = part.map_err(|err| {
                PortError::Unknown(format!("answer cut off: {err}"))
            })?;
            body.extend_from_slice(&part);
            if body.len() > self.options.answer_limit_bytes() {
                let why = "the answer is too long".to_owned();
                return Err(PortError::Unknown(why));
            }
        }
        let body = body.freeze();
        if no_effect {
            let why = String::from_utf8_lossy(&body).into_owned();
            return Err(PortError::Unavailable(why));
        }
        Ok(Answer { status, body })
    }
}

/// Waits for a part of an answer for up to `limit_ms`.
async fn within<T>(
    limit_ms: u64,
    part: impl Future<Output = T>,
) -> Result<T, PortError> {
    let limit = Duration::from_millis(limit_ms);
    actix_rt::time::timeout(limit, part).await.map_err(|_| {
        PortError::Unknown(format!("no answer within {limit_ms} ms"))
    })
}

fn encode(body: &impl Serialize) -> Result<Bytes, PortError> {
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(|err| PortError::Unavailable(err.to_string()))
}

/// Decodes the JSON body of a successful answer.
fn decode<A: DeserializeOwned>(answer: &Answer) -> Result<A, PortError> {
    expect_ok(answer)?;
    serde_json::from_slice(&answer.body).map_err(|err| {
        PortError::Unknown(format!("answer can't be decoded: {err}"))
    })
}

/// Checks that an answer is a success. Any other status leaves the outcome
/// unknown: it may come from a proxy after the platform carried the call
/// out.
pub(super) fn expect_ok(answer: &Answer) -> Result<(), PortError> {
    if answer.status == StatusCode::OK {
        return Ok(());
    }
    Err(PortError::Unknown(format!("answered with status {}", answer.status)))
}

/// Maps errors from before the request was sent to [`PortError::Unavailable`]
/// and all others to [`PortError::Unknown`].
///
/// `ConnectError::Disconnected` is one of the others: the client reports it
/// when a connection closes after it carried the request.
fn send_error(err: &SendRequestError) -> PortError {
    match err {
        SendRequestError::Url(_)
        | SendRequestError::Connect(
            ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Unresolved
            | ConnectError::Timeout
            | ConnectError::Io(_),
        ) => PortError::Unavailable(err.to_string()),
        _ => PortError::Unknown(err.to_string()),
    }
}
