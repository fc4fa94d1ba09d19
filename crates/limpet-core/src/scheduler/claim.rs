//! Claims the room of preempted tasks for the work for which they were
//! preempted.

use super::{
    Effect, Scheduler,
    slot::{ClassSlot, TeamSlot, WorkerSlot},
};
use crate::{Resources, TaskId, TimeMs};

/// How long room stays claimed before other work may use it.
const CLAIM_LIMIT_MS: u64 = 5_000;

/// Room on a worker that is reserved for the next waiting task of a class of
/// a team.
#[derive(Clone, Debug)]
pub(super) struct RoomClaim {
    pub(super) team: TeamSlot,
    pub(super) class: ClassSlot,
    pub(super) worker: WorkerSlot,
    pub(super) size: Resources,
    pub(super) expires_at: TimeMs,
}

impl Scheduler {
    /// Claims room on a worker for one task of a class of a team.
    pub(super) fn claim_room(
        &mut self,
        team: TeamSlot,
        class: ClassSlot,
        worker: WorkerSlot,
        now: TimeMs,
    ) {
        let size = self.classes.get(class).size;
        let expires_at = now.plus_ms(CLAIM_LIMIT_MS);
        self.fleet.update(worker, |worker| {
            worker.reserved = worker.reserved.plus(&size);
        });
        self.claims.push(RoomClaim { team, class, worker, size, expires_at });
    }

    /// Starts tasks on the claimed room that has become free.
    pub(super) fn use_claims(&mut self, now: TimeMs, out: &mut Vec<Effect>) {
        if self.claims.is_empty() || self.freed.is_empty() {
            return;
        }
        let mut index = 0;
        while index < self.claims.len() {
            if self.is_due(&self.claims[index]) {
                let claim = self.claims.swap_remove(index);
                self.use_claim(&claim, now, out);
            } else {
                index += 1;
            }
        }
    }

    /// Returns whether the room of a claim has become free.
    fn is_due(&self, claim: &RoomClaim) -> bool {
        self.freed.contains(&claim.worker)
            && self
                .fleet
                .get(claim.worker)
                .is_some_and(|worker| claim.size.fits_in(&worker.free()))
    }

    /// Releases a claim and starts the next task of its class on the room.
    fn use_claim(
        &mut self,
        claim: &RoomClaim,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        self.release_claim(claim);
        let Some(worker) = self.fleet.get(claim.worker) else { return };
        let size = self.classes.get(claim.class).size;
        let fits = worker.is_ready() && size.fits_in(&worker.free());
        let allowed = self.teams.get(claim.team).allows(&size);
        let Some(entry) = self.backlog.first(claim.team, claim.class) else {
            return;
        };
        if !fits || !allowed {
            return;
        }
        let group = entry.group as usize;
        let Some(index) = self.pop_waiting(entry.job, group) else { return };
        let id = TaskId::new(entry.job, index);
        self.start_task(
            id,
            claim.worker,
            "room was freed by preemption",
            now,
            out,
        );
    }

    /// Makes the room of a claim available to other work.
    fn release_claim(&mut self, claim: &RoomClaim) {
        self.fleet.update(claim.worker, |worker| {
            worker.reserved = worker.reserved.minus(&claim.size);
        });
        self.record_freed_room(claim.worker);
    }

    /// Drops the claims that have expired without being used.
    pub(super) fn expire_claims(&mut self, now: TimeMs) {
        self.drop_claims(|claim| claim.expires_at <= now);
    }

    /// Drops the claims on a worker that is being removed.
    pub(super) fn drop_claims_on(&mut self, worker: WorkerSlot) {
        self.drop_claims(|claim| claim.worker == worker);
    }

    /// Removes and releases the claims for which `drop` returns true.
    fn drop_claims(&mut self, drop: impl Fn(&RoomClaim) -> bool) {
        let (dropped, kept) =
            std::mem::take(&mut self.claims).into_iter().partition(drop);
        self.claims = kept;
        let dropped: Vec<RoomClaim> = dropped;
        for claim in &dropped {
            self.release_claim(claim);
        }
    }

    /// Returns the total size of a team's claims.
    pub(super) fn claimed_room(&self, team: TeamSlot) -> Resources {
        self.claims
            .iter()
            .filter(|claim| claim.team == team)
            .fold(Resources::ZERO, |sum, claim| sum.plus(&claim.size))
    }

    /// Returns the number of claims for a class of a team.
    pub(super) fn claim_count(
        &self,
        team: TeamSlot,
        class: ClassSlot,
    ) -> usize {
        self.claims
            .iter()
            .filter(|claim| claim.team == team && claim.class == class)
            .count()
    }
}
