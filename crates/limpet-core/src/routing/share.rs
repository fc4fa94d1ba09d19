use crate::TimeMs;

/// How long a grown share waits until it is used. It covers the lag of the
/// platform's list, so that an instance which still counts itself in has
/// shrunk its own share first.
const SETTLE_MS: u64 = 15_000;

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
}

impl ShareWindow {
    /// Returns the place of an instance that was just started: it counts
    /// itself last and uses nothing larger before the others know of it.
    pub fn new(rank: u32, parties: u32, now: TimeMs) -> ShareWindow {
        let place = (rank, parties.max(1));
        ShareWindow {
            rank: place.0,
            parties: place.1,
            proposed: place,
            proposed_at: now,
        }
    }

    /// Takes in the place that the newest list gives.
    pub fn update(&mut self, rank: u32, parties: u32, now: TimeMs) {
        let place = (rank, parties.max(1));
        if place != self.proposed {
            self.proposed = place;
            self.proposed_at = now;
        }
        let settled = now.ms_since(self.proposed_at) >= SETTLE_MS;
        if settled {
            (self.rank, self.parties) = self.proposed;
        } else if self.proposed.1 > self.parties {
            // More parties: shrink at once, and take no remainder until
            // every party agrees on the ranks.
            self.parties = self.proposed.1;
            self.rank = self.parties - 1;
        }
    }

    /// Returns this instance's part of `total`, with the remainder handed
    /// out from a start that differs by `salt`.
    pub fn part(&self, total: u32, salt: u32) -> u32 {
        if self.proposed != (self.rank, self.parties) {
            return total / self.parties;
        }
        let rank = (self.rank + salt % self.parties) % self.parties;
        share_of(total, rank, self.parties)
    }

    /// Returns how many instances divide.
    pub fn parties(&self) -> u32 {
        self.parties
    }
}
