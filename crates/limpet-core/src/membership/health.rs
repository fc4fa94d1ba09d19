use std::collections::BTreeMap;

use crate::{InstanceId, TimeMs};

/// How long a peer may be silent before it is suspected, in milliseconds.
const SUSPECT_AFTER_MS: u64 = 1_500;

/// What is thought of a peer. Suspicion stops new work towards it; nothing
/// is ever concluded from it about what the peer still does.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PeerHealth {
    /// It was heard lately.
    Live,
    /// It is listed, but silent or refusing.
    Suspected,
    /// It said that it is leaving, or is listed so.
    Leaving,
}

/// The health of all peers, from the platform's lagging list and from
/// direct evidence.
///
/// A peer stays known while the list has it or it was heard lately: the
/// list lags in both directions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Health {
    peers: BTreeMap<InstanceId, Peer>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Peer {
    incarnation: u64,
    sequence: u64,
    heard_at: Option<TimeMs>,
    failed_at: Option<TimeMs>,
    listed: bool,
    leaving: bool,
}

impl Health {
    /// Returns the health of an instance that knows no peer.
    pub fn new() -> Health {
        Health::default()
    }

    /// Takes in the platform's list: each peer and whether it is leaving.
    pub fn on_listing<'a>(
        &mut self,
        listed: impl IntoIterator<Item = (&'a InstanceId, bool)>,
        now: TimeMs,
    ) {
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for (instance, leaving) in listed {
            let peer = self.peers.entry(instance.clone()).or_default();
            peer.listed = true;
            // An entry of before a restart doesn't make the peer leave.
            peer.leaving |= leaving && peer.heard_at.is_none();
        }
        self.peers
            .retain(|_, peer| peer.listed || peer.was_heard_recently(now));
    }

    /// Takes in a heartbeat and returns whether it is newer than what was
    /// heard of the peer before.
    pub fn on_heartbeat(
        &mut self,
        instance: &InstanceId,
        incarnation: u64,
        sequence: u64,
        leaving: bool,
        now: TimeMs,
    ) -> bool {
        let peer = self.peers.entry(instance.clone()).or_default();
        let same = peer.incarnation == incarnation;
        if same && peer.sequence >= sequence {
            return false;
        }
        // A restarted process draws its incarnation from the wall clock, so
        // that a lower one belongs to an earlier process.
        if incarnation < peer.incarnation {
            return false;
        }
        *peer = Peer {
            incarnation,
            sequence,
            heard_at: Some(now),
            failed_at: None,
            listed: peer.listed,
            leaving: leaving || (same && peer.leaving),
        };
        true
    }

    /// Takes in that a call to a peer failed.
    pub fn on_failure(&mut self, instance: &InstanceId, now: TimeMs) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.failed_at = Some(now);
        }
    }

    /// Returns what is thought of a peer; `None` for an unknown one.
    pub fn get(
        &self,
        instance: &InstanceId,
        now: TimeMs,
    ) -> Option<PeerHealth> {
        self.peers.get(instance).map(|peer| peer.health(now))
    }

    /// Returns all peers and what is thought of them.
    pub fn iter(
        &self,
        now: TimeMs,
    ) -> impl Iterator<Item = (&InstanceId, PeerHealth)> {
        self.peers.iter().map(move |(id, peer)| (id, peer.health(now)))
    }
}

impl Peer {
    fn was_heard_recently(&self, now: TimeMs) -> bool {
        self.heard_at.is_some_and(|at| now.ms_since(at) < SUSPECT_AFTER_MS)
    }

    fn health(&self, now: TimeMs) -> PeerHealth {
        if self.leaving {
            PeerHealth::Leaving
        } else if self.failed_at.is_some() || !self.was_heard_recently(now) {
            PeerHealth::Suspected
        } else {
            PeerHealth::Live
        }
    }
}
