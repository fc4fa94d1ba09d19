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

/// The first bound of the wait after a failed call.
const BACKOFF_BASE_MS: u64 = 20;
/// The largest bound of that wait.
const BACKOFF_CAP_MS: u64 = 2_000;
/// How many failed calls in a row end the work on one claim.
const FAILURES_LIMIT: u32 = 100;

/// Serves claims from the table, on the control thread.
pub struct ClaimServer {
    calls: mpsc::Receiver<ClaimCall>,
}

/// What the calls of one server share.
struct Shared {
    table: TablePort,
    holder: Holder,
    wall_clock: Clock,
}

impl ClaimServer {
    pub(super) fn new(calls: mpsc::Receiver<ClaimCall>) -> ClaimServer {
        ClaimServer { calls }
    }

    /// Serves until every port is dropped. Calls are served side by side,
    /// on the thread that calls this.
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

async fn answer(shared: &Shared, call: ClaimCall) {
    match call {
        ClaimCall::Claim(request, reply) => {
            let granted = claim(shared, request).await;
            let unwanted = reply.send(granted).err();
            if let Some(Ok(ClaimGrant::Send(claim))) = unwanted {
                // Nobody waits any more, so the request never left.
                give_back(shared, &claim).await;
            }
        }
        ClaimCall::Settle(transaction, reply) => {
            let settled = settle(shared, transaction).await;
            // A caller that no longer waits needs no reply.
            drop(reply.send(settled));
        }
    }
}

async fn give_back(shared: &Shared, claim: &Claim) {
    if let Some(transaction) = claim.release() {
        // Left as it is, the claim only makes a repeat read `pending`.
        drop(settle(shared, transaction).await);
    }
}

async fn claim(shared: &Shared, request: ClaimRequest) -> Result<ClaimGrant> {
    let token = format!("claim-{:032x}", rand::random::<u128>());
    let wall_now = shared.wall_clock.now();
    let holder = shared.holder.clone();
    let (mut claim, mut step) = Claim::new(request, holder, token, wall_now);
    let mut pause = Pause::new();
    loop {
        step = match step {
            ClaimStep::Commit(transaction) => {
                let answer = (shared.table.commit)(transaction).await;
                pause.after(&answer).await?;
                let answer = answer.map_err(|err| StoreFault::from(&err));
                claim.on_commit(answer)
            }
            ClaimStep::Read(key) => {
                let answer = (shared.table.read)(key).await;
                pause.after(&answer).await?;
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

async fn settle(shared: &Shared, transaction: Transaction) -> Result<()> {
    let mut settlement = Settlement::new(transaction.clone());
    let mut step = SettlementStep::Resend;
    let mut pause = Pause::new();
    loop {
        step = match step {
            SettlementStep::Resend => {
                let answer = (shared.table.commit)(transaction.clone()).await;
                pause.after(&answer).await?;
                let answer = answer.map_err(|err| StoreFault::from(&err));
                settlement.on_commit(answer)
            }
            SettlementStep::Read(key) => {
                let answer = (shared.table.read)(key).await;
                pause.after(&answer).await?;
                let answer = answer.map_err(|err| StoreFault::from(&err));
                settlement.on_read(answer)
            }
            SettlementStep::Done(Settled::Committed { .. }) => return Ok(()),
            SettlementStep::Done(Settled::Conflict { key }) => {
                return Err(Error::new(
                    ErrorKind::Conflict,
                    format!("the row `{key}` was changed by another"),
                ));
            }
        };
    }
}

/// The wait before a call that follows a failed one.
struct Pause {
    backoff: Backoff,
}

impl Pause {
    fn new() -> Pause {
        Pause { backoff: Backoff::new(BACKOFF_BASE_MS, BACKOFF_CAP_MS) }
    }

    /// Waits where `answer` is a failure.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StoreUnavailable`] after too many failures in a row.
    async fn after<T, E>(
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
                "the table can't be reached; nothing was sent",
            ));
        }
        sleep(Duration::from_millis(wait_ms)).await;
        Ok(())
    }
}
