use std::collections::BTreeMap;

use super::{FreshnessOptions, Grant, GrantRequest, OwnedShard};
use crate::{
    Epoch, Revision, ShardId, TimeMs, membership::MemberSet, ownership::Holder,
};

/// The grants that this instance has given.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Granter {
    holder: Holder,
    options: FreshnessOptions,
    granted_until: BTreeMap<Holder, TimeMs>,
    change_in_progress: bool,
    taking_over: BTreeMap<ShardId, Holder>,
    epochs: BTreeMap<ShardId, Epoch>,
}

impl Granter {
    /// Returns an instance that has given no grant.
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

    /// Notes the epoch of a shard, as the table shows it.
    pub fn on_epoch(&mut self, shard: ShardId, epoch: Epoch) {
        let known = self.epochs.entry(shard).or_default();
        *known = epoch.max(*known);
    }

    /// Notes that a change of configuration is about to be committed, or
    /// that its fate is settled and the new revision is in force here. In
    /// between nothing is granted: the answer could hide the change.
    pub fn set_change_in_progress(&mut self, change_in_progress: bool) {
        self.change_in_progress = change_in_progress;
    }

    /// Begins to take a shard over from `owner`: nothing more is granted to
    /// it. Returns whether every earlier grant to it has ended, so that the
    /// acquisition may be sent.
    pub fn begin_takeover(
        &mut self,
        shard: ShardId,
        owner: &Holder,
        now: TimeMs,
    ) -> bool {
        self.taking_over.insert(shard, owner.clone());
        self.granted_until.get(owner).is_none_or(|&until| now >= until)
    }

    /// Ends the attempt to take a shard over, whatever became of it.
    pub fn end_takeover(&mut self, shard: ShardId) {
        self.taking_over.remove(&shard);
    }

    /// Answers a request.
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
            // The asker counts from before its request left; we count from
            // its arrival, so that our promise outlasts its use.
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

    fn later_epoch(&self, owned: &OwnedShard) -> Option<OwnedShard> {
        let &epoch = self.epochs.get(&owned.shard)?;
        (epoch > owned.epoch).then_some(OwnedShard { epoch, ..*owned })
    }
}
