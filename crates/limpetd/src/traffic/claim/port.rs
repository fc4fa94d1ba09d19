use std::sync::Arc;

use futures::future::BoxFuture;
use limpet_core::{Error, ErrorKind, Result, routing::ClaimKey};
use tokio::sync::{mpsc, oneshot};

use super::{ClaimAnswer, ClaimCompletion, ClaimRequest, ClaimServer};

/// How many calls may wait for the control thread.
const CALLS_LIMIT: usize = 1_024;

/// What every closure of a [`ClaimPort`] returns.
pub type ClaimFuture<T> = BoxFuture<'static, Result<T>>;

/// The claims of requests with an idempotency key, as a traffic thread
/// reaches them.
#[derive(Clone)]
pub struct ClaimPort {
    /// Asks for the right to send a request.
    pub claim:
        Arc<dyn Fn(ClaimRequest) -> ClaimFuture<ClaimAnswer> + Send + Sync>,
    /// Keeps the answer of a claimed request.
    pub complete:
        Arc<dyn Fn(ClaimCompletion) -> ClaimFuture<()> + Send + Sync>,
    /// Gives a claim of this version back: the request certainly did not
    /// run.
    pub release:
        Arc<dyn Fn(ClaimKey, u64) -> ClaimFuture<()> + Send + Sync>,
}

/// A call on its way to the control thread.
pub(super) enum ClaimCall {
    Claim(ClaimRequest, oneshot::Sender<Result<ClaimAnswer>>),
    Complete(ClaimCompletion, oneshot::Sender<Result<()>>),
    Release(ClaimKey, u64, oneshot::Sender<Result<()>>),
}

/// Returns a port for any number of traffic threads and the server for the
/// control thread.
pub fn claim_channel() -> (ClaimPort, ClaimServer) {
    let (calls, receiver) = mpsc::channel(CALLS_LIMIT);
    let (claims, completions, releases) =
        (calls.clone(), calls.clone(), calls);
    let port = ClaimPort {
        claim: Arc::new(move |request| {
            call(&claims, |reply| ClaimCall::Claim(request, reply))
        }),
        complete: Arc::new(move |completion| {
            call(&completions, |reply| ClaimCall::Complete(completion, reply))
        }),
        release: Arc::new(move |key, version| {
            call(&releases, |reply| ClaimCall::Release(key, version, reply))
        }),
    };
    (port, ClaimServer::new(receiver))
}

/// Sends a call and waits for its reply.
fn call<T: Send + 'static>(
    calls: &mpsc::Sender<ClaimCall>,
    call: impl FnOnce(oneshot::Sender<Result<T>>) -> ClaimCall,
) -> ClaimFuture<T> {
    let (reply, replied) = oneshot::channel();
    let sent = calls.try_send(call(reply));
    Box::pin(async move {
        sent.map_err(|_| {
            Error::new(
                ErrorKind::Overloaded,
                format!("{CALLS_LIMIT} calls wait for the claims already"),
            )
        })?;
        replied.await.unwrap_or_else(|_| {
            Err(Error::new(
                ErrorKind::StoreUnknown,
                "the control thread ended before it replied",
            ))
        })
    })
}
