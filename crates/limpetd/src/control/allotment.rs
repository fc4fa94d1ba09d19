//! Divides the limits of teams among shards.
//!
//! A team's limit holds for the whole cell. Each shard has an allotment of it,
//! and the owners of the shards adjust the allotments to what they need by
//! conditional writes to one row for each team.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use limpet_core::{
    Epoch, Resources, ShardId, TeamName,
    allotment::{
        Allotment, AllotmentStep, Demand, allotment_key, allotment_prefix,
    },
    scheduler::Event,
    table::{Backoff, StoreFault},
};
use limpet_platform::{Row, Transaction};
use slog::{error, info, warn};

use super::{ControlState, SharedState, owned_shard::OwnedShard};
use crate::metrics::Counter;

/// How often allotments are adjusted, in milliseconds.
const ADJUST_INTERVAL_MS: u64 = 2_000;
/// The most rows, one for each team, that one scan reads.
const TEAM_PAGE_ROWS: usize = 10_000;
/// The initial limit of the random back-off after a failed call, in
/// milliseconds.
const RETRY_BASE_MS: u64 = 100;
/// The largest limit of that back-off, in milliseconds.
const RETRY_CAP_MS: u64 = 5_000;

/// Identifies the allotment of a team in one ownership of a shard.
#[derive(Clone, Debug)]
struct AllotmentId {
    shard: ShardId,
    epoch: Epoch,
    team: TeamName,
}

/// Adjusts the allotments of the teams that have limits, at each interval and
/// after each change of limits.
pub(super) async fn run(state: SharedState) {
    let wake = Rc::clone(&state.borrow().limits_wake);
    loop {
        adjust_all(&state).await;
        let wait = Duration::from_millis(ADJUST_INTERVAL_MS);
        let _ = actix_rt::time::timeout(wait, wake.notified()).await;
    }
}

/// Reads every team's row and proposes new allotments for the owned shards
/// from what each team runs and has waiting there.
pub(super) async fn adjust_all(state: &SharedState) {
    let scan = Rc::clone(&state.borrow().parts.platform.table.scan);
    let allotment_ids = state.borrow().allotment_ids();
    if allotment_ids.is_empty() {
        return;
    }
    let rows =
        scan(allotment_prefix().to_owned(), String::new(), TEAM_PAGE_ROWS)
            .await;
    let rows = match rows {
        Ok(rows) => rows,
        Err(err) => {
            let state = state.borrow();
            state.parts.metrics.add(Counter::TableFailures, 1);
            warn!(
                state.parts.log,
                "limit: reading the allotment rows failed; retrying";
                "error" => %err
            );
            return;
        }
    };
    state.borrow().parts.metrics.add(Counter::RowsRead, rows.len() as u64);
    let rows: BTreeMap<String, Row> =
        rows.into_iter().map(|row| (row.key.clone(), row)).collect();
    for id in allotment_ids {
        let row = rows.get(&allotment_key(&id.team));
        let proposed = state.borrow_mut().propose_allotment(&id, row);
        if let Some(transaction) = proposed {
            actix_rt::spawn(settle(Rc::clone(state), id, transaction));
        }
    }
}

/// Commits one change of an allotment, and retries or reads the row until it
/// is certain whether the change was made.
async fn settle(state: SharedState, id: AllotmentId, first: Transaction) {
    let table = state.borrow().parts.platform.table.clone();
    let mut backoff = Backoff::new(RETRY_BASE_MS, RETRY_CAP_MS);
    let mut step = AllotmentStep::Commit(first);
    loop {
        let (next, failed) = match step {
            AllotmentStep::Commit(transaction) => {
                let answer = (table.commit)(transaction).await;
                state.borrow().count_table_call(&answer, 1);
                let answer = answer.map_err(|err| StoreFault::from(&err));
                let failed = answer.is_err();
                let mut state = state.borrow_mut();
                let next = state.with_allotment(&id, |allotment| {
                    allotment.on_commit(answer)
                });
                (next, failed)
            }
            AllotmentStep::Read(key) => {
                let answer = (table.read)(key).await;
                state.borrow().count_table_call(&answer, 0);
                let answer = answer.map_err(|err| StoreFault::from(&err));
                let failed = answer.is_err();
                let mut state = state.borrow_mut();
                let next = state.with_allotment(&id, |allotment| {
                    allotment.on_read(answer)
                });
                (next, failed)
            }
            AllotmentStep::Settled(allowed) => {
                state.borrow_mut().allow(&id, allowed);
                return;
            }
        };
        let Some(next) = next else { return };
        step = next;
        if failed {
            let wait_ms = backoff.fail(rand::random());
            actix_rt::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }
}

impl ControlState {
    /// Returns every pair of a team with a limit and an owned shard whose
    /// lease is valid.
    fn allotment_ids(&self) -> Vec<AllotmentId> {
        let limited = self
            .config
            .teams
            .iter()
            .filter(|(_, config)| config.limit != Resources::UNLIMITED)
            .map(|(team, _)| team);
        let owned = self
            .shards
            .iter()
            .filter(|&(&shard, owned)| {
                !owned.recovering && self.may_act(shard)
            })
            .map(|(&shard, owned)| (shard, owned.epoch));
        owned
            .flat_map(|(shard, epoch)| {
                limited.clone().map(move |team| AllotmentId {
                    shard,
                    epoch,
                    team: team.clone(),
                })
            })
            .collect()
    }

    /// Returns the transaction that changes an allotment, or `None` if none is
    /// needed or it is unknown whether an earlier one was committed.
    fn propose_allotment(
        &mut self,
        id: &AllotmentId,
        row: Option<&Row>,
    ) -> Option<Transaction> {
        let revision = self.config.revision;
        let limit = self.config.teams.get(&id.team)?.limit;
        let shards: Vec<ShardId> =
            self.cell_shards().into_iter().map(|cell| cell.shard).collect();
        let owned = self.shards.get_mut(&id.shard)?;
        if owned.epoch != id.epoch {
            return None;
        }
        let demand = owned.demand(&id.team);
        let version = owned.owner_version;
        let allotment =
            owned.allotments.entry(id.team.clone()).or_insert_with(|| {
                Allotment::new(id.team.clone(), id.shard, version)
            });
        if allotment.is_pending() {
            return None;
        }
        let step = allotment.on_row(row, &demand, &limit, revision, &shards);
        let allowed = allotment.allowed();
        // A smaller allotment must be in force before the change is sent:
        // another shard may use the rest as soon as it is committed.
        self.allow(id, allowed);
        match step {
            Ok(AllotmentStep::Commit(transaction)) => Some(transaction),
            Ok(_) => None,
            Err(err) => {
                error!(
                    self.parts.log,
                    "limit: an allotment row can't be decoded; ignoring it";
                    "team" => %id.team, "error" => %err
                );
                None
            }
        }
    }

    /// Runs `step` on an allotment, or returns `None` if the ownership has
    /// ended.
    fn with_allotment(
        &mut self,
        id: &AllotmentId,
        step: impl FnOnce(&mut Allotment) -> AllotmentStep,
    ) -> Option<AllotmentStep> {
        let owned = self.shards.get_mut(&id.shard)?;
        if owned.epoch != id.epoch {
            return None;
        }
        owned.allotments.get_mut(&id.team).map(step)
    }

    /// Tells the scheduler what a team may run at once, if that has changed.
    fn allow(&mut self, id: &AllotmentId, allowed: Resources) {
        let Some(owned) = self
            .shards
            .get_mut(&id.shard)
            .filter(|owned| owned.epoch == id.epoch)
        else {
            return;
        };
        if owned.allowed.insert(id.team.clone(), allowed) == Some(allowed) {
            return;
        }
        info!(self.parts.log, "limit: a team's allotment in the shard changed";
            "shard" => id.shard.get(), "team" => %id.team,
            "allotment" => %allowed);
        let team = id.team.clone();
        let event = Event::AllotmentChanged { team, allotment: allowed };
        self.feed(id.shard, &event);
    }
}

impl OwnedShard {
    /// Returns the resources that a team's tasks use and wait for in this
    /// shard. Jobs that are held or cancelled don't count as waiting.
    fn demand(&self, team: &TeamName) -> Demand {
        let running = self
            .scheduler
            .teams()
            .into_iter()
            .find(|view| view.team == *team)
            .map_or(Resources::ZERO, |view| view.running);
        let jobs = self.record.jobs.values();
        let waiting = jobs
            .filter(|job| {
                job.spec.team == *team && !job.cancelled && !job.held
            })
            .fold(Resources::ZERO, |sum, job| sum.plus(&job.waiting_size()));
        Demand { running, waiting }
    }
}
