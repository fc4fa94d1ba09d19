use std::collections::BTreeSet;

use crate::ownership::Holder;

/// The known members of the cell, merged from the table and from peers.
///
/// A member only ever moves from unknown to active to fenced, so a message
/// that arrives late, twice or out of order can't revert anything.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct MemberSet {
    /// The known members that aren't known to be fenced.
    pub active: BTreeSet<Holder>,
    /// The members that are known to be fenced.
    pub fenced: BTreeSet<Holder>,
}

impl MemberSet {
    /// Adds a member, unless it is known to be fenced.
    pub fn add(&mut self, member: &Holder) {
        if !self.fenced.contains(member) {
            self.active.insert(member.clone());
        }
    }

    /// Records that a member was fenced.
    pub fn fence(&mut self, member: &Holder) {
        self.active.remove(member);
        self.fenced.insert(member.clone());
    }

    /// Merges the members that a peer knows.
    pub fn merge(&mut self, other: &MemberSet) {
        for member in &other.fenced {
            self.fence(member);
        }
        for member in &other.active {
            self.add(member);
        }
    }

    /// Returns whether a member is known, active or fenced.
    pub fn knows(&self, member: &Holder) -> bool {
        self.active.contains(member) || self.fenced.contains(member)
    }
}
