use super::{AllotmentRow, row::equal_part};
use crate::{Resources, ShardId};

/// What a shard needs for the work of a team.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// The resources of the team's running tasks.
    pub running: Resources,
    /// The resources of waiting tasks that could run but for the team's
    /// limit.
    pub waiting: Resources,
}

/// The options of [`plan`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanOptions {
    /// The divisor of an equal part of the limit that gives the reserve: the
    /// unused amount that a shard keeps when others want more. A value of 2
    /// keeps half of an equal part.
    pub reserve_divisor: u64,
}

impl Default for PlanOptions {
    fn default() -> PlanOptions {
        PlanOptions { reserve_divisor: 2 }
    }
}

/// Returns the allotment that a shard should have of a team's limit, or
/// `None` if it should stay as it is.
///
/// The rules apply to each resource by itself:
///
/// * While the sum of the allotments exceeds the limit, a shard reduces its
///   own to what it runs or to an equal part, whichever is more. A lowered
///   limit is thus met as running work ends.
/// * A shard that needs more takes the difference from what is unallotted:
///   up to half of it, or up to all of it once no more than an equal part is
///   left. Shards that take at the same time thus leave room for each other.
/// * A shard that needs less releases half of the excess, and only while
///   another shard needs more. It keeps a reserve, so that a burst doesn't
///   make two shards exchange the same amount back and forth.
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

/// Computes each field of a [`Resources`] by the same function. The function
/// gets an accessor of the field.
fn per_resource(
    next: impl Fn(&dyn Fn(&Resources) -> u64) -> u64,
) -> Resources {
    Resources::new(
        next(&|r| r.cores_milli),
        next(&|r| r.memory_mb),
        next(&|r| r.accelerators),
    )
}

/// The amounts of a single resource from which [`plan`] computes a shard's
/// next allotment.
struct Amounts {
    /// The shard's allotment.
    held: u64,
    running: u64,
    waiting: u64,
    /// The sum of the allotments of all shards.
    sum: u64,
    limit: u64,
    /// An equal part of the limit.
    equal: u64,
    /// Whether another shard needs more than its allotment.
    others_want: bool,
}

impl Amounts {
    /// Returns the shard's next allotment by the rules of [`plan`].
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

    /// Returns how much of a shortfall the shard takes from what is
    /// unallotted.
    fn increase(&self, shortfall: u64) -> u64 {
        let free = self.limit - self.sum;
        let available =
            if free <= self.equal { free } else { free.div_ceil(2) };
        shortfall.min(available)
    }
}
