use std::time::Duration;

use awc::{ClientRequest, ClientResponse, http::StatusCode};
use bytes::Bytes;
use limpet_core::Revision;
use limpet_wire::{CommandAnswer, ErrorBody, SubmitAnswer};
use serde::de::DeserializeOwned;

use crate::Failure;

/// The largest answer that is taken in, in bytes: `show tasks` of a full
/// cell of the target size, several times over.
const ANSWER_LIMIT_BYTES: usize = 256 * 1024 * 1024;

/// The header of a submission that is only to be checked.
const DRY_RUN_HEADER: &str = "limpet-dry-run";
/// The header that names the only revision at which a job is accepted.
const IF_REVISION_HEADER: &str = "limpet-if-revision";
/// The header that names a refusal.
const REFUSAL_HEADER: &str = "limpet-refusal";

/// The link to one instance.
pub struct Client {
    address: String,
    http: awc::Client,
}

impl Client {
    /// Returns a client of the instance at `address`, written `IP:PORT`,
    /// that presents `key` with each request and waits at most `timeout_ms`
    /// for an answer.
    pub fn new(address: &str, key: Option<&str>, timeout_ms: u64) -> Client {
        let timeout = Duration::from_millis(timeout_ms);
        let mut builder = awc::Client::builder().timeout(timeout);
        if let Some(key) = key {
            builder = builder.bearer_auth(key.trim());
        }
        Client { address: address.to_owned(), http: builder.finish() }
    }

    /// Returns the address of the instance.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends a command.
    ///
    /// # Errors
    ///
    /// [`Failure::Refused`] with what the cell says, or
    /// [`Failure::Unreachable`].
    pub async fn command(
        &self,
        command: &str,
    ) -> Result<CommandAnswer, Failure> {
        let request = self.request("/v1/command").content_type("text/plain");
        self.send(request, command.to_owned()).await
    }

    /// Submits a job file.
    ///
    /// # Errors
    ///
    /// As for [`Client::command`].
    pub async fn submit(
        &self,
        job: String,
        if_revision: Option<Revision>,
    ) -> Result<SubmitAnswer, Failure> {
        let request = self.job_request(if_revision);
        self.send(request, job).await
    }

    /// Asks whether a job file would be accepted.
    ///
    /// # Errors
    ///
    /// As for [`Client::command`].
    pub async fn check_job(
        &self,
        job: String,
        if_revision: Option<Revision>,
    ) -> Result<CommandAnswer, Failure> {
        let request = self.job_request(if_revision);
        let request = request.insert_header((DRY_RUN_HEADER, "true"));
        self.send(request, job).await
    }

    fn job_request(&self, if_revision: Option<Revision>) -> ClientRequest {
        let request =
            self.request("/v1/jobs").content_type("application/toml");
        match if_revision {
            None => request,
            Some(revision) => request
                .insert_header((IF_REVISION_HEADER, revision.to_string())),
        }
    }

    fn request(&self, path: &str) -> ClientRequest {
        self.http.post(format!("http://{}{path}", self.address))
    }

    async fn send<T: DeserializeOwned>(
        &self,
        request: ClientRequest,
        body: String,
    ) -> Result<T, Failure> {
        let unreachable = |err: &dyn std::fmt::Display| {
            Failure::Unreachable(format!("{}: {err}", self.address))
        };
        let mut response =
            request.send_body(body).await.map_err(|err| unreachable(&err))?;
        let body =
            read_body(&mut response).await.map_err(|err| unreachable(&err))?;
        let refusal = response.headers().get(REFUSAL_HEADER);
        let refusal = refusal.and_then(|id| id.to_str().ok());
        read_answer(response.status(), &body, refusal).map_err(|err| match err
        {
            Failure::Unreachable(message) => unreachable(&message),
            other => other,
        })
    }
}

async fn read_body<S>(
    response: &mut ClientResponse<S>,
) -> Result<Bytes, awc::error::PayloadError>
where
    S: futures::Stream<Item = Result<Bytes, awc::error::PayloadError>>,
{
    response.body().limit(ANSWER_LIMIT_BYTES).await
}

fn read_answer<T: DeserializeOwned>(
    status: StatusCode,
    body: &[u8],
    refusal: Option<&str>,
) -> Result<T, Failure> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(|err| {
            Failure::Unreachable(format!("not a limpetd answer: {err}"))
        });
    }
    let refused: ErrorBody = serde_json::from_slice(body).map_err(|err| {
        Failure::Unreachable(format!("status {status}, no refusal: {err}"))
    })?;
    let id = refusal.map(str::to_owned);
    Err(Failure::Refused(refused, id))
}
