//! Submission of jobs: chooses a shard, and accepts a job for an owned one.

use std::rc::Rc;

use limpet_core::{
    Error, ErrorKind, JobSpec, KeyId, Result, ShardId,
    journal::{Record, shard_index_for_token},
    table::IdBlock,
};
use limpet_platform::CommitAnswer;
use limpet_wire::{ForwardAnswer, ForwardRequest, SubmitAnswer};
use slog::info;
use tokio::sync::oneshot;

use super::{ControlState, SharedState, journal::OnDurable};
use crate::metrics::Counter;

/// How often to try to reserve a block of job numbers while other instances
/// win the conditional write.
const BLOCK_ATTEMPTS: u32 = 8;

/// A job to be accepted, whose key has been verified.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    /// Identifies the submission: the same token never makes two jobs.
    pub(crate) token: String,
    /// Whether the token is the caller's idempotency key, so that the caller
    /// may submit the job again through any instance.
    pub(crate) repeatable: bool,
    /// The key of the request, if it had one.
    pub(crate) key: Option<KeyId>,
    /// The job.
    pub(crate) spec: JobSpec,
}

/// Passes a submission to the owner of a shard that can run it, and returns
/// once the job is durable there.
pub(super) async fn submit(
    state: &SharedState,
    submission: Submission,
) -> Result<SubmitAnswer> {
    let result = try_shards(state, &submission).await;
    if result.is_err() {
        state.borrow().parts.metrics.add(Counter::JobsRefused, 1);
    }
    result
}

/// Tries the eligible shards in turn until one accepts the submission or no
/// other may be tried.
async fn try_shards(
    state: &SharedState,
    submission: &Submission,
) -> Result<SubmitAnswer> {
    let shards = {
        let state = state.borrow();
        state.check_not_leaving()?;
        state.shards_for(submission)?
    };
    let mut refusal = None;
    for shard in shards {
        match submit_to(state, shard, submission).await {
            Ok(answer) => return Ok(answer),
            Err(err) if err.kind() == ErrorKind::ShardUnknown => {
                // The owner may have accepted it, so no other shard may.
                return Err(err);
            }
            Err(err) if submission.may_try_next_shard(err.kind()) => {
                refusal.get_or_insert(err);
            }
            Err(err) => return Err(err),
        }
    }
    Err(refusal.unwrap_or_else(|| {
        Error::new(ErrorKind::ShardUnreachable, "no shard has an owner")
    }))
}

impl Submission {
    /// Returns whether the next shard may be tried after a refusal.
    ///
    /// A repeatable submission may move on only if an owner that would know
    /// of an earlier submission has answered that the job doesn't fit there:
    /// a shard whose owner can't be reached may have accepted it already.
    fn may_try_next_shard(&self, kind: ErrorKind) -> bool {
        match kind {
            ErrorKind::NeverFits => true,
            ErrorKind::NotOwner
            | ErrorKind::ShardUnreachable
            | ErrorKind::QueueFull
            | ErrorKind::Leaving => !self.repeatable,
            _ => false,
        }
    }
}

/// Accepts a submission for a shard here, or forwards it to the owner.
async fn submit_to(
    state: &SharedState,
    shard: ShardId,
    submission: &Submission,
) -> Result<SubmitAnswer> {
    if state.borrow().shards.contains_key(&shard) {
        return accept(state, shard, submission).await;
    }
    let peers = state.borrow().parts.peers.clone();
    let owner = state.borrow().owner_address(shard)?;
    let request = ForwardRequest::Submit {
        shard,
        token: submission.token.clone(),
        key: submission.key.clone(),
        spec: submission.spec.clone(),
    };
    match peers.forward(&owner, &request).await? {
        ForwardAnswer::Submitted(answer) => Ok(answer),
        ForwardAnswer::Refused(body) => Err(body.into()),
        ForwardAnswer::Answered(_) => Err(Error::new(
            ErrorKind::ShardUnknown,
            "the owner's answer doesn't fit the request",
        )),
    }
}

/// Accepts a submission for a shard that this instance owns, and returns
/// once the job is durable.
pub(super) async fn accept(
    state: &SharedState,
    shard: ShardId,
    submission: &Submission,
) -> Result<SubmitAnswer> {
    if state.borrow().needs_job_ids(shard) {
        // No numbers are reserved for a submission that is refused or that
        // was accepted before.
        let known = state.borrow_mut().check_submission(shard, submission)?;
        if let Some(answer) = known {
            return Ok(answer);
        }
        ensure_job_ids(state, shard).await?;
    }
    let accepted = {
        let mut state = state.borrow_mut();
        // The same submission may have arrived while numbers were reserved.
        if let Some(answer) = state.check_submission(shard, submission)? {
            return Ok(answer);
        }
        state.append_accepted(shard, submission)?
    };
    accepted.await.unwrap_or_else(|_| {
        Err(Error::new(
            ErrorKind::StoreUnknown,
            format!("this instance lost shard {shard} before the write ended"),
        ))
    })
}

/// Reserves a block of job numbers if none is left. Concurrent submissions
/// wait for the same block instead of each reserving one.
async fn ensure_job_ids(state: &SharedState, shard: ShardId) -> Result<()> {
    let reservation =
        Rc::clone(&state.borrow_mut().acting_shard(shard)?.id_reservation);
    let _guard = reservation.lock().await;
    if !state.borrow().needs_job_ids(shard) {
        return Ok(());
    }
    reserve_block(state, shard).await
}

/// Reserves the next block of job numbers for a shard. If a reservation can't
/// be confirmed, its block stays unused: gaps in the numbers are harmless.
async fn reserve_block(state: &SharedState, shard: ShardId) -> Result<()> {
    let table = state.borrow().parts.platform.table.clone();
    for _ in 0..BLOCK_ATTEMPTS {
        let row = (table.read)(IdBlock::key().to_owned()).await?;
        let token = state.borrow_mut().next_token();
        let (transaction, block) = IdBlock::reserve(row.as_ref(), &token)?;
        // A lost answer counts as a failure; no job was accepted yet.
        let answer = (table.commit)(transaction).await.map_err(|err| {
            Error::new(ErrorKind::StoreUnavailable, err.to_string())
        })?;
        if matches!(answer, CommitAnswer::Committed { .. }) {
            state.borrow_mut().acting_shard(shard)?.job_ids = block;
            return Ok(());
        }
    }
    Err(Error::new(
        ErrorKind::StoreUnavailable,
        "other instances kept reserving job numbers first",
    ))
}

impl ControlState {
    /// Returns whether a shard is owned and has no reserved job number left.
    fn needs_job_ids(&self, shard: ShardId) -> bool {
        let owned = self.shards.get(&shard);
        owned.is_some_and(|owned| owned.job_ids.remaining() == 0)
    }

    /// Appends the record of an accepted job to the journal. The returned
    /// channel gives the answer once the record is durable.
    fn append_accepted(
        &mut self,
        shard: ShardId,
        submission: &Submission,
    ) -> Result<oneshot::Receiver<Result<SubmitAnswer>>> {
        let accepted_at = self.parts.wall_clock.now();
        let log = self.parts.log.clone();
        let owned = self.acting_shard(shard)?;
        let job = owned.job_ids.take().ok_or_else(|| {
            Error::new(
                ErrorKind::StoreUnavailable,
                "no reserved job number is left",
            )
        })?;
        info!(log, "accept: recording job";
            "shard" => shard.get(), "job" => job.get(),
            "team" => %submission.spec.team,
            "queue" => %submission.spec.queue);
        let record = Record::JobAccepted {
            job,
            spec: Box::new(submission.spec.clone()),
            token: submission.token.clone(),
            key: submission.key.clone(),
            accepted_at,
        };
        let (reply, accepted) = oneshot::channel();
        owned.append(record, OnDurable::Answer(reply));
        Ok(accepted)
    }

    /// Refuses new work while this instance is leaving.
    pub(super) fn check_not_leaving(&self) -> Result<()> {
        if self.leaving {
            return Err(Error::new(
                ErrorKind::Leaving,
                format!("instance `{}` is leaving", self.instance()),
            ));
        }
        Ok(())
    }

    /// Checks that a submission can be accepted. Returns the earlier answer if
    /// it has been accepted before.
    fn check_submission(
        &mut self,
        shard: ShardId,
        submission: &Submission,
    ) -> Result<Option<SubmitAnswer>> {
        self.check_not_leaving()?;
        let limit = self.parts.settings.control.journal_limit;
        let owned = self.acting_shard(shard)?;
        if let Some(&job) = owned.tokens.get(&submission.token) {
            return Ok(Some(SubmitAnswer { job, shard }));
        }
        if owned.is_submitting(&submission.token) {
            return Err(Error::new(
                ErrorKind::ClaimPending,
                "the same submission is still being recorded",
            ));
        }
        owned.journal.admit()?;
        if owned.pending.len() as u64 >= limit {
            return Err(Error::new(
                ErrorKind::StoreUnavailable,
                format!(
                    "{limit} records already wait to be written to the table"
                ),
            ));
        }
        if owned.answering_workers() == 0 {
            return Err(Error::new(
                ErrorKind::NotOwner,
                format!(
                    "no worker has answered the owner of shard {shard} yet"
                ),
            ));
        }
        owned.scheduler.admit(&submission.spec)?;
        Ok(None)
    }

    /// Returns the shards that may run a job, in the order in which they are
    /// tried: those of this data centre first, or for a repeatable submission
    /// an order that depends on its token alone, so that every instance tries
    /// the same shard first.
    fn shards_for(&self, submission: &Submission) -> Result<Vec<ShardId>> {
        let own = &self.parts.settings.instance.data_centre;
        let mut shards = self.cell_shards();
        if let Some(wanted) = &submission.spec.data_centre {
            shards.retain(|cell_shard| cell_shard.data_centre == *wanted);
            if shards.is_empty() {
                return Err(Error::new(
                    ErrorKind::NeverFits,
                    format!("no data centre `{wanted}`"),
                ));
            }
        }
        if submission.repeatable {
            let first = shard_index_for_token(&submission.token, shards.len());
            shards.rotate_left(first);
        } else {
            shards.sort_by_key(|cell_shard| cell_shard.data_centre != *own);
        }
        Ok(shards.into_iter().map(|cell_shard| cell_shard.shard).collect())
    }

    /// Returns the link address of the instance that owns a shard.
    pub(super) fn owner_address(&self, shard: ShardId) -> Result<String> {
        self.leases
            .get(&shard)
            .and_then(|lease| lease.current_holder())
            .filter(|holder| holder.instance != *self.instance())
            .map(|holder| holder.link_address.clone())
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::ShardUnreachable,
                    format!("shard {shard} has no owner at the moment"),
                )
            })
    }
}
