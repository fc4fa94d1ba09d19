use limpet_core::{JobId, ShardId};

/// The answer to a submission, sent once the job is durable.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct SubmitAnswer {
    /// The id of the new job.
    pub job: JobId,
    /// The shard that the job belongs to, whose owner places its tasks.
    pub shard: ShardId,
}
