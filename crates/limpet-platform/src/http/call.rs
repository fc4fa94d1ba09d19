//! Sends calls over HTTP and tells whether a failed one may have had an
//! effect.

use std::{rc::Rc, time::Duration};

use actix_http::{Method, StatusCode};
use awc::{
    Client, Connector,
    error::{ConnectError, SendRequestError},
};
use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use super::{
    message::{DATA_CENTRE_HEADER, EFFECT_HEADER, NO_EFFECT},
    options::HttpOptions,
};
use crate::port::PortError;

/// How long an idle connection is kept. Servers keep theirs for longer, so a
/// call rarely uses a connection that the server is just closing.
const KEEP_ALIVE_MS: u64 = 3_000;

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
        let timeout = Duration::from_millis(options.get_timeout_ms());
        let mut builder = Client::builder()
            .connector(connector)
            .disable_redirects()
            .timeout(timeout);
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

    /// Posts a JSON body and decodes the JSON body of the answer.
    pub(super) async fn post<B: Serialize, A: DeserializeOwned>(
        &self,
        url: String,
        body: &B,
    ) -> Result<A, PortError> {
        let body = serde_json::to_vec(body)
            .map_err(|err| PortError::Unavailable(err.to_string()))?;
        let answer = self.send(Method::POST, url, Bytes::from(body)).await?;
        decode(&answer)
    }

    /// Sends a request and receives the complete answer within the time-out.
    pub(super) async fn send(
        &self,
        method: Method,
        url: String,
        body: Bytes,
    ) -> Result<Answer, PortError> {
        let timeout = Duration::from_millis(self.options.get_timeout_ms());
        let answer = self.send_untimed(method, url, body);
        // The client's own time-out covers the answer up to its headers only.
        match actix_rt::time::timeout(timeout, answer).await {
            Ok(answer) => answer,
            Err(_) => Err(PortError::Unknown(format!(
                "no answer within {} ms",
                self.options.get_timeout_ms()
            ))),
        }
    }

    async fn send_untimed(
        &self,
        method: Method,
        url: String,
        body: Bytes,
    ) -> Result<Answer, PortError> {
        let mut response = self
            .client
            .request(method, &url)
            .send_body(body)
            .await
            .map_err(|err| send_error(&err))?;
        let status = response.status();
        let no_effect = response
            .headers()
            .get(EFFECT_HEADER)
            .is_some_and(|value| value.as_bytes() == NO_EFFECT.as_bytes());
        let body = response
            .body()
            .limit(self.options.answer_limit_bytes())
            .await
            .map_err(|err| {
                PortError::Unknown(format!("answer cut off: {err}"))
            })?;
        if no_effect {
            let why = String::from_utf8_lossy(&body).into_owned();
            return Err(PortError::Unavailable(why));
        }
        Ok(Answer { status, body })
    }
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
