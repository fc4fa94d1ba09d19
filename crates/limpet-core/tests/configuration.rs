//! Tests of changes to the configuration: concurrent changes, lost replies
//! and updates that arrive out of order.

mod support;

use limpet_core::{
    ErrorKind, Revision,
    check::ConfigurationCheck,
    config::{CellConfig, ConfigChange, TeamConfig},
    configuration::{
        CELL_KEY, ConfigStore, ConfigUpdate, REVISION_KEY, RevisionStep,
    },
    table::{Settlement, SettlementStep, StoreFault},
};
use support::Table;

fn set_weight(weight: u32) -> ConfigChange {
    let config = TeamConfig { weight, ..TeamConfig::default() };
    ConfigChange::SetTeam { team: "vendors".parse().unwrap(), config }
}

/// Returns a table with the first configuration, at revision 1, and a store
/// that has read it.
fn bootstrapped() -> (Table, ConfigStore) {
    let mut table = Table::default();
    let first = ConfigStore::bootstrap(&CellConfig::default(), "first");
    table.commit(&first.transaction);
    let store = new_store(&table);
    (table, store)
}

fn new_store(table: &Table) -> ConfigStore {
    let mut store = ConfigStore::new();
    store.on_cell(&table.read(CELL_KEY).unwrap()).unwrap();
    store
}

#[test]
fn concurrent_changes() {
    let (mut table, mut first) = bootstrapped();
    let mut second = new_store(&table);
    let ours = first.propose(&set_weight(1), None, "a").unwrap();
    let theirs = second.propose(&set_weight(2), None, "b").unwrap();
    let settle = |table: &mut Table, proposal| {
        let transaction =
            &(proposal as &limpet_core::configuration::Proposal).transaction;
        let mut settlement = Settlement::new(transaction.clone());
        let answer = Ok(table.commit(transaction));
        match settlement.on_commit(answer) {
            SettlementStep::Done(settled) => settled,
            step => panic!("{step:?}"),
        }
    };
    let won = settle(&mut table, &ours);
    assert_eq!(first.on_settled(&ours, &won).unwrap(), Revision::new(2));
    let lost = settle(&mut table, &theirs);
    let refusal = second.on_settled(&theirs, &lost).unwrap_err();
    assert_eq!(refusal.kind(), ErrorKind::Conflict);
    let outdated = first.propose(&set_weight(3), Some(Revision::new(1)), "c");
    assert_eq!(outdated.unwrap_err().kind(), ErrorKind::Conflict);
}

#[test]
fn lost_commit_reply() {
    let (mut table, mut store) = bootstrapped();
    let ours = store.propose(&set_weight(1), None, "a").unwrap();
    table.commit(&ours.transaction);
    // Another change commits before it is known whether ours took effect.
    let mut other = new_store(&table);
    let theirs = other.propose(&set_weight(2), None, "b").unwrap();
    table.commit(&theirs.transaction);
    let mut settlement = Settlement::new(ours.transaction.clone());
    settlement.on_commit(Err(StoreFault::Unknown));
    let again = Ok(table.commit(&ours.transaction));
    let SettlementStep::Read(key) = settlement.on_commit(again) else {
        panic!("the row of the change is not read");
    };
    let step = settlement.on_read(Ok(table.read(&key)));
    let SettlementStep::Done(settled) = step else { panic!("{step:?}") };
    other.on_cell(&table.read(CELL_KEY).unwrap()).unwrap();
    assert_eq!(store.on_settled(&ours, &settled).unwrap(), Revision::new(2));
}

#[test]
fn never_reverts() {
    let (mut table, mut writer) = bootstrapped();
    let mut updates: Vec<ConfigUpdate> = vec![writer.update().unwrap()];
    for weight in 1..5 {
        let next = writer.propose(&set_weight(weight), None, "w").unwrap();
        table.commit(&next.transaction);
        writer.on_cell(&table.read(CELL_KEY).unwrap()).unwrap();
        updates.push(writer.update().unwrap());
    }
    // Each seed delivers the updates in another order, with duplicates.
    for seed in 0..120_usize {
        let mut check = ConfigurationCheck::default();
        let mut store = ConfigStore::new();
        for step in 0..12 {
            let index = (seed / (step + 1) + seed * step) % updates.len();
            store.adopt(updates[index].clone());
            check.record_in_force("a", store.revision()).unwrap();
        }
    }
}

#[test]
fn newer_revision_is_read() {
    let (mut table, store) = bootstrapped();
    let row = table.read(REVISION_KEY);
    let step = store.on_revision(row.as_ref()).unwrap();
    assert_eq!(step, RevisionStep::UpToDate);
    let next = store.propose(&set_weight(1), None, "w").unwrap();
    table.commit(&next.transaction);
    let row = table.read(REVISION_KEY);
    let step = store.on_revision(row.as_ref()).unwrap();
    assert_eq!(step, RevisionStep::ReadCell);
    assert_eq!(store.on_revision(None).unwrap(), RevisionStep::Absent);
}

#[test]
fn check_can_fail() {
    let mut check = ConfigurationCheck::default();
    check.record_in_force("a", Revision::new(3)).unwrap();
    check.record_in_force("b", Revision::new(2)).unwrap();
    assert!(check.record_in_force("a", Revision::new(2)).is_err());
    let mut check = ConfigurationCheck::default();
    check.record_accepted(Revision::new(4), limpet_core::TimeMs::from_ms(10));
    let late = limpet_core::TimeMs::from_ms(4_011);
    assert!(check.record_use("a", Revision::new(4), late).is_ok());
    assert!(check.record_use("a", Revision::new(3), late).is_err());
}
