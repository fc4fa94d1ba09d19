use limpet_core::{JobId, ShardId};

/// The answer to a submission, once it is durable.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct SubmitAnswer {
    /// The new job.
    pub job: JobId,
    /// The shard whose owner places it.
    pub shard: ShardId,
}
