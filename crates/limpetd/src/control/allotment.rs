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

/// How often allotments are looked at, in milliseconds.
const TRADE_MS: u64 = 2_000;
/// The most teams whose rows one scan reads.
const TEAM_PAGE: usize = 10_000;
/// The first bound of the wait after a failed call, in milliseconds.
const RETRY_BASE_MS: u64 = 100;
/// The last bound of the wait after a failed call, in milliseconds.
const RETRY_CAP_MS: u64 = 5_000;

/// A team's allotment in one ownership of a shard.
#[derive(Clone, Debug)]
struct Trade {
    shard: ShardId,
    epoch: Epoch,
    team: TeamName,
}

/// Trades the allotments of the teams that have limits.
pub(super) async fn run(state: SharedState) {
    let wake = Rc::clone(&state.borrow().limits_wake);
    loop {
        trade_all(&state).await;
        let wait = Duration::from_millis(TRADE_MS);
        let _ = actix_rt::time::timeout(wait, wake.notified()).await;
    }
}

/// Reads every team's row and proposes what the owned shards need.
pub(super) async fn trade_all(state: &SharedState) {
    let scan = Rc::clone(&state.borrow().parts.platform.table.scan);
    let trades = state.borrow().trades();
    if trades.is_empty() {
        return;
    }
    let rows =
        scan(allotment_prefix().to_owned(), String::new(), TEAM_PAGE).await;
    let rows = match rows {
        Ok(rows) => rows,
        Err(err) => {
            let state = state.borrow();
            state.parts.metrics.add(Counter::TableFailures, 1);
            warn!(state.parts.log, "limit: rows not read"; "error" => %err);
            return;
        }
    };
    state.borrow().parts.metrics.add(Counter::RowsRead, rows.len() as u64);
    let rows: BTreeMap<String, Row> =
        rows.into_iter().map(|row| (row.key.clone(), row)).collect();
    for trade in trades {
        let row = rows.get(&allotment_key(&trade.team));
        let proposed = state.borrow_mut().propose_allotment(&trade, row);
        if let Some(transaction) = proposed {
            actix_rt::spawn(settle(Rc::clone(state), trade, transaction));
        }
    }
}

/// Carries one change of an allotment to its certain end.
async fn settle(state: SharedState, trade: Trade, first: Transaction) {
    let table = state.borrow().parts.platform.table.clone();
    let mut backoff = Backoff::new(RETRY_BASE_MS, RETRY_CAP_MS);
    let mut step = AllotmentStep::Commit(first);
    loop {
        let (next, failed) = match step {
            AllotmentStep::Commit(transaction) => {
                let answer = (table.commit)(transaction).await;
                state.borrow().note_table(&answer, 1);
                let answer = answer.map_err(|err| StoreFault::from(&err));
                let failed = answer.is_err();
                let mut state = state.borrow_mut();
                let next = state
                    .with_allotment(&trade, |part| part.on_commit(answer));
                (next, failed)
            }
            AllotmentStep::Read(key) => {
                let answer = (table.read)(key).await;
                state.borrow().note_table(&answer, 0);
                let answer = answer.map_err(|err| StoreFault::from(&err));
                let failed = answer.is_err();
                let mut state = state.borrow_mut();
                let next =
                    state.with_allotment(&trade, |part| part.on_read(answer));
                (next, failed)
            }
            AllotmentStep::Settled(allowed) => {
                state.borrow_mut().allow(&trade, allowed);
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
    /// Returns the limited teams of every shard that may be acted for.
    fn trades(&self) -> Vec<Trade> {
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
                limited.clone().map(move |team| Trade {
                    shard,
                    epoch,
                    team: team.clone(),
                })
            })
            .collect()
    }

    fn propose_allotment(
        &mut self,
        trade: &Trade,
        row: Option<&Row>,
    ) -> Option<Transaction> {
        let revision = self.config.revision;
        let limit = self.config.teams.get(&trade.team)?.limit;
        let shards: Vec<ShardId> =
            self.cell_shards().into_iter().map(|cell| cell.shard).collect();
        let owned = self.shards.get_mut(&trade.shard)?;
        if owned.epoch != trade.epoch {
            return None;
        }
        let demand = owned.demand(&trade.team);
        let version = owned.owner_version;
        let part =
            owned.allotments.entry(trade.team.clone()).or_insert_with(|| {
                Allotment::new(trade.team.clone(), trade.shard, version)
            });
        if part.is_pending() {
            return None;
        }
        let step = part.on_row(row, &demand, &limit, revision, &shards);
        let allowed = part.allowed();
        // What shrinks is in force before the change leaves.
        self.allow(trade, allowed);
        match step {
            Ok(AllotmentStep::Commit(transaction)) => Some(transaction),
            Ok(_) => None,
            Err(err) => {
                error!(self.parts.log, "limit: row not understood";
                    "team" => %trade.team, "error" => %err);
                None
            }
        }
    }

    fn with_allotment(
        &mut self,
        trade: &Trade,
        step: impl FnOnce(&mut Allotment) -> AllotmentStep,
    ) -> Option<AllotmentStep> {
        let owned = self.shards.get_mut(&trade.shard)?;
        if owned.epoch != trade.epoch {
            return None;
        }
        owned.allotments.get_mut(&trade.team).map(step)
    }

    /// Tells the scheduler what a team may run at once, if that is new.
    fn allow(&mut self, trade: &Trade, allowed: Resources) {
        let Some(owned) = self
            .shards
            .get_mut(&trade.shard)
            .filter(|owned| owned.epoch == trade.epoch)
        else {
            return;
        };
        if owned.allowed.insert(trade.team.clone(), allowed) == Some(allowed) {
            return;
        }
        info!(self.parts.log, "limit: allotment changed";
            "shard" => trade.shard.get(), "team" => %trade.team,
            "allotment" => %allowed);
        let team = trade.team.clone();
        let event = Event::AllotmentChanged { team, allotment: allowed };
        self.feed(trade.shard, &event);
    }
}

impl OwnedShard {
    /// Returns what a team runs and lacks in this shard.
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
