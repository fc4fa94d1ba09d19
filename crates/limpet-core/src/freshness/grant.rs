use crate::{
    Epoch, Revision, ShardId, TimeMs, membership::MemberSet, ownership::Holder,
};

/// A shard and the epoch of its ownership.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct OwnedShard {
    /// The shard.
    pub shard: ShardId,
    /// The epoch.
    pub epoch: Epoch,
}

/// What an instance asks of each member, with its heartbeat.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct GrantRequest {
    /// Who asks.
    pub from: Holder,
    /// When the request left, on the asker's clock.
    pub sent_at: TimeMs,
    /// The members that the asker knows.
    pub members: MemberSet,
    /// What the asker takes itself to own.
    pub owned: Vec<OwnedShard>,
}

/// What a member answers.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Grant {
    /// Who answers.
    pub from: Holder,
    /// The time of the request, echoed.
    pub sent_at: TimeMs,
    /// The members that the granter knows.
    pub members: MemberSet,
    /// The revision that is in force at the granter.
    pub revision: Revision,
    /// Whether the granter will neither change the configuration nor take
    /// over a shard of the asker for the time of a grant.
    pub granted: bool,
    /// Shards of the asker that the granter knows under a later epoch.
    pub superseded: Vec<OwnedShard>,
}
