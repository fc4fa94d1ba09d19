use super::{AllotmentRow, row::equal_part};
use crate::{Resources, ShardId};

/// What a shard runs and lacks of a team.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// What is committed now.
    pub running: Resources,
    /// What waits and would run if the team's limit were no bar.
    pub waiting: Resources,
}

/// How a shard trades its allotment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanOptions {
    /// The part of the limit that a shard keeps unused when others want
    /// more, as its denominator over the number of shards: 2 keeps half of
    /// an equal part.
    pub reserve_divisor: u64,
}

impl Default for PlanOptions {
    fn default() -> PlanOptions {
        PlanOptions { reserve_divisor: 2 }
    }
}

/// Returns the allotment that a shard should have of a team, or `None`
/// where it should stay.
///
/// * Above the limit, a shard shrinks to what it runs or to an equal part,
///   whichever is more, so that a lowered limit is met as work ends.
/// * A shard that lacks takes what it lacks, at most half of what no shard
///   holds beyond the last equal part of it, so that simultaneous takers
///   leave room for one another.
/// * A shard that holds more than it uses gives back half of the excess,
///   and only while another one lacks. It keeps a reserve, so that a burst
///   doesn't make two shards trade the same amount to and fro.
pub fn plan(
    row: &AllotmentRow,
    shard: ShardId,
    demand: &Demand,
    limit: &Resources,
    options: &PlanOptions,
) -> Option<Resources> {
    let held = row.get(shard);
    let next = per_resource(|field| {
        let amounts = Amounts {
            held: field(&held),
            running: field(&demand.running),
            waiting: field(&demand.waiting),
            sum: field(&row.sum()),
            limit: field(limit),
            equal: field(&equal_part(limit, row.shards.len())),
            others_want: row
                .wanted
                .iter()
                .any(|(&other, wanted)| other != shard && field(wanted) > 0),
        };
        amounts.next(options)
    });
    (next != held).then_some(next)
}

/// Computes each field of a [`Resources`] by the same rule.
fn per_resource(
    next: impl Fn(&dyn Fn(&Resources) -> u64) -> u64,
) -> Resources {
    Resources::new(
        next(&|r| r.cores_milli),
        next(&|r| r.memory_mb),
        next(&|r| r.accelerators),
    )
}

struct Amounts {
    held: u64,
    running: u64,
    waiting: u64,
    sum: u64,
    limit: u64,
    equal: u64,
    others_want: bool,
}

impl Amounts {
    fn next(&self, options: &PlanOptions) -> u64 {
        if self.sum > self.limit {
            return self.held.min(self.running.max(self.equal));
        }
        let need = self.running.saturating_add(self.waiting);
        if need > self.held {
            return self.held + self.increase(need - self.held);
        }
        let reserve = self.equal / options.reserve_divisor.max(1);
        let keep = need.saturating_add(reserve.min(self.held));
        if self.others_want && self.held > keep {
            let excess = self.held - keep;
            return self.held - excess.div_ceil(2);
        }
        self.held
    }

    fn increase(&self, shortfall: u64) -> u64 {
        let free = self.limit - self.sum;
        let available =
            if free <= self.equal { free } else { free.div_ceil(2) };
        shortfall.min(available)
    }
}
