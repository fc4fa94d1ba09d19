use crate::TimeMs;

/// Returns one party's part of `total` when `routers` divide it, the first
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
pub const fn share_of(total: u32, rank: u32, routers: u32) -> u32 {
    let routers = if routers == 0 { 1 } else { routers };
    total / routers + (rank % routers < total % routers) as u32
}

/// This instance's place among those that divide what they share.
///
/// A place that would enlarge some share takes effect only after the list's
/// lag; one that can only shrink shares takes effect at once. So the sum
/// over all instances stays within the whole while they come and go.
#[derive(Clone, Debug)]
pub struct RouterShare {
    rank: u32,
    routers: u32,
    proposed: (u32, u32),
    proposed_at: TimeMs,
    joined_at: TimeMs,
    settle_ms: u64,
}

impl RouterShare {
    /// Returns the place of an instance that was started at `now`. A changed
    /// list has reached every instance after `settle_ms`.
    pub fn new(
        rank: u32,
        routers: u32,
        settle_ms: u64,
        now: TimeMs,
    ) -> RouterShare {
        let routers = routers.max(1);
        RouterShare {
            rank,
            routers,
            proposed: (rank, routers),
            proposed_at: now,
            joined_at: now,
            settle_ms,
        }
    }

    /// Takes in the place that the newest list gives.
    pub fn update(&mut self, rank: u32, routers: u32, now: TimeMs) {
        let place = (rank, routers.max(1));
        if place != self.proposed {
            self.proposed = place;
            self.proposed_at = now;
        }
        if now.ms_since(self.proposed_at) >= self.settle_ms {
            (self.rank, self.routers) = self.proposed;
        } else if self.proposed.1 > self.routers {
            self.routers = self.proposed.1;
        }
    }

    /// Returns this instance's part of `total`, with the remainder handed
    /// out from a start that differs by `salt`. While the list changes,
    /// nobody takes of the remainder, for two could claim the same rank.
    pub fn part(&self, total: u32, salt: u32) -> u32 {
        if self.proposed != (self.rank, self.routers) {
            return total / self.routers;
        }
        let rank = (self.rank + salt % self.routers) % self.routers;
        share_of(total, rank, self.routers)
    }

    /// Returns this instance's part of `total` where the whole keeps one
    /// more part free for an instance that joins before all know of it.
    pub fn part_reserving_joiner(&self, total: u32) -> u32 {
        total / (self.routers + 1)
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
    pub fn routers(&self) -> u32 {
        self.routers
    }
}
