use limpet_core::{JobId, JobSpec, KeyId, ShardId, TeamName};

use super::{CommandAnswer, ErrorBody, SubmitAnswer};

/// A request that one instance hands to the owner of a shard.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardRequest {
    /// Accept a job for a shard.
    Submit {
        /// The shard.
        shard: ShardId,
        /// A text that no other submission bears, so that a repeated one is
        /// recognised.
        token: String,
        /// The key that came with it, already verified.
        key: Option<KeyId>,
        /// What it asks for.
        spec: JobSpec,
    },
    /// Answer a read-only command for the shards that the receiver owns.
    Query {
        /// The command.
        command: String,
        /// The team that the asker is confined to, where it is.
        team: Option<TeamName>,
    },
    /// Cancel these jobs of the shards that the receiver owns.
    Cancel {
        /// The jobs.
        jobs: Vec<JobId>,
    },
}

/// The owner's answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardAnswer {
    /// A job was accepted.
    Submitted(SubmitAnswer),
    /// A command was carried out.
    Answered(CommandAnswer),
    /// The request was refused.
    Refused(ErrorBody),
}
