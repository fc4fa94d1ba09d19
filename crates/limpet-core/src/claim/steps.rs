use super::{ClaimOutcome, ClaimRequest, ClaimRow, claim_day, claim_key};
use crate::{
    Error, ErrorKind, TimeMs,
    ownership::Holder,
    table::{
        CommitAnswer, Row, Settled, Settlement, SettlementStep, StoreFault,
        Transaction,
    },
};

/// What to do next for a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// Send this transaction, after a back-off where the last call failed,
    /// and feed its answer to [`Claim::on_commit`].
    Commit(Transaction),
    /// Read this row, after a back-off where the last call failed, and feed
    /// the answer to [`Claim::on_read`].
    Read(String),
    /// The claim stands; the request may leave, once.
    Granted,
    /// The first attempt was answered with this.
    Replay(ClaimOutcome),
    /// The request must not leave.
    Refused(Error),
}

/// One request's way to its claim.
///
/// A caller that runs out of time drops it: the request never left, and
/// [`Claim::abandon_error`] says what the caller is told.
#[derive(Clone, Debug)]
pub struct Claim {
    request: ClaimRequest,
    holder: Holder,
    day: u64,
    attempts: u64,
    token: String,
    settlement: Settlement,
    conflict: Option<String>,
    version: Option<u64>,
}

impl Claim {
    /// Returns the claim and its first step. `token` is a text that no
    /// other transaction bears.
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

    /// Starts over with a transaction of its own token.
    fn attempt(&mut self) -> ClaimStep {
        self.attempts += 1;
        let token = format!("{}/{}", self.token, self.attempts);
        let row = self.row(None);
        // The day before and the day after are looked at too, because a
        // retry may come after midnight or through an instance whose clock
        // is ahead.
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

    /// Takes the answer to a commit.
    pub fn on_commit(
        &mut self,
        answer: Result<CommitAnswer, StoreFault>,
    ) -> ClaimStep {
        let step = self.settlement.on_commit(answer);
        self.take_step(step)
    }

    /// Takes the answer to a read.
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
            // The first attempt gave its claim back in the meantime.
            Ok(None) => self.attempt(),
        }
    }

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

    fn check_existing(&self, row: &Row) -> ClaimStep {
        let found = match row.parse::<ClaimRow>() {
            Ok(found) => found,
            Err(err) => return ClaimStep::Refused(err),
        };
        if found.digest != self.request.digest {
            return ClaimStep::Refused(Error::new(
                ErrorKind::ClaimMismatch,
                "this idempotency key was used for another request",
            ));
        }
        match found.outcome {
            Some(outcome) => ClaimStep::Replay(outcome),
            None => ClaimStep::Refused(Error::new(
                ErrorKind::ClaimPending,
                format!("{} works on the first attempt", found.holder),
            )),
        }
    }

    /// Returns what a caller is told whose time ran out before the claim
    /// was granted. The request never left this instance and never will.
    /// The steps go on in the background, and a claim that turns out to be
    /// granted is given back, so that the caller's retry isn't held up.
    pub fn abandon_error(&self) -> Error {
        let message = "the claim was not confirmed in time; nothing was sent";
        Error::new(ErrorKind::StoreUnavailable, message)
    }

    /// Returns the transaction that keeps the outcome; `None` before the
    /// claim is granted.
    pub fn finish(&self, outcome: ClaimOutcome) -> Option<Transaction> {
        let row = self.row(Some(outcome));
        Some(self.next_transaction("finish")?.put(self.key(), &row))
    }

    /// Returns the transaction that gives the claim back, for a request
    /// that certainly didn't run; `None` before the claim is granted.
    pub fn release(&self) -> Option<Transaction> {
        Some(self.next_transaction("release")?.delete(self.key()))
    }

    fn next_transaction(&self, what: &str) -> Option<Transaction> {
        let token = format!("{}/{what}", self.token);
        let version = self.version?;
        Some(Transaction::new(token).require(self.key(), version))
    }
}
