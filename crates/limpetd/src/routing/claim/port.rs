use std::sync::Arc;

use futures::future::BoxFuture;
use limpet_core::{
    Error, ErrorKind, Result,
    claim::{Claim, ClaimOutcome, ClaimRequest},
    table::Transaction,
};
use tokio::sync::{mpsc, oneshot};

use super::ClaimServer;

/// How many calls may wait for the control thread.
const CALLS_LIMIT: usize = 1_024;

/// What every closure of a [`ClaimPort`] returns.
pub type ClaimFuture<T> = BoxFuture<'static, Result<T>>;

/// What a request may do after its claim.
#[derive(Clone, Debug)]
pub enum ClaimGrant {
    /// It may be sent, once; the claim makes the transaction that ends it.
    Send(Box<Claim>),
    /// It ran before and was answered with this.
    Replay(ClaimOutcome),
}

/// The claims of requests with an idempotency key, as a traffic thread
/// reaches them.
#[derive(Clone)]
pub struct ClaimPort {
    /// Asks for the right to send a request. A caller that stops waiting
    /// needs to do no more: a claim that is granted later is given back.
    pub claim:
        Arc<dyn Fn(ClaimRequest) -> ClaimFuture<ClaimGrant> + Send + Sync>,
    /// Commits the transaction that keeps an outcome or gives a claim back.
    pub settle: Arc<dyn Fn(Transaction) -> ClaimFuture<()> + Send + Sync>,
}

/// A call on its way to the control thread.
pub(super) enum ClaimCall {
    Claim(ClaimRequest, oneshot::Sender<Result<ClaimGrant>>),
    Settle(Transaction, oneshot::Sender<Result<()>>),
}

/// Returns a port for any number of traffic threads and the server for the
/// control thread.
pub fn claim_channel() -> (ClaimPort, ClaimServer) {
    let (calls, receiver) = mpsc::channel(CALLS_LIMIT);
    let claims = calls.clone();
    let port = ClaimPort {
        claim: Arc::new(move |request| {
            call(&claims, |reply| ClaimCall::Claim(request, reply))
        }),
        settle: Arc::new(move |transaction| {
            call(&calls, |reply| ClaimCall::Settle(transaction, reply))
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
                ErrorKind::StoreUnavailable,
                "the control thread ended before it replied",
            ))
        })
    })
}
