//! The evacuated data centres are exactly those that the rows of the
//! operators' table name, whatever the order in which changes arrive.

use limpet_adapter::{Row, RowName};
use limpet_entry::EvacuationRows;

/// Returns a row of the operators' table, or of its removal.
fn row(key: &str, version: u64, present: bool) -> Row {
    Row {
        name: RowName {
            table: "op".to_owned(),
            part: String::new(),
            key: key.to_owned(),
        },
        version,
        value: present.then(|| b"{}".to_vec()),
    }
}

/// Applies changed rows. Returns the beginnings (+) and ends (-), with their
/// versions.
fn apply(rows: &mut EvacuationRows, changed: &[Row]) -> String {
    describe(&rows.apply(changed))
}

/// Like [`apply`], for a full read.
fn replace(rows: &mut EvacuationRows, read: &[Row], version: u64) -> String {
    describe(&rows.replace(read, version))
}

fn describe(changes: &[limpet_entry::EvacuationChange]) -> String {
    let describe = |change: &limpet_entry::EvacuationChange| {
        let sign = if change.began { "+" } else { "-" };
        format!("{sign}{}@{}", change.data_centre, change.store_version)
    };
    changes.iter().map(describe).collect::<Vec<_>>().join(" ")
}

/// Returns the evacuated data centres.
fn centres(rows: &EvacuationRows) -> String {
    rows.data_centres().into_iter().collect::<Vec<_>>().join(" ")
}

/// Guards against a request that is missed, or goes on after its withdrawal.
#[test]
fn comes_and_goes() {
    let mut rows = EvacuationRows::default();
    assert_eq!(replace(&mut rows, &[row("config", 3, true)], 5), "");
    assert_eq!(apply(&mut rows, &[row("evacuate/z1", 6, true)]), "+z1@6");
    // The operator writes the row again.
    assert_eq!(apply(&mut rows, &[row("evacuate/z1", 7, true)]), "");
    let others = [row("evacuate/z2", 8, true), row("evacuate/z1", 9, false)];
    assert_eq!(apply(&mut rows, &others), "+z2@8 -z1@9");
    assert_eq!(centres(&rows), "z2");
    assert_eq!(apply(&mut rows, &[row("evacuate/", 10, true)]), "");
    let mut part = row("evacuate/z3", 11, true);
    part.name.part = "p".to_owned();
    assert_eq!(apply(&mut rows, &[part]), "");
    assert_eq!(centres(&rows), "z2");
}

/// Guards against an evacuation that goes on for good since its end arrived
/// before its beginning.
#[test]
fn end_before_beginning() {
    let mut rows = EvacuationRows::default();
    assert_eq!(apply(&mut rows, &[row("evacuate/z1", 9, false)]), "");
    assert_eq!(apply(&mut rows, &[row("evacuate/z1", 8, true)]), "");
    assert_eq!(centres(&rows), "");
    assert_eq!(apply(&mut rows, &[row("evacuate/z1", 10, true)]), "+z1@10");
}

/// Guards against changes that are lost with the history of the feed: also a
/// withdrawal, which a full read only shows by the missing row.
#[test]
fn history_lost() {
    let mut rows = EvacuationRows::default();
    let first = [row("evacuate/z1", 2, true), row("evacuate/z2", 3, true)];
    assert_eq!(replace(&mut rows, &first, 4), "+z1@2 +z2@3");
    let second = [row("evacuate/z2", 3, true), row("evacuate/z3", 7, true)];
    assert_eq!(replace(&mut rows, &second, 9), "-z1@9 +z3@7");
    assert_eq!(centres(&rows), "z2 z3");
    // The feed repeats a change of before the read.
    assert_eq!(apply(&mut rows, &[row("evacuate/z1", 8, true)]), "");
    assert_eq!(apply(&mut rows, &[row("evacuate/z3", 6, false)]), "");
    assert_eq!(centres(&rows), "z2 z3");
    assert_eq!(apply(&mut rows, &[row("evacuate/z1", 10, true)]), "+z1@10");
}
