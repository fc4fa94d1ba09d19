use std::collections::BTreeMap;

use super::{FreshnessOptions, Grant};
use crate::{Revision, TimeMs, membership::MemberSet, ownership::Holder};

/// Until when this instance may take its knowledge for fresh.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Freshness {
    holder: Holder,
    options: FreshnessOptions,
    table_read_at: Option<TimeMs>,
    members_scanned_at: Option<TimeMs>,
    heartbeat_sent_at: Option<TimeMs>,
    grants: BTreeMap<Holder, TimeMs>,
}

impl Freshness {
    /// Returns the knowledge of an instance that nothing was confirmed to.
    pub fn new(holder: Holder, options: FreshnessOptions) -> Freshness {
        Freshness {
            holder,
            options,
            table_read_at: None,
            members_scanned_at: None,
            heartbeat_sent_at: None,
            grants: BTreeMap::new(),
        }
    }

    /// Notes that a read of the revision, which left at `sent_at`, showed
    /// nothing newer than what is in force here now.
    pub fn on_revision_read(&mut self, sent_at: TimeMs) {
        self.table_read_at = self.table_read_at.max(Some(sent_at));
    }

    /// Notes that a scan of the members that left at `sent_at` was merged.
    pub fn on_member_scan(&mut self, sent_at: TimeMs) {
        self.members_scanned_at = self.members_scanned_at.max(Some(sent_at));
    }

    /// Notes that the table took a heartbeat of ours that left at
    /// `sent_at`.
    pub fn on_heartbeat(&mut self, sent_at: TimeMs) {
        self.heartbeat_sent_at = self.heartbeat_sent_at.max(Some(sent_at));
    }

    /// Takes a grant in; `in_force` is the revision in force here. What the
    /// granter knows of members has been merged before.
    ///
    /// Returns whether it counts: a granter with a newer revision has to
    /// hand that over first.
    pub fn on_grant(&mut self, grant: &Grant, in_force: Revision) -> bool {
        let counts = grant.granted
            && grant.superseded.is_empty()
            && grant.revision <= in_force;
        if counts {
            let until = grant.sent_at.plus_ms(self.options.grant_ms);
            let known = self.grants.entry(grant.from.clone()).or_default();
            *known = until.max(*known);
        }
        counts
    }

    /// Returns when the knowledge stops being fresh; in the past if it
    /// isn't now.
    pub fn fresh_until(&self, members: &MemberSet) -> TimeMs {
        let table_until = self.table_read_at.map_or(TimeMs::ZERO, |at| {
            at.plus_ms(self.options.table_valid_ms)
        });
        table_until.max(self.granted_until(members))
    }

    /// Returns whether keys may be accepted now.
    pub fn is_fresh(&self, members: &MemberSet, now: TimeMs) -> bool {
        now < self.fresh_until(members)
    }

    /// Returns the earliest end of the grants of all members that could
    /// act, but no later than [`FreshnessOptions::grants_only_ms`] allows.
    ///
    /// That bound counts from our last heartbeat and from our last scan of
    /// the members, because a new member that can't reach us waits for both
    /// to be that old before it acts: our heartbeat to have stood still, or
    /// our scan to be older than its joining.
    pub fn granted_until(&self, members: &MemberSet) -> TimeMs {
        let Some(confirmed_at) =
            self.members_scanned_at.min(self.heartbeat_sent_at)
        else {
            return TimeMs::ZERO;
        };
        let limit = confirmed_at.plus_ms(self.options.grants_only_ms);
        members
            .active
            .iter()
            .filter(|member| **member != self.holder)
            .map(|member| self.grants.get(member).copied().unwrap_or_default())
            .fold(limit, TimeMs::min)
    }
}
