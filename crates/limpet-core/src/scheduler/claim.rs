//! Keeps the room of tasks that were taken off for the work that they made
//! room for.

use super::{
    Effect, Scheduler,
    slot::{ClassSlot, TeamSlot, WorkerSlot},
};
use crate::{Resources, TaskId, TimeMs};

/// How long room is kept before it is given to others.
const CLAIM_LIMIT_MS: u64 = 5_000;

/// Room on a worker for the first waiting task of a team's class.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) team: TeamSlot,
    pub(super) class: ClassSlot,
    pub(super) worker: WorkerSlot,
    pub(super) size: Resources,
    pub(super) expires_at: TimeMs,
}

impl Scheduler {
    /// Keeps room on a worker for a team's class.
    pub(super) fn claim(
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
        self.claims.push(Claim { team, class, worker, size, expires_at });
    }

    /// Starts the tasks for which room was kept on workers that freed some.
    pub(super) fn settle_claims(
        &mut self,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        if self.claims.is_empty() || self.freed.is_empty() {
            return;
        }
        let mut index = 0;
        while index < self.claims.len() {
            if self.is_due(&self.claims[index]) {
                let claim = self.claims.swap_remove(index);
                self.settle_claim(&claim, now, out);
            } else {
                index += 1;
            }
        }
    }

    fn is_due(&self, claim: &Claim) -> bool {
        self.freed.contains(&claim.worker)
            && self
                .fleet
                .get(claim.worker)
                .is_some_and(|worker| claim.size.fits_in(&worker.free()))
    }

    fn settle_claim(
        &mut self,
        claim: &Claim,
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
        self.start_task(id, claim.worker, "room was made for it", now, out);
    }

    fn release_claim(&mut self, claim: &Claim) {
        self.fleet.update(claim.worker, |worker| {
            worker.reserved = worker.reserved.minus(&claim.size);
        });
        self.note_freed(claim.worker);
    }

    /// Gives up the claims that nothing came of.
    pub(super) fn expire_claims(&mut self, now: TimeMs) {
        self.drop_claims(|claim| claim.expires_at <= now);
    }

    /// Gives up the claims on a worker that is taken out.
    pub(super) fn drop_claims_on(&mut self, worker: WorkerSlot) {
        self.drop_claims(|claim| claim.worker == worker);
    }

    fn drop_claims(&mut self, drop: impl Fn(&Claim) -> bool) {
        let (dropped, kept) =
            std::mem::take(&mut self.claims).into_iter().partition(drop);
        self.claims = kept;
        let dropped: Vec<Claim> = dropped;
        for claim in &dropped {
            self.release_claim(claim);
        }
    }

    /// Returns the room that is kept for a team.
    pub(super) fn claimed_by(&self, team: TeamSlot) -> Resources {
        self.claims
            .iter()
            .filter(|claim| claim.team == team)
            .fold(Resources::ZERO, |sum, claim| sum.plus(&claim.size))
    }

    /// Returns how many claims a team's class has.
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
