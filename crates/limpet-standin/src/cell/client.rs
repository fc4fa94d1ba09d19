use std::{fmt, net::SocketAddr, time::Duration};

use actix_http::StatusCode;
use awc::ClientRequest;
use bytes::Bytes;
use limpet_wire::{CommandAnswer, ErrorBody, SubmitAnswer};
use serde::de::DeserializeOwned;

use super::settings::OPERATOR_KEY;

/// The time-out of a call.
const TIMEOUT_MS: u64 = 10_000;

/// Why a call failed.
#[derive(Clone, Debug)]
pub enum CallError {
    /// The daemon refused it.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The error response.
        body: ErrorBody,
    },
    /// No complete answer arrived, or it can't be decoded.
    NoAnswer(String),
}

/// A client of one daemon, for a thread that runs an `actix_rt` system.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    key: Option<String>,
    client: awc::Client,
}

impl Client {
    /// Returns a client that uses the first operator's key.
    pub fn new(address: SocketAddr) -> Client {
        let client = awc::Client::builder()
            .timeout(Duration::from_millis(TIMEOUT_MS))
            .disable_redirects()
            .finish();
        let key = Some(OPERATOR_KEY.to_owned());
        Client { address, key, client }
    }

    /// Returns a client of the same daemon that uses another key, or none.
    pub fn with_key(&self, key: Option<&str>) -> Client {
        Client { key: key.map(str::to_owned), ..self.clone() }
    }

    /// Submits a job file.
    ///
    /// # Errors
    ///
    /// [`CallError::Refused`] if the daemon refused the call, and
    /// [`CallError::NoAnswer`] if its outcome is unknown.
    pub async fn submit(&self, job: &str) -> Result<SubmitAnswer, CallError> {
        let request = self.post("/v1/jobs");
        send(request, job.to_owned()).await
    }

    /// Submits a job file under an idempotency key.
    ///
    /// # Errors
    ///
    /// As [`Client::submit`].
    pub async fn submit_once(
        &self,
        token: &str,
        job: &str,
    ) -> Result<SubmitAnswer, CallError> {
        let request = self.post("/v1/jobs");
        let request = request.insert_header(("idempotency-key", token));
        send(request, job.to_owned()).await
    }

    /// Sends a command of the operators' command language.
    ///
    /// # Errors
    ///
    /// As [`Client::submit`].
    pub async fn command(
        &self,
        command: &str,
    ) -> Result<CommandAnswer, CallError> {
        let request = self.post("/v1/command");
        send(request, command.to_owned()).await
    }

    /// Reads the daemon's counters.
    ///
    /// # Errors
    ///
    /// As [`Client::submit`].
    pub async fn metrics(&self) -> Result<serde_json::Value, CallError> {
        let request = self.client.get(self.url("/v1/metrics"));
        send(request, String::new()).await
    }

    /// Sends a GET request without a key and returns the status and the body,
    /// whatever the status is.
    ///
    /// # Errors
    ///
    /// [`CallError::NoAnswer`] if no complete answer arrived.
    pub async fn call_service(
        &self,
        path: &str,
    ) -> Result<(u16, Bytes), CallError> {
        receive(self.client.get(self.url(path)), String::new()).await
    }

    /// Reports whether the daemon answers its health check with 200.
    pub async fn is_ready(&self) -> bool {
        let request = self.client.get(self.url("/v1/health"));
        matches!(receive(request, String::new()).await, Ok((200, _)))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn post(&self, path: &str) -> ClientRequest {
        let request = self.client.post(self.url(path));
        match &self.key {
            None => request,
            Some(key) => request
                .insert_header(("authorization", format!("Bearer {key}"))),
        }
    }
}

/// Sends a request and decodes the answer, or the error response of a status
/// other than 2xx.
async fn send<T: DeserializeOwned>(
    request: ClientRequest,
    body: String,
) -> Result<T, CallError> {
    let (status, body) = receive(request, body).await?;
    let undecodable = |err: serde_json::Error| {
        let text = String::from_utf8_lossy(&body);
        CallError::NoAnswer(format!("status {status}, {err}: {text}"))
    };
    if (200..300).contains(&status) {
        return serde_json::from_slice(&body).map_err(undecodable);
    }
    let body = serde_json::from_slice(&body).map_err(undecodable)?;
    Err(CallError::Refused { status, body })
}

/// Sends a request and returns the status and the body of the answer.
async fn receive(
    request: ClientRequest,
    body: String,
) -> Result<(u16, Bytes), CallError> {
    let no_answer =
        |why: &dyn fmt::Display| CallError::NoAnswer(why.to_string());
    let mut response =
        request.send_body(body).await.map_err(|err| no_answer(&err))?;
    let status: StatusCode = response.status();
    let body = response.body().await.map_err(|err| no_answer(&err))?;
    Ok((status.as_u16(), body))
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Refused { status, body } => {
                write!(
                    f,
                    "status {status}, {:?}: {}",
                    body.error, body.message
                )
            }
            CallError::NoAnswer(why) => write!(f, "no complete answer: {why}"),
        }
    }
}

impl std::error::Error for CallError {}
