//! The port through which traffic threads make claims.

use std::sync::Arc;

use futures::future::BoxFuture;
use limpet_core::{
    Error, ErrorKind, Result,
    claim::{Claim, ClaimOutcome, ClaimRequest},
    table::Transaction,
};
use tokio::sync::{mpsc, oneshot};

use super::ClaimServer;

/// The most calls that may wait for the control thread. Further ones are
/// refused as overload.
const CALLS_LIMIT: usize = 1_024;

/// The result of a call to a [`ClaimPort`].
pub type ClaimFuture<T> = BoxFuture<'static, Result<T>>;

/// The result of asking for a claim.
#[derive(Clone, Debug)]
pub enum ClaimGrant {
    /// The request may be sent, once. The claim makes the transaction that
    /// ends it.
    Send(Box<Claim>),
    /// The request ran before, with this outcome.
    Replay(ClaimOutcome),
}

/// Makes and ends claims of requests with an idempotency key, for traffic
/// threads.
#[derive(Clone)]
pub struct ClaimPort {
    /// Asks for a claim, which is the right to send a request once. A caller
    /// may stop waiting at any time: a claim that is granted later is
    /// released.
    pub claim:
        Arc<dyn Fn(ClaimRequest) -> ClaimFuture<ClaimGrant> + Send + Sync>,
    /// Commits the transaction that stores an outcome or releases a claim.
    pub settle: Arc<dyn Fn(Transaction) -> ClaimFuture<()> + Send + Sync>,
}

/// A call to the control thread, with the channel for its reply.
pub(super) enum ClaimCall {
    Claim(ClaimRequest, oneshot::Sender<Result<ClaimGrant>>),
    Settle(Transaction, oneshot::Sender<Result<()>>),
}

/// Returns a port, which can be cloned for each traffic thread, and the server
/// for the control thread.
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
                format!("{CALLS_LIMIT} calls already wait for the claims"),
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
