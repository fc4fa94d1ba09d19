use super::{ClaimOutcome, ClaimRequest, ClaimRow, claim_day, claim_key};
use crate::{
    Error, ErrorKind, TimeMs,
    ownership::Holder,
    table::{
        CommitAnswer, Row, Settled, Settlement, SettlementStep, StoreFault,
        Transaction,
    },
};

/// An action that a [`Claim`] asks its caller to perform, or its result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// Send this transaction, after a back-off if the last call failed, and
    /// pass the result to [`Claim::on_commit`].
    Commit(Transaction),
    /// Read the row with this key, after a back-off if the last call failed,
    /// and pass the result to [`Claim::on_read`].
    Read(String),
    /// The claim is granted; the request may be sent to a runner once.
    Granted,
    /// The request has run before; its caller gets this outcome.
    Replay(ClaimOutcome),
    /// The request must not be sent; its caller gets this error.
    Refused(Error),
}

/// The state machine that obtains the claim of one request.
///
/// If the request's deadline passes first, the request was never sent to a
/// runner, and its caller gets [`Claim::abandon_error`].
#[derive(Clone, Debug)]
pub struct Claim {
    request: ClaimRequest,
    holder: Holder,
    day: u64,
    attempts: u64,
    /// The start of the tokens of this claim's transactions.
    token: String,
    settlement: Settlement,
    /// The key of the row that holds an earlier claim, once one is known.
    conflict: Option<String>,
    /// The version of the claim row, once the claim is granted.
    version: Option<u64>,
}

impl Claim {
    /// Returns the claim and its first step. `token` has to be unique among
    /// all transactions.
    pub fn new(
        request: ClaimRequest,
        holder: Holder,
        token: impl Into<String>,
        wall_now: TimeMs,
    ) -> (Claim, ClaimStep) {
        let mut claim = Claim {
            request,
            holder,
            day: claim_day(wall_now),
            attempts: 0,
            token: token.into(),
            settlement: Settlement::new(Transaction::default()),
            conflict: None,
            version: None,
        };
        let step = claim.attempt();
        (claim, step)
    }

    /// Starts a new attempt, whose transaction has a token of its own.
    fn attempt(&mut self) -> ClaimStep {
        self.attempts += 1;
        let token = format!("{}/{}", self.token, self.attempts);
        let row = self.row(None);
        // The conditions cover the day before and the day after as well,
        // because the first attempt may have been made before midnight or
        // through an instance whose clock is ahead.
        let days = self.day.saturating_sub(1)..=self.day + 1;
        let transaction = days
            .fold(Transaction::new(token), |transaction, day| {
                transaction.require(claim_key(day, &self.request), 0)
            })
            .put(self.key(), &row);
        self.conflict = None;
        self.settlement = Settlement::new(transaction.clone());
        ClaimStep::Commit(transaction)
    }

    fn key(&self) -> String {
        claim_key(self.day, &self.request)
    }

    fn row(&self, outcome: Option<ClaimOutcome>) -> ClaimRow {
        ClaimRow {
            digest: self.request.digest.clone(),
            holder: self.holder.clone(),
            outcome,
        }
    }

    /// Applies the result of a [`ClaimStep::Commit`].
    pub fn on_commit(
        &mut self,
        answer: Result<CommitAnswer, StoreFault>,
    ) -> ClaimStep {
        let step = self.settlement.on_commit(answer);
        self.take_step(step)
    }

    /// Applies the result of a [`ClaimStep::Read`].
    pub fn on_read(
        &mut self,
        answer: Result<Option<Row>, StoreFault>,
    ) -> ClaimStep {
        let Some(key) = self.conflict.clone() else {
            let step = self.settlement.on_read(answer);
            return self.take_step(step);
        };
        match answer {
            Err(_) => ClaimStep::Read(key),
            Ok(Some(row)) => self.check_existing(&row),
            // The first attempt released its claim in the meantime.
            Ok(None) => self.attempt(),
        }
    }

    /// Turns a step of the settlement into one for the caller. After a
    /// conflict, that is to read the earlier claim.
    fn take_step(&mut self, step: SettlementStep) -> ClaimStep {
        match step {
            SettlementStep::Resend => {
                ClaimStep::Commit(self.settlement.transaction().clone())
            }
            SettlementStep::Read(key) => ClaimStep::Read(key),
            SettlementStep::Done(Settled::Committed { version }) => {
                self.version = Some(version);
                ClaimStep::Granted
            }
            SettlementStep::Done(Settled::Conflict { key }) => {
                self.conflict = Some(key.clone());
                ClaimStep::Read(key)
            }
        }
    }

    /// Compares the request with the earlier claim that was found.
    fn check_existing(&self, row: &Row) -> ClaimStep {
        let found = match row.parse::<ClaimRow>() {
            Ok(found) => found,
            Err(err) => return ClaimStep::Refused(err),
        };
        if found.digest != self.request.digest {
            return ClaimStep::Refused(Error::new(
                ErrorKind::ClaimMismatch,
                "the idempotency key was used for a different request",
            ));
        }
        match found.outcome {
            Some(outcome) => ClaimStep::Replay(outcome),
            None => ClaimStep::Refused(Error::new(
                ErrorKind::ClaimPending,
                format!(
                    "the first attempt is in progress on {}",
                    found.holder
                ),
            )),
        }
    }

    /// Returns the error for a caller whose deadline passed before the claim
    /// was granted. The request was not sent to a runner and never will be.
    ///
    /// The caller of this method continues the steps in the background and
    /// releases the claim if it is granted after all, so that a retry of the
    /// request isn't refused.
    pub fn abandon_error(&self) -> Error {
        let message =
            "the claim was not confirmed in time; the request was not sent";
        Error::new(ErrorKind::StoreUnavailable, message)
    }

    /// Returns the transaction that stores the outcome of the request;
    /// `None` before the claim is granted.
    pub fn finish(&self, outcome: ClaimOutcome) -> Option<Transaction> {
        let row = self.row(Some(outcome));
        Some(self.next_transaction("finish")?.put(self.key(), &row))
    }

    /// Returns the transaction that releases the claim of a request that
    /// certainly didn't run; `None` before the claim is granted.
    pub fn release(&self) -> Option<Transaction> {
        Some(self.next_transaction("release")?.delete(self.key()))
    }

    /// Returns a transaction on the granted claim row, to which the caller
    /// adds a write; `None` before the claim is granted.
    fn next_transaction(&self, what: &str) -> Option<Transaction> {
        let token = format!("{}/{what}", self.token);
        let version = self.version?;
        Some(Transaction::new(token).require(self.key(), version))
    }
}
