//! The server of claims, which runs on the control thread.

use std::{rc::Rc, time::Duration};

use limpet_core::{
    Error, ErrorKind, Result,
    claim::{Claim, ClaimRequest, ClaimStep},
    ownership::Holder,
    table::{
        Backoff, Settled, Settlement, SettlementStep, StoreFault, Transaction,
    },
};
use limpet_platform::{Clock, TablePort};
use tokio::{sync::mpsc, time::sleep};

use super::{ClaimGrant, port::ClaimCall};

/// The initial limit of the random back-off after a failed call, in
/// milliseconds.
const BACKOFF_BASE_MS: u64 = 20;
/// The largest limit of that back-off, in milliseconds.
const BACKOFF_CAP_MS: u64 = 2_000;
/// How many calls to the table may fail in a row before a claim, or the
/// transaction that ends one, fails.
const FAILURES_LIMIT: u32 = 100;

/// Makes claims in the table for the traffic threads, on the control thread.
pub struct ClaimServer {
    calls: mpsc::Receiver<ClaimCall>,
}

/// What all calls of a server share.
struct Shared {
    table: TablePort,
    holder: Holder,
    wall_clock: Clock,
}

impl ClaimServer {
    pub(super) fn new(calls: mpsc::Receiver<ClaimCall>) -> ClaimServer {
        ClaimServer { calls }
    }

    /// Serves calls until every port is dropped. Each call is a task of its
    /// own, on the thread that calls this.
    pub async fn serve(
        mut self,
        table: TablePort,
        holder: Holder,
        wall_clock: Clock,
    ) {
        let shared = Rc::new(Shared { table, holder, wall_clock });
        while let Some(call) = self.calls.recv().await {
            let shared = Rc::clone(&shared);
            actix_rt::spawn(async move { answer(&shared, call).await });
        }
    }
}

/// Carries out a call and sends its reply.
async fn answer(shared: &Shared, call: ClaimCall) {
    match call {
        ClaimCall::Claim(request, reply) => {
            let granted = claim(shared, request).await;
            let unsent = reply.send(granted).err();
            if let Some(Ok(ClaimGrant::Send(claim))) = unsent {
                // The caller has stopped waiting and never sent the request.
                release_unsent(shared, &claim).await;
            }
        }
        ClaimCall::Settle(transaction, reply) => {
            let settled = settle(shared, transaction).await;
            // It doesn't matter if the caller has stopped waiting.
            drop(reply.send(settled));
        }
    }
}

/// Releases a claim whose request was never sent.
async fn release_unsent(shared: &Shared, claim: &Claim) {
    if let Some(transaction) = claim.release() {
        // On a failure the claim stays, and a repeat is told that the outcome
        // isn't known.
        drop(settle(shared, transaction).await);
    }
}

/// Carries out the steps of a claim until it is granted or refused.
async fn claim(shared: &Shared, request: ClaimRequest) -> Result<ClaimGrant> {
    let token = format!("claim-{:032x}", rand::random::<u128>());
    let wall_now = shared.wall_clock.now();
    let holder = shared.holder.clone();
    let (mut claim, mut step) = Claim::new(request, holder, token, wall_now);
    let mut backoff = CallBackoff::new();
    loop {
        step = match step {
            ClaimStep::Commit(transaction) => {
                let answer = (shared.table.commit)(transaction).await;
                backoff.wait_after(&answer).await?;
                let answer = answer.map_err(|err| StoreFault::from(&err));
                claim.on_commit(answer)
            }
            ClaimStep::Read(key) => {
                let answer = (shared.table.read)(key).await;
                backoff.wait_after(&answer).await?;
                claim.on_read(answer.map_err(|err| StoreFault::from(&err)))
            }
            ClaimStep::Granted => {
                return Ok(ClaimGrant::Send(Box::new(claim)));
            }
            ClaimStep::Replay(outcome) => {
                return Ok(ClaimGrant::Replay(outcome));
            }
            ClaimStep::Refused(err) => return Err(err),
        };
    }
}

/// Commits the transaction that ends a claim.
///
/// # Errors
///
/// [`ErrorKind::Conflict`] if the claim's row was changed meanwhile, and
/// [`ErrorKind::StoreUnavailable`] after too many failures.
async fn settle(shared: &Shared, transaction: Transaction) -> Result<()> {
    let mut settlement = Settlement::new(transaction.clone());
    let mut step = SettlementStep::Resend;
    let mut backoff = CallBackoff::new();
    loop {
        step = match step {
            SettlementStep::Resend => {
                let answer = (shared.table.commit)(transaction.clone()).await;
                backoff.wait_after(&answer).await?;
                let answer = answer.map_err(|err| StoreFault::from(&err));
                settlement.on_commit(answer)
            }
            SettlementStep::Read(key) => {
                let answer = (shared.table.read)(key).await;
                backoff.wait_after(&answer).await?;
                let answer = answer.map_err(|err| StoreFault::from(&err));
                settlement.on_read(answer)
            }
            SettlementStep::Done(Settled::Committed { .. }) => return Ok(()),
            SettlementStep::Done(Settled::Conflict { key }) => {
                return Err(Error::new(
                    ErrorKind::Conflict,
                    format!("row `{key}` was changed by another transaction"),
                ));
            }
        };
    }
}

/// The back-off between calls to the table.
struct CallBackoff {
    backoff: Backoff,
}

impl CallBackoff {
    fn new() -> CallBackoff {
        CallBackoff { backoff: Backoff::new(BACKOFF_BASE_MS, BACKOFF_CAP_MS) }
    }

    /// Waits if `answer` is a failure.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StoreUnavailable`] after too many failures in a row.
    async fn wait_after<T, E>(
        &mut self,
        answer: &std::result::Result<T, E>,
    ) -> Result<()> {
        if answer.is_ok() {
            self.backoff.succeed();
            return Ok(());
        }
        let wait_ms = self.backoff.fail(rand::random());
        if self.backoff.failures() > FAILURES_LIMIT {
            return Err(Error::new(
                ErrorKind::StoreUnavailable,
                "calls to the table keep failing",
            ));
        }
        sleep(Duration::from_millis(wait_ms)).await;
        Ok(())
    }
}
