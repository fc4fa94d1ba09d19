use std::collections::BTreeMap;

use super::{FreshnessOptions, Grant, GrantRequest, OwnedShard};
use crate::{
    Epoch, Revision, ShardId, TimeMs, membership::MemberSet, ownership::Holder,
};

/// Answers the grant requests of other members, and records until when this
/// instance has to honour the grants that it has given.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Granter {
    holder: Holder,
    options: FreshnessOptions,
    /// Until when this instance honours its last grant to each member.
    granted_until: BTreeMap<Holder, TimeMs>,
    /// Whether a change of the configuration may be committed that is not in
    /// force here yet.
    change_in_progress: bool,
    /// The shards that this instance is taking over, with their owners.
    taking_over: BTreeMap<ShardId, Holder>,
    /// The highest known epoch of each shard.
    epochs: BTreeMap<ShardId, Epoch>,
}

impl Granter {
    /// Returns the state of an instance that has given no grants.
    pub fn new(holder: Holder, options: FreshnessOptions) -> Granter {
        Granter {
            holder,
            options,
            granted_until: BTreeMap::new(),
            change_in_progress: false,
            taking_over: BTreeMap::new(),
            epochs: BTreeMap::new(),
        }
    }

    /// Records the epoch of a shard that was read from the table.
    pub fn on_epoch(&mut self, shard: ShardId, epoch: Epoch) {
        let known = self.epochs.entry(shard).or_default();
        *known = epoch.max(*known);
    }

    /// Records that a change of the configuration is about to be committed,
    /// or, with `false`, that its outcome is certain and the new revision is
    /// in force here. Nothing is granted in between, because a grant would
    /// carry the old revision while the change may already be committed.
    pub fn set_change_in_progress(&mut self, change_in_progress: bool) {
        self.change_in_progress = change_in_progress;
    }

    /// Starts the takeover of a shard from `owner`, which gets no more
    /// grants. Returns whether all earlier grants to it have ended, so that
    /// the acquisition may be sent.
    pub fn begin_takeover(
        &mut self,
        shard: ShardId,
        owner: &Holder,
        now: TimeMs,
    ) -> bool {
        self.taking_over.insert(shard, owner.clone());
        self.granted_until.get(owner).is_none_or(|&until| now >= until)
    }

    /// Ends the attempt to take a shard over, whether it succeeded or not.
    pub fn end_takeover(&mut self, shard: ShardId) {
        self.taking_over.remove(&shard);
    }

    /// Answers a grant request. `members` and `revision` are this instance's
    /// knowledge and go into the answer.
    pub fn answer(
        &mut self,
        request: &GrantRequest,
        members: &MemberSet,
        revision: Revision,
        now: TimeMs,
    ) -> Grant {
        let superseded: Vec<OwnedShard> = request
            .owned
            .iter()
            .filter_map(|owned| self.later_epoch(owned))
            .collect();
        let contested =
            self.taking_over.values().any(|owner| *owner == request.from);
        let granted = !self.change_in_progress && !contested;
        if granted {
            // The requester counts the grant from before it sent the
            // request, and the granter counts from the request's arrival. So
            // the granter's promise outlasts the requester's use of it.
            let held_ms = self.options.grant_ms + self.options.margin_ms;
            let until = now.plus_ms(held_ms);
            self.granted_until.insert(request.from.clone(), until);
        }
        Grant {
            from: self.holder.clone(),
            sent_at: request.sent_at,
            members: members.clone(),
            revision,
            granted,
            superseded,
        }
    }

    /// Returns the shard with its known epoch if that is later.
    fn later_epoch(&self, owned: &OwnedShard) -> Option<OwnedShard> {
        let &epoch = self.epochs.get(&owned.shard)?;
        (epoch > owned.epoch).then_some(OwnedShard { epoch, ..*owned })
    }
}
