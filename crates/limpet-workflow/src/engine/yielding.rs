//! Batch work yields to waiting gangs.
//!
//! A gang needs the room of all of its members at the same time, while a task
//! of batch work takes any room that comes free. Without a limit the least
//! urgent queue is served first in a full cell.
//! `docs/design/gang-admission.md` tells what was weighed.

use super::{
    Engine, WaitCause,
    rank::{Lateness, Rank},
    step_context::StepContext,
};
use crate::key::StepKey;

/// The largest share of the cores that batch work leaves free for gangs. The
/// rest goes to batch work, so that it doesn't starve.
const MAX_SHARE: f64 = 0.2;
/// The same while batch work misses its own objective: the cell is too full
/// for both, and cores that wait for gangs are lost to all.
const OVERLOAD_SHARE: f64 = 0.1;

impl Engine {
    /// Determines the cores that waiting gangs need. Gangs that miss their
    /// objective anyway don't count, nor do those that can't be complete or are
    /// over the limit of their team.
    pub(super) fn update_gang_demand(&mut self, order: &[(Rank, StepKey)]) {
        for (rank, key) in order {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let spec = job.step_spec(key.step);
            let room = self.service_rooms.get_mut(&job.policy.service);
            room.has_late_batch |= rank.less_urgent
                && !spec.gang
                && rank.lateness == Lateness::Late;
            let step = job.step(key.occurrence, key.step);
            let may_start =
                !step.stranded && step.wait_cause != WaitCause::Quota;
            let is_on_time = rank.lateness == Lateness::OnTime;
            if spec.gang && is_on_time && may_start {
                let needed_milli =
                    u64::from(step.remaining) * spec.task.cores_milli;
                *room.gang_demand.entry(rank.priority).or_default() +=
                    needed_milli;
            }
        }
    }

    /// Returns the cores that a step has to leave free for gangs of more
    /// urgent queues besides those that are reserved for them, in thousandths.
    /// A step that has little time left yields none, nor does any while half of
    /// its service is free.
    pub(super) fn yielded_cores_milli(&self, ctx: &StepContext) -> i64 {
        let room = self.room_of(ctx);
        let is_half_free = room.free_milli * 2 >= room.usable_milli;
        if ctx.priority == 0 || ctx.has_little_time || is_half_free {
            return 0;
        }
        let share = match room.has_late_batch {
            true => OVERLOAD_SHARE,
            false => MAX_SHARE,
        };
        let limit = room.usable_milli as f64 * share;
        room.unmet_demand(ctx.priority - 1).min(limit as u64) as i64
    }
}
