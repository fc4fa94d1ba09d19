use std::collections::BTreeMap;

use super::{FreshnessOptions, Grant};
use crate::{Revision, TimeMs, membership::MemberSet, ownership::Holder};

/// Tracks until when this instance's knowledge counts as fresh, by
/// confirmations from the table and grants from other members.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Freshness {
    holder: Holder,
    options: FreshnessOptions,
    /// When the last read that showed no newer revision was sent.
    table_read_at: Option<TimeMs>,
    /// When the last completed scan of the members was sent.
    members_scanned_at: Option<TimeMs>,
    /// When the last heartbeat that the table confirmed was sent.
    heartbeat_sent_at: Option<TimeMs>,
    /// The end of the last valid grant of each member.
    grants: BTreeMap<Holder, TimeMs>,
}

impl Freshness {
    /// Returns the state of an instance without confirmations and grants.
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

    /// Records that a read of the revision that was sent at `sent_at` showed
    /// no newer revision than the one in force here.
    pub fn on_revision_read(&mut self, sent_at: TimeMs) {
        self.table_read_at = self.table_read_at.max(Some(sent_at));
    }

    /// Records that the result of a scan of the members that was sent at
    /// `sent_at` has been merged.
    pub fn on_member_scan(&mut self, sent_at: TimeMs) {
        self.members_scanned_at = self.members_scanned_at.max(Some(sent_at));
    }

    /// Records that the table confirmed a heartbeat of this instance that
    /// was sent at `sent_at`.
    pub fn on_heartbeat(&mut self, sent_at: TimeMs) {
        self.heartbeat_sent_at = self.heartbeat_sent_at.max(Some(sent_at));
    }

    /// Applies a grant and returns whether it is valid. `in_force` is the
    /// revision in force here. The caller merges [`Grant::members`] first.
    ///
    /// A grant isn't valid if its granter has a newer revision, which this
    /// instance has to obtain first, or knows a later owner of a shard.
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

    /// Returns when the knowledge stops being fresh. The time is in the past
    /// if it isn't fresh now.
    pub fn fresh_until(&self, members: &MemberSet) -> TimeMs {
        let table_until = self.table_read_at.map_or(TimeMs::ZERO, |at| {
            at.plus_ms(self.options.table_valid_ms)
        });
        table_until.max(self.granted_until(members))
    }

    /// Returns whether the knowledge is fresh at `now`, so that keys may be
    /// accepted.
    pub fn is_fresh(&self, members: &MemberSet, now: TimeMs) -> bool {
        now < self.fresh_until(members)
    }

    /// Returns the earliest end of the grants of all other active members,
    /// but no later than [`FreshnessOptions::grants_only_ms`] allows.
    ///
    /// That limit counts from the older of this instance's last confirmed
    /// heartbeat and last scan of the members. A new member that can't reach
    /// this instance waits that long before it acts, either since the
    /// heartbeat row last changed or since it joined, which was after the
    /// scan.
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
