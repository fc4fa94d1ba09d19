use limpet_core::{JobSpec, KeyId, ShardId, TeamName};

use super::{CommandAnswer, ErrorBody, SubmitAnswer};

/// A request that an instance forwards to the owner of a shard.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardRequest {
    /// Accept a job into a shard.
    Submit {
        /// The shard.
        shard: ShardId,
        /// A text unique to this submission, by which the owner recognises a
        /// repetition of it.
        token: String,
        /// The API key of the submission, already verified, if it had one.
        key: Option<KeyId>,
        /// The job.
        spec: JobSpec,
    },
    /// Evaluate a query on these shards, or on the receiver itself if there
    /// are none.
    Query {
        /// The shards.
        shards: Vec<ShardId>,
        /// The text of the command.
        command: String,
        /// The team that the caller is restricted to, if any.
        team: Option<TeamName>,
    },
    /// Evaluate a command that changes jobs of these shards.
    Change {
        /// The shards.
        shards: Vec<ShardId>,
        /// The text of the command.
        command: String,
        /// The team that the caller is restricted to, if any.
        team: Option<TeamName>,
    },
}

/// The answer to a [`ForwardRequest`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardAnswer {
    /// The job was accepted durably.
    Submitted(SubmitAnswer),
    /// The query or command was evaluated.
    Answered(CommandAnswer),
    /// The request was refused.
    Refused(ErrorBody),
}
