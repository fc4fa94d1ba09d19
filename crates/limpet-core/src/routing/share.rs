use crate::TimeMs;

/// Returns one router's part of `total` when `routers` routers divide it.
///
/// `rank` is the router's position among them, from 0. The remainder of the
/// division goes to the routers with the lowest ranks.
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

/// One router's share of what all routers divide among themselves: the slots
/// and connections of runners, and the request limits of teams.
///
/// The routers learn of a changed list of instances at different times. A
/// change that could enlarge a share therefore takes effect only once the
/// list has reached every instance, and a change that can only shrink shares
/// takes effect at once. So the sum of all shares stays within the total
/// while instances come and go.
#[derive(Clone, Debug)]
pub struct RouterShare {
    rank: u32,
    routers: u32,
    /// The rank and the number of routers by the newest list.
    proposed: (u32, u32),
    /// When a list last changed `proposed`.
    proposed_at: TimeMs,
    /// When this instance started.
    joined_at: TimeMs,
    /// How long a changed list of instances takes to reach every instance.
    settle_ms: u64,
}

impl RouterShare {
    /// Returns the share of the router at position `rank`, from 0, among
    /// `routers` routers, in an instance that started at `now`. A changed
    /// list of instances has reached all of them after `settle_ms`.
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

    /// Sets the position and the number of routers by the newest list.
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

    /// Returns this router's part of `total`.
    ///
    /// The remainder of the division goes to different routers for different
    /// values of `salt`. While the list of instances changes, no router gets
    /// any of the remainder, because two routers could hold the same rank.
    pub fn part(&self, total: u32, salt: u32) -> u32 {
        if self.proposed != (self.rank, self.routers) {
            return total / self.routers;
        }
        let rank = (self.rank + salt % self.routers) % self.routers;
        share_of(total, rank, self.routers)
    }

    /// Returns this router's part of `total` when one part more is left free
    /// for a router that joins before all others have learnt of it.
    pub fn part_reserving_joiner(&self, total: u32) -> u32 {
        total / (self.routers + 1)
    }

    /// Returns this router's part of a `limit` that the sum of all parts
    /// must never exceed. It is 0 for `settle_ms` after the start of the
    /// instance, until every other instance has reduced its own part.
    pub fn part_of_limit(&self, limit: u32, now: TimeMs) -> u32 {
        if now.ms_since(self.joined_at) < self.settle_ms {
            return 0;
        }
        self.part(limit, 0)
    }

    /// Returns the number of routers that divide the total.
    pub fn routers(&self) -> u32 {
        self.routers
    }
}
