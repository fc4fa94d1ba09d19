use crate::TimeMs;

/// Returns one party's part of `total` when `parties` divide it, the first
/// ones by rank taking what doesn't divide.
///
/// # Examples
///
/// ```
/// use limpet_core::routing::share_of;
///
/// let parts: Vec<u32> = (0..7).map(|rank| share_of(64, rank, 7)).collect();
/// assert_eq!(parts, [10, 9, 9, 9, 9, 9, 9]);
/// ```
pub const fn share_of(total: u32, rank: u32, parties: u32) -> u32 {
    let parties = if parties == 0 { 1 } else { parties };
    total / parties + (rank % parties < total % parties) as u32
}

/// This instance's place among those that divide what they share.
///
/// A place that would enlarge some share takes effect only after the list's
/// lag; one that can only shrink shares takes effect at once. So the sum
/// over all instances stays within the whole while they come and go.
#[derive(Clone, Debug)]
pub struct ShareWindow {
    rank: u32,
    parties: u32,
    proposed: (u32, u32),
    proposed_at: TimeMs,
    joined_at: TimeMs,
    settle_ms: u64,
}

impl ShareWindow {
    /// Returns the place of an instance that was started at `now`. A changed
    /// list has reached every instance after `settle_ms`.
    pub fn new(
        rank: u32,
        parties: u32,
        settle_ms: u64,
        now: TimeMs,
    ) -> ShareWindow {
        let parties = parties.max(1);
        ShareWindow {
            rank,
            parties,
            proposed: (rank, parties),
            proposed_at: now,
            joined_at: now,
            settle_ms,
        }
    }

    /// Takes in the place that the newest list gives.
    pub fn update(&mut self, rank: u32, parties: u32, now: TimeMs) {
        let place = (rank, parties.max(1));
        if place != self.proposed {
            self.proposed = place;
            self.proposed_at = now;
        }
        if now.ms_since(self.proposed_at) >= self.settle_ms {
            (self.rank, self.parties) = self.proposed;
        } else if self.proposed.1 > self.parties {
            self.parties = self.proposed.1;
        }
    }

    /// Returns this instance's part of `total`, with the remainder handed
    /// out from a start that differs by `salt`. While the list changes,
    /// nobody takes of the remainder, for two could claim the same rank.
    pub fn part(&self, total: u32, salt: u32) -> u32 {
        if self.proposed != (self.rank, self.parties) {
            return total / self.parties;
        }
        let rank = (self.rank + salt % self.parties) % self.parties;
        share_of(total, rank, self.parties)
    }

    /// Returns this instance's part of `total` where the whole keeps one
    /// more part free for an instance that joins before all know of it.
    pub fn part_beside_joiner(&self, total: u32) -> u32 {
        total / (self.parties + 1)
    }

    /// Returns this instance's part of a `limit` that must hold: none until
    /// every other instance has shrunk its own.
    pub fn part_of_limit(&self, limit: u32, now: TimeMs) -> u32 {
        if now.ms_since(self.joined_at) < self.settle_ms {
            return 0;
        }
        self.part(limit, 0)
    }

    /// Returns how many instances divide.
    pub fn parties(&self) -> u32 {
        self.parties
    }
}
