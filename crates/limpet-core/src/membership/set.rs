use std::collections::BTreeSet;

use crate::ownership::Holder;

/// What is known of the members, merged from the table and from peers.
///
/// Both parts only grow, so that a message which is late, doubled or out of
/// order takes nothing back.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct MemberSet {
    /// Every member that was heard of and is not known to be fenced.
    pub active: BTreeSet<Holder>,
    /// The members that can act no more.
    pub fenced: BTreeSet<Holder>,
}

impl MemberSet {
    /// Takes in that a member exists.
    pub fn add(&mut self, member: &Holder) {
        if !self.fenced.contains(member) {
            self.active.insert(member.clone());
        }
    }

    /// Takes in that a member can act no more.
    pub fn fence(&mut self, member: &Holder) {
        self.active.remove(member);
        self.fenced.insert(member.clone());
    }

    /// Takes in what a peer knows.
    pub fn merge(&mut self, other: &MemberSet) {
        for member in &other.fenced {
            self.fence(member);
        }
        for member in &other.active {
            self.add(member);
        }
    }

    /// Returns whether a member was heard of.
    pub fn knows(&self, member: &Holder) -> bool {
        self.active.contains(member) || self.fenced.contains(member)
    }
}
