use limpet_core::{JobSpec, KeyId, ShardId, TeamName};

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
    /// Answer a question for these shards, or for the receiver itself where
    /// there are none.
    Query {
        /// The shards.
        shards: Vec<ShardId>,
        /// The command.
        command: String,
        /// The team that the asker is confined to, where it is.
        team: Option<TeamName>,
    },
    /// Change jobs of these shards.
    Change {
        /// The shards.
        shards: Vec<ShardId>,
        /// The command.
        command: String,
        /// The team that the asker is confined to, where it is.
        team: Option<TeamName>,
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
