use std::time::Duration;

use awc::{ClientRequest, ClientResponse, http::StatusCode};
use bytes::Bytes;
use limpet_core::Revision;
use limpet_wire::{CommandAnswer, ErrorBody, SubmitAnswer};
use serde::de::DeserializeOwned;

use crate::Failure;

/// The largest response body that the client reads, in bytes: several times
/// the size of `show tasks` for a full cell of the target size.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// The request header that has a job file checked without submitting it.
const DRY_RUN_HEADER: &str = "limpet-dry-run";
/// The request header with the only configuration revision at which the job
/// is accepted.
const IF_REVISION_HEADER: &str = "limpet-if-revision";
/// The response header with the id of a refusal, for `why refusal ID`.
const REFUSAL_HEADER: &str = "limpet-refusal";

/// An HTTP client of one instance, which answers for the whole cell.
pub struct Client {
    address: String,
    http: awc::Client,
}

impl Client {
    /// Returns a client of the instance at `address`, written `IP:PORT`.
    ///
    /// Each request carries `key`, written `ID:SECRET`, as its bearer token
    /// and fails after `timeout_ms` milliseconds without a response. Without
    /// a key, requests carry no token. No connection is opened yet.
    pub fn new(address: &str, key: Option<&str>, timeout_ms: u64) -> Client {
        let timeout = Duration::from_millis(timeout_ms);
        let mut builder = awc::Client::builder().timeout(timeout);
        if let Some(key) = key {
            builder = builder.bearer_auth(key.trim());
        }
        Client { address: address.to_owned(), http: builder.finish() }
    }

    /// Returns the address of the instance, as given to [`Client::new`].
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends one command of the operators' language and returns its answer.
    ///
    /// # Errors
    ///
    /// [`Failure::Refused`] with the error that the cell returned, or
    /// [`Failure::Unreachable`] if there was no response in time or it could
    /// not be read.
    pub async fn command(
        &self,
        command: &str,
    ) -> Result<CommandAnswer, Failure> {
        let request = self.request("/v1/command").content_type("text/plain");
        self.send(request, command.to_owned()).await
    }

    /// Submits `job`, the text of a job file in TOML.
    ///
    /// With `if_revision`, the job is accepted only while the cell's
    /// configuration is at this revision.
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

    /// Checks whether [`Client::submit`] would accept the job, without
    /// submitting it.
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
        let refusal_id = response.headers().get(REFUSAL_HEADER);
        let refusal_id = refusal_id.and_then(|id| id.to_str().ok());
        parse_response(response.status(), &body, refusal_id).map_err(|err| {
            match err {
                Failure::Unreachable(message) => unreachable(&message),
                other => other,
            }
        })
    }
}

async fn read_body<S>(
    response: &mut ClientResponse<S>,
) -> Result<Bytes, awc::error::PayloadError>
where
    S: futures::Stream<Item = Result<Bytes, awc::error::PayloadError>>,
{
    response.body().limit(MAX_RESPONSE_BYTES).await
}

fn parse_response<T: DeserializeOwned>(
    status: StatusCode,
    body: &[u8],
    refusal_id: Option<&str>,
) -> Result<T, Failure> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(|err| {
            Failure::Unreachable(format!(
                "response is not a valid limpetd answer: {err}"
            ))
        });
    }
    let error: ErrorBody = serde_json::from_slice(body).map_err(|err| {
        Failure::Unreachable(format!(
            "status {status} without a valid error body: {err}"
        ))
    })?;
    let id = refusal_id.map(str::to_owned);
    Err(Failure::Refused(error, id))
}
