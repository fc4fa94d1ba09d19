use crate::{
    Epoch, Revision, ShardId, TimeMs, membership::MemberSet, ownership::Holder,
};

/// A shard and the epoch of its ownership.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct OwnedShard {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the ownership.
    pub epoch: Epoch,
}

/// A request for a grant, which an instance sends to each member with its
/// heartbeat.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct GrantRequest {
    /// The requesting instance.
    pub from: Holder,
    /// When the request was sent, on the requester's clock.
    pub sent_at: TimeMs,
    /// The members that the requester knows.
    pub members: MemberSet,
    /// The shards that the requester owns as far as it knows.
    pub owned: Vec<OwnedShard>,
}

/// A member's answer to a [`GrantRequest`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Grant {
    /// The answering member.
    pub from: Holder,
    /// [`GrantRequest::sent_at`] of the request.
    pub sent_at: TimeMs,
    /// The members that the granter knows.
    pub members: MemberSet,
    /// The revision of the configuration in force at the granter.
    pub revision: Revision,
    /// Whether the granter promises neither to change the configuration nor
    /// to take over a shard of the requester while the grant is valid.
    pub granted: bool,
    /// The requester's shards that the granter knows under a later epoch.
    pub superseded: Vec<OwnedShard>,
}
