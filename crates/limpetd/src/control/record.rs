use limpet_core::{
    JobId, JobSpec, JobState, KeyId, TaskId, TaskOutcome, TimeMs, WorkerId,
};
use limpet_platform::WorkerEntry;

/// What a shard's owner has to remember beyond its own life.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Record {
    /// A job was accepted.
    Accepted {
        /// The job.
        job: JobId,
        /// The submission's token.
        token: String,
        /// The key that came with it.
        key: Option<KeyId>,
        /// What it asks for.
        spec: JobSpec,
        /// When, on the wall clock.
        accepted_at: TimeMs,
    },
    /// A job was cancelled.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// A job was held back or released.
    Held {
        /// The job.
        job: JobId,
        /// Whether it is held back.
        held: bool,
    },
    /// A non-idempotent task is about to be started.
    Claimed {
        /// The task.
        task: TaskId,
        /// Where.
        worker: WorkerId,
        /// The attempt.
        attempt: u32,
    },
    /// A task ended at its worker.
    Ended {
        /// The task.
        task: TaskId,
        /// Where.
        worker: WorkerId,
        /// How.
        outcome: TaskOutcome,
    },
    /// A job reached a final state.
    Finished {
        /// The job.
        job: JobId,
        /// The final state.
        state: JobState,
    },
    /// Tasks may be placed on a worker from now on, so that a new owner
    /// has to hear it before it places anything.
    WorkerJoined {
        /// The worker.
        entry: WorkerEntry,
    },
    /// Nothing runs on a worker any more, and it isn't listed.
    WorkerGone {
        /// The worker.
        worker: WorkerId,
    },
}

/// The value of one segment row.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct Segment {
    /// The records in their order.
    pub(super) records: Vec<Record>,
}
