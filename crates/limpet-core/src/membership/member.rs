use std::collections::{BTreeMap, BTreeSet};

use super::{MemberRow, MemberSet, beat_key, member_key};
use crate::{
    Result, TimeMs,
    ownership::Holder,
    table::{CommitAnswer, Condition, Row, StoreFault, Transaction},
};

/// The times of a membership.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct SeatOptions {
    /// The time between two heartbeats in the table.
    pub beat_ms: u64,
    /// How long a heartbeat stands still before its member is fenced.
    pub fence_ms: u64,
    /// How long an instance may act on its peers' word alone, after which a
    /// member that could not be told of a new one no longer counts.
    pub solo_ms: u64,
    /// What is waited beyond `solo_ms`, for clocks that run unevenly and
    /// for the last grants of peers.
    pub margin_ms: u64,
}

impl SeatOptions {
    /// Returns a heartbeat every 5 s, a fence after 20 s, and a quarter of
    /// an hour on the peers' word.
    pub const fn new() -> SeatOptions {
        SeatOptions {
            beat_ms: 5_000,
            fence_ms: 20_000,
            solo_ms: 900_000,
            margin_ms: 5_000,
        }
    }
}

impl Default for SeatOptions {
    fn default() -> SeatOptions {
        SeatOptions::new()
    }
}

/// Something to do for the membership.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum SeatEffect {
    /// Send a transaction for this instance's own rows and feed the answer
    /// to [`Seat::on_commit`].
    Commit(Transaction),
    /// Send a transaction about another member; its answer needs no care,
    /// because the next scan shows what became of it.
    Tidy(Transaction),
    /// This instance was fenced and has to join again under a new
    /// incarnation.
    Fenced,
}

/// This instance's own membership.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Seat {
    holder: Holder,
    options: SeatOptions,
    joined: Option<Joined>,
    pending: bool,
    beats: u64,
    beat_at: Option<TimeMs>,
    confirmed_at: Option<TimeMs>,
    still: BTreeMap<Holder, (u64, TimeMs)>,
    lost: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Joined {
    version: u64,
    at: TimeMs,
    /// The members that may not know of this one. `None` until a scan that
    /// was sent after joining.
    unaware: Option<BTreeSet<Holder>>,
}

impl Seat {
    /// Returns the membership of an instance that has not joined yet.
    pub fn new(holder: Holder, options: SeatOptions) -> Seat {
        Seat {
            holder,
            options,
            joined: None,
            pending: false,
            beats: 0,
            beat_at: None,
            confirmed_at: None,
            still: BTreeMap::new(),
            lost: false,
        }
    }

    /// Returns the condition that every act of this instance carries: a
    /// change of configuration and the acquisition of a shard.
    ///
    /// `None` while some member may not know of this one. Such a member
    /// might go on serving on the word of those that it knows, and would
    /// never ask this one.
    pub fn fence(&self, now: TimeMs) -> Option<Condition> {
        let joined = self.joined.as_ref().filter(|_| !self.lost)?;
        let aware = joined.unaware.as_ref().is_some_and(BTreeSet::is_empty);
        let wait_ms = self.options.solo_ms + self.options.margin_ms;
        let outlasted = now.ms_since(joined.at) >= wait_ms;
        (aware || outlasted).then(|| Condition {
            key: member_key(&self.holder),
            version: joined.version,
        })
    }

    /// Returns when the last heartbeat left that the table has taken.
    pub fn confirmed_at(&self) -> Option<TimeMs> {
        self.confirmed_at
    }

    /// Notes a message in which `member` showed what it knows.
    pub fn on_message(&mut self, member: &Holder, knows: &MemberSet) {
        let aware = knows.knows(&self.holder);
        if let Some(Joined { unaware: Some(unaware), .. }) = &mut self.joined
            && aware
        {
            unaware.remove(member);
        }
    }

    /// Takes the rows under [`super::member_prefix`], of a scan that left at
    /// `sent_at`, and adds what they say to `members`.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Internal`] where a row can't be read.
    pub fn on_scan(
        &mut self,
        rows: &[Row],
        sent_at: TimeMs,
        now: TimeMs,
        members: &mut MemberSet,
    ) -> Result<Vec<SeatEffect>> {
        let mut effects = Vec::new();
        let beats: BTreeMap<&str, u64> =
            rows.iter().map(|row| (row.key.as_str(), row.version)).collect();
        let mut found = Vec::new();
        for row in rows.iter().filter(|row| row.key.ends_with("/row")) {
            found.push((row.parse::<MemberRow>()?, row.version));
        }
        for (member, version) in &found {
            let beat = beats.get(beat_key(&member.holder).as_str());
            let beat = beat.copied().unwrap_or(*version);
            self.watch(member, *version, beat, now, &mut effects);
            if member.fenced {
                members.fence(&member.holder);
            } else {
                members.add(&member.holder);
            }
        }
        self.note_unaware(&found, sent_at);
        if members.fenced.contains(&self.holder) && !self.lost {
            self.lost = true;
            effects.push(SeatEffect::Fenced);
        }
        Ok(effects)
    }

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

    /// Fences a member whose heartbeat stands still, and deletes one that
    /// nobody has to wait for any more.
    fn watch(
        &mut self,
        member: &MemberRow,
        version: u64,
        beat: u64,
        now: TimeMs,
        effects: &mut Vec<SeatEffect>,
    ) {
        if member.holder == self.holder {
            return;
        }
        let mark = beat.max(version);
        let seen =
            self.still.entry(member.holder.clone()).or_insert((mark, now));
        if seen.0 != mark {
            *seen = (mark, now);
        }
        let still_ms = now.ms_since(seen.1);
        let gone_ms = self.options.solo_ms + self.options.margin_ms;
        let key = member_key(&member.holder);
        let token = format!("tidy/{}/{}", self.holder, member.holder);
        let fence = Transaction::new(token).require(key.clone(), version);
        if member.fenced && still_ms >= gone_ms {
            let delete = fence.delete(key).delete(beat_key(&member.holder));
            effects.push(SeatEffect::Tidy(delete));
            self.still.remove(&member.holder);
        } else if !member.fenced && still_ms >= self.options.fence_ms {
            let holder = member.holder.clone();
            let row = MemberRow { holder, fenced: true };
            effects.push(SeatEffect::Tidy(fence.put(key, &row)));
        }
    }

    /// Joins, and beats when it is time.
    pub fn tick(&mut self, now: TimeMs) -> Vec<SeatEffect> {
        if self.pending || self.lost {
            return Vec::new();
        }
        let due = self
            .beat_at
            .is_none_or(|at| now.ms_since(at) >= self.options.beat_ms);
        if !due {
            return Vec::new();
        }
        self.pending = true;
        self.beat_at = Some(now);
        self.beats += 1;
        vec![SeatEffect::Commit(self.transaction())]
    }

    fn transaction(&self) -> Transaction {
        let token = format!("seat/{}/{}", self.holder, self.beats);
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
        transaction.put(beat_key(&self.holder), &self.beats)
    }

    /// Takes the answer to a [`SeatEffect::Commit`].
    pub fn on_commit(
        &mut self,
        answer: std::result::Result<CommitAnswer, StoreFault>,
        now: TimeMs,
    ) -> Vec<SeatEffect> {
        self.pending = false;
        match answer {
            Ok(CommitAnswer::Committed { version }) => {
                self.confirmed_at = self.beat_at;
                self.joined.get_or_insert(Joined {
                    version,
                    at: now,
                    unaware: None,
                });
                Vec::new()
            }
            // The row of this incarnation was written by a join whose
            // answer was lost, or was fenced since: a new incarnation is
            // the simple way out of both.
            Ok(CommitAnswer::Conflict { .. }) if !self.lost => {
                self.lost = true;
                vec![SeatEffect::Fenced]
            }
            _ => Vec::new(),
        }
    }

    /// Returns the transaction by which a leaving instance fences itself.
    pub fn leave(&mut self) -> Option<Transaction> {
        let joined = self.joined.as_ref()?;
        self.lost = true;
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
