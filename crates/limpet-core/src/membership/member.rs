use std::collections::{BTreeMap, BTreeSet};

use super::{MemberRow, MemberSet, heartbeat_key, member_key};
use crate::{
    Result, TimeMs,
    ownership::Holder,
    table::{CommitAnswer, Condition, Row, StoreFault, Transaction},
};

/// The durations of a membership, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct MembershipOptions {
    /// The interval between heartbeats in the table.
    pub heartbeat_ms: u64,
    /// How long a member's heartbeat row may stay unchanged before other
    /// members fence it.
    pub fence_after_ms: u64,
    /// How long an instance that is cut off from the table may act on the
    /// grants of its peers alone. A new member that couldn't inform every
    /// other one may act once this time has passed.
    pub grants_only_ms: u64,
    /// How long a new member waits beyond `grants_only_ms`, for the drift
    /// between clocks and for the last grants of peers to end.
    pub margin_ms: u64,
}

impl MembershipOptions {
    /// Returns the default durations: a heartbeat every 5 s, fencing after
    /// 20 s, and 15 min on the grants of peers alone, with a margin of 5 s.
    pub const fn new() -> MembershipOptions {
        MembershipOptions {
            heartbeat_ms: 5_000,
            fence_after_ms: 20_000,
            grants_only_ms: 900_000,
            margin_ms: 5_000,
        }
    }
}

impl Default for MembershipOptions {
    fn default() -> MembershipOptions {
        MembershipOptions::new()
    }
}

/// An action that a [`Membership`] asks its caller to perform.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum MembershipEffect {
    /// Send a transaction on this instance's own rows and pass the result to
    /// [`Membership::on_commit`].
    Commit(Transaction),
    /// Send a transaction that fences another member or deletes its rows.
    /// The result may be ignored, because the next scan shows its effect.
    CommitForPeer(Transaction),
    /// This instance was fenced and has to join again under a new
    /// incarnation.
    Fenced,
}

/// The state machine of this instance's own membership. It also fences and
/// removes other members whose heartbeats have stopped.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Membership {
    holder: Holder,
    options: MembershipOptions,
    joined: Option<Joined>,
    /// Whether a transaction on this instance's own rows is in flight.
    pending: bool,
    /// The number of heartbeats sent, which makes their tokens unique.
    heartbeats: u64,
    heartbeat_sent_at: Option<TimeMs>,
    /// When the last heartbeat that the table confirmed was sent.
    confirmed_at: Option<TimeMs>,
    /// For each other member, the newest version of its rows and when this
    /// instance first read that version.
    last_changes: BTreeMap<Holder, (u64, TimeMs)>,
    fenced: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Joined {
    /// The version of this instance's member row.
    version: u64,
    /// When the table's answer to joining arrived.
    at: TimeMs,
    /// The members that may not know of this one yet; `None` before the
    /// first scan that was sent after joining.
    unaware: Option<BTreeSet<Holder>>,
}

impl Membership {
    /// Returns the membership of an instance that has not joined yet.
    pub fn new(holder: Holder, options: MembershipOptions) -> Membership {
        Membership {
            holder,
            options,
            joined: None,
            pending: false,
            heartbeats: 0,
            heartbeat_sent_at: None,
            confirmed_at: None,
            last_changes: BTreeMap::new(),
            fenced: false,
        }
    }

    /// Returns the condition that this instance adds to every transaction
    /// that changes the configuration or acquires a shard.
    ///
    /// It is `None` while this instance may do neither: it hasn't joined,
    /// was fenced, or some member may not know of it yet. Such a member
    /// could go on serving by the grants of the members that it knows,
    /// without ever asking this one.
    pub fn fence(&self, now: TimeMs) -> Option<Condition> {
        let joined = self.joined.as_ref().filter(|_| !self.fenced)?;
        let aware = joined.unaware.as_ref().is_some_and(BTreeSet::is_empty);
        let wait_ms = self.options.grants_only_ms + self.options.margin_ms;
        let waited = now.ms_since(joined.at) >= wait_ms;
        (aware || waited).then(|| Condition {
            key: member_key(&self.holder),
            version: joined.version,
        })
    }

    /// Returns when the last heartbeat that the table confirmed was sent.
    pub fn confirmed_at(&self) -> Option<TimeMs> {
        self.confirmed_at
    }

    /// Records the set of members that `member` sent in a message.
    pub fn on_message(&mut self, member: &Holder, known: &MemberSet) {
        let aware = known.knows(&self.holder);
        if let Some(Joined { unaware: Some(unaware), .. }) = &mut self.joined
            && aware
        {
            unaware.remove(member);
        }
    }

    /// Applies the rows under [`super::member_prefix`] that a scan sent at
    /// `sent_at` returned, and adds them to `members`.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Internal`] if the value of a row can't be parsed.
    pub fn on_scan(
        &mut self,
        rows: &[Row],
        sent_at: TimeMs,
        now: TimeMs,
        members: &mut MemberSet,
    ) -> Result<Vec<MembershipEffect>> {
        let mut effects = Vec::new();
        let row_versions: BTreeMap<&str, u64> =
            rows.iter().map(|row| (row.key.as_str(), row.version)).collect();
        let mut found = Vec::new();
        for row in rows.iter().filter(|row| row.key.ends_with("/row")) {
            found.push((row.parse::<MemberRow>()?, row.version));
        }
        for (member, version) in &found {
            let heartbeat_version =
                row_versions.get(heartbeat_key(&member.holder).as_str());
            let heartbeat_version =
                heartbeat_version.copied().unwrap_or(*version);
            self.check_peer(
                member,
                *version,
                heartbeat_version,
                now,
                &mut effects,
            );
            if member.fenced {
                members.fence(&member.holder);
            } else {
                members.add(&member.holder);
            }
        }
        self.note_unaware(&found, sent_at);
        if members.fenced.contains(&self.holder) && !self.fenced {
            self.fenced = true;
            effects.push(MembershipEffect::Fenced);
        }
        Ok(effects)
    }

    /// Records, by the first scan that was sent after joining, which members
    /// may not know of this one yet.
    fn note_unaware(&mut self, found: &[(MemberRow, u64)], sent_at: TimeMs) {
        let Some(joined) = &mut self.joined else { return };
        if joined.unaware.is_none() && sent_at >= joined.at {
            let others = found
                .iter()
                .map(|(member, _)| member.holder.clone())
                .filter(|holder| *holder != self.holder);
            joined.unaware = Some(others.collect());
        }
    }

    /// Fences a member whose heartbeat row has not changed for too long, and
    /// deletes the rows of a fenced one that can no longer be acting.
    fn check_peer(
        &mut self,
        member: &MemberRow,
        version: u64,
        heartbeat_version: u64,
        now: TimeMs,
        effects: &mut Vec<MembershipEffect>,
    ) {
        if member.holder == self.holder {
            return;
        }
        let newest_version = heartbeat_version.max(version);
        let seen = self
            .last_changes
            .entry(member.holder.clone())
            .or_insert((newest_version, now));
        if seen.0 != newest_version {
            *seen = (newest_version, now);
        }
        let unchanged_ms = now.ms_since(seen.1);
        let removal_ms = self.options.grants_only_ms + self.options.margin_ms;
        let key = member_key(&member.holder);
        let token = format!("tidy/{}/{}", self.holder, member.holder);
        let fence = Transaction::new(token).require(key.clone(), version);
        if member.fenced && unchanged_ms >= removal_ms {
            let delete =
                fence.delete(key).delete(heartbeat_key(&member.holder));
            effects.push(MembershipEffect::CommitForPeer(delete));
            self.last_changes.remove(&member.holder);
        } else if !member.fenced && unchanged_ms >= self.options.fence_after_ms
        {
            let holder = member.holder.clone();
            let row = MemberRow { holder, fenced: true };
            effects
                .push(MembershipEffect::CommitForPeer(fence.put(key, &row)));
        }
    }

    /// Returns the transaction that joins the cell or sends a heartbeat, if
    /// one is due and none is in flight.
    pub fn tick(&mut self, now: TimeMs) -> Vec<MembershipEffect> {
        if self.pending || self.fenced {
            return Vec::new();
        }
        let due = self
            .heartbeat_sent_at
            .is_none_or(|at| now.ms_since(at) >= self.options.heartbeat_ms);
        if !due {
            return Vec::new();
        }
        self.pending = true;
        self.heartbeat_sent_at = Some(now);
        self.heartbeats += 1;
        vec![MembershipEffect::Commit(self.transaction())]
    }

    /// Returns the transaction that writes the heartbeat row, and before this
    /// instance has joined also its member row.
    fn transaction(&self) -> Transaction {
        let token = format!("seat/{}/{}", self.holder, self.heartbeats);
        let key = member_key(&self.holder);
        let transaction = Transaction::new(token);
        let transaction = match &self.joined {
            Some(joined) => transaction.require(key, joined.version),
            None => {
                let holder = self.holder.clone();
                let row = MemberRow { holder, fenced: false };
                transaction.require(key.clone(), 0).put(key, &row)
            }
        };
        transaction.put(heartbeat_key(&self.holder), &self.heartbeats)
    }

    /// Applies the result of a [`MembershipEffect::Commit`].
    pub fn on_commit(
        &mut self,
        answer: std::result::Result<CommitAnswer, StoreFault>,
        now: TimeMs,
    ) -> Vec<MembershipEffect> {
        self.pending = false;
        match answer {
            Ok(CommitAnswer::Committed { version }) => {
                self.confirmed_at = self.heartbeat_sent_at;
                self.joined.get_or_insert(Joined {
                    version,
                    at: now,
                    unaware: None,
                });
                Vec::new()
            }
            // Either a join whose answer was lost has written the row of
            // this incarnation, or the row was fenced since. Joining under a
            // new incarnation resolves both cases.
            Ok(CommitAnswer::Conflict { .. }) if !self.fenced => {
                self.fenced = true;
                vec![MembershipEffect::Fenced]
            }
            _ => Vec::new(),
        }
    }

    /// Returns the transaction by which a leaving instance fences itself;
    /// `None` if it hasn't joined.
    pub fn leave(&mut self) -> Option<Transaction> {
        let joined = self.joined.as_ref()?;
        self.fenced = true;
        let key = member_key(&self.holder);
        let holder = self.holder.clone();
        let row = MemberRow { holder, fenced: true };
        let token = format!("leave/{}", self.holder);
        Some(
            Transaction::new(token)
                .require(key.clone(), joined.version)
                .put(key, &row),
        )
    }
}
