use std::collections::BTreeMap;

use crate::{InstanceId, TimeMs};

/// How long a peer may be silent before it is suspected.
const SUSPECT_AFTER_MS: u64 = 1_500;

/// The health of a peer as seen by this instance.
///
/// A suspected peer gets no new work. Suspicion is no proof that the peer
/// has stopped acting.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PeerHealth {
    /// A heartbeat arrived recently and no call has failed since.
    Live,
    /// No heartbeat arrived recently, or a call has failed since the last
    /// one.
    Suspected,
    /// The peer announced that it is leaving, or is listed as leaving.
    Leaving,
}

/// The health of all peers, by the platform's list of instances and by
/// heartbeats and failed calls.
///
/// A peer is known while it is listed or while its heartbeats arrive. Both
/// are needed, because the list is late to show instances that start and to
/// drop instances that have gone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Health {
    peers: BTreeMap<InstanceId, Peer>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Peer {
    incarnation: u64,
    /// The number of the last heartbeat in that incarnation.
    sequence: u64,
    /// When the last heartbeat arrived.
    heard_at: Option<TimeMs>,
    /// When the last call failed since that heartbeat.
    failed_at: Option<TimeMs>,
    /// Whether the platform's last list had the peer.
    listed: bool,
    leaving: bool,
}

impl Health {
    /// Returns the state of an instance that knows no peers.
    pub fn new() -> Health {
        Health::default()
    }

    /// Applies the platform's list: each peer and whether it is leaving.
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
            // The list may still show the state before a restart, so it
            // doesn't override what a peer's own heartbeats say.
            peer.leaving |= leaving && peer.heard_at.is_none();
        }
        self.peers
            .retain(|_, peer| peer.listed || peer.was_heard_recently(now));
    }

    /// Applies a heartbeat and returns whether it is newer than the last one
    /// from the same peer. An older one is ignored.
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
        // A process draws its incarnation from the wall clock when it
        // starts, so a lower one belongs to an earlier process.
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

    /// Records that a call to a peer failed. The peer is suspected until its
    /// next heartbeat.
    pub fn on_failure(&mut self, instance: &InstanceId, now: TimeMs) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.failed_at = Some(now);
        }
    }

    /// Returns the health of a peer, or `None` if it isn't known.
    pub fn get(
        &self,
        instance: &InstanceId,
        now: TimeMs,
    ) -> Option<PeerHealth> {
        self.peers.get(instance).map(|peer| peer.health(now))
    }

    /// Returns all known peers and their health.
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
