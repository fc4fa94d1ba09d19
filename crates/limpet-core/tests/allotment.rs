//! Division of a team's upper limit among shards.

mod support;

use limpet_core::{
    Resources, Revision, ShardId, TeamName,
    allotment::{
        Allotment, AllotmentRow, AllotmentStep, Demand, allotment_key,
    },
    ownership::owner_key,
    table::{Row, StoreFault, Transaction},
};
use support::Table;

const SHARDS: [ShardId; 2] = [ShardId::new(1), ShardId::new(2)];

fn team() -> TeamName {
    "vendors".parse().unwrap()
}

fn cores_milli(count: u64) -> Resources {
    Resources::new(count, 0, 0)
}

/// Returns the demand of a shard, in thousandths of a core.
fn demand(running: u64, waiting: u64) -> Demand {
    Demand { running: cores_milli(running), waiting: cores_milli(waiting) }
}

fn table() -> Table {
    let mut table = Table::default();
    for shard in SHARDS {
        let owner = Transaction::new("own").put(owner_key(shard), &1);
        table.commit(&owner);
    }
    table
}

fn owner(table: &Table, shard: ShardId) -> Allotment {
    let version = table.read(&owner_key(shard)).unwrap().version;
    Allotment::new(team(), shard, version)
}

fn propose(
    allotment: &mut Allotment,
    row: Option<&Row>,
    demand: Demand,
    limit: u64,
    revision: u64,
) -> AllotmentStep {
    let revision = Revision::new(revision);
    let limit = cores_milli(limit);
    allotment.on_row(row, &demand, &limit, revision, &SHARDS).unwrap()
}

/// Commits changes to the shard's allotment until none is due. `limit` is the
/// team's, in thousandths of a core, at the configuration's `revision`.
fn settle(
    allotment: &mut Allotment,
    table: &mut Table,
    demand: Demand,
    limit: u64,
    revision: u64,
) {
    for _ in 0..40 {
        let row = table.read(&allotment_key(&team()));
        let step = propose(allotment, row.as_ref(), demand, limit, revision);
        let AllotmentStep::Commit(transaction) = step else { return };
        allotment.on_commit(Ok(table.commit(&transaction)));
        // After the limit is lowered, the sum may exceed it for a time, but
        // not the highest limit of these tests.
        let sum = current(table).sum();
        assert!(sum.fits_in(&cores_milli(limit)) || sum.cores_milli <= 100);
    }
}

/// Returns the team's allotments as the table holds them.
fn current(table: &Table) -> AllotmentRow {
    table.read(&allotment_key(&team())).unwrap().parse().unwrap()
}

#[test]
fn follows_demand() {
    let mut table = table();
    let mut busy = owner(&table, SHARDS[0]);
    let mut idle = owner(&table, SHARDS[1]);
    for _ in 0..20 {
        settle(&mut busy, &mut table, demand(50, 100), 100, 1);
        settle(&mut idle, &mut table, demand(0, 0), 100, 1);
    }
    assert_eq!(busy.allowed().cores_milli, 75);
    assert_eq!(idle.allowed().cores_milli, 25, "the reserve is kept");
}

#[test]
fn steady_under_bursts() {
    let mut table = table();
    let mut first = owner(&table, SHARDS[0]);
    let mut second = owner(&table, SHARDS[1]);
    settle(&mut first, &mut table, demand(0, 0), 100, 1);
    let before = table.version;
    // In turn, one shard uses half of its equal part and the other is idle.
    for round in 0..100 {
        let (first_running, second_running) =
            if round % 2 == 0 { (25, 0) } else { (0, 25) };
        settle(&mut first, &mut table, demand(first_running, 0), 100, 1);
        settle(&mut second, &mut table, demand(second_running, 0), 100, 1);
    }
    assert_eq!(table.version, before, "no allotment changed");
}

#[test]
fn lowered_limit() {
    let mut table = table();
    let mut first = owner(&table, SHARDS[0]);
    let mut second = owner(&table, SHARDS[1]);
    settle(&mut first, &mut table, demand(40, 0), 100, 1);
    settle(&mut second, &mut table, demand(10, 0), 100, 1);
    settle(&mut first, &mut table, demand(40, 0), 40, 2);
    let row = current(&table);
    assert!(!row.is_in_force(&cores_milli(40), Revision::new(2)));
    assert_eq!(row.shards_over_part(&cores_milli(40)), [SHARDS[1], SHARDS[0]]);
    settle(&mut second, &mut table, demand(10, 0), 40, 2);
    assert_eq!(second.allowed().cores_milli, 20);
    // The limit isn't in force while running work exceeds it.
    assert!(!current(&table).is_in_force(&cores_milli(40), Revision::new(2)));
    settle(&mut first, &mut table, demand(15, 0), 40, 2);
    assert!(current(&table).is_in_force(&cores_milli(40), Revision::new(2)));
}

#[test]
fn old_revision() {
    let mut table = table();
    let mut informed = owner(&table, SHARDS[0]);
    let mut behind = owner(&table, SHARDS[1]);
    settle(&mut informed, &mut table, demand(0, 0), 40, 2);
    settle(&mut behind, &mut table, demand(20, 80), 100, 1);
    assert_eq!(behind.allowed().cores_milli, 20, "it must not grow");
}

#[test]
fn lost_answer() {
    let mut table = table();
    let mut shard = owner(&table, SHARDS[0]);
    settle(&mut shard, &mut table, demand(0, 0), 100, 1);
    let before = table.read(&allotment_key(&team()));
    let step = propose(&mut shard, before.as_ref(), demand(0, 0), 60, 2);
    let AllotmentStep::Commit(shrink) = step else { panic!("{step:?}") };
    table.commit(&shrink);
    let step = shard.on_commit(Err(StoreFault::Unknown));
    assert_eq!(step, AllotmentStep::Commit(shrink.clone()));
    assert_eq!(shard.allowed().cores_milli, 30, "the smaller amount");
    // Another shard's change overwrites the token of the first one.
    let mut other = owner(&table, SHARDS[1]);
    settle(&mut other, &mut table, demand(0, 0), 60, 2);
    let step = shard.on_commit(Ok(table.commit(&shrink)));
    let AllotmentStep::Read(key) = step else { panic!("{step:?}") };
    shard.on_read(Ok(table.read(&key)));
    assert_eq!(shard.allowed().cores_milli, 30);
    // A row that was read before the change is ignored.
    propose(&mut shard, before.as_ref(), demand(0, 0), 60, 2);
    assert_eq!(shard.allowed().cores_milli, 30);
}

#[test]
fn earlier_owner() {
    let mut table = table();
    let mut old = owner(&table, SHARDS[0]);
    settle(&mut old, &mut table, demand(0, 0), 100, 1);
    let row = table.read(&allotment_key(&team()));
    let step = propose(&mut old, row.as_ref(), demand(0, 0), 60, 2);
    let AllotmentStep::Commit(late) = step else { panic!("{step:?}") };
    table.commit(&Transaction::new("next").put(owner_key(SHARDS[0]), &2));
    let mut new = owner(&table, SHARDS[0]);
    settle(&mut new, &mut table, demand(45, 0), 100, 1);
    table.commit(&late);
    assert_eq!(current(&table).get(SHARDS[0]).cores_milli, 50);
}
