//! The output formats: tables at several widths, and JSON lines.

use insta::assert_snapshot;
use limpet_core::command::{CommandAnswer, TableCell};
use limpetctl::{TableOptions, write_json, write_table};

/// Returns an answer with columns of numbers, texts, unset flags and durations,
/// and with a part of the cell missing.
fn answer() -> CommandAnswer {
    let text = |text: &str| TableCell::Text(text.to_owned());
    let columns = ["job", "name", "state", "running", "held", "waited_ms"];
    CommandAnswer {
        columns: columns.map(str::to_owned).to_vec(),
        rows: vec![
            vec![
                TableCell::Number(7),
                text("reconcile parish rosters before Sunday"),
                text("running"),
                TableCell::Number(24),
                TableCell::Flag(false),
                TableCell::Number(1_250),
            ],
            vec![
                TableCell::Number(1_000),
                text("settle"),
                text("waiting"),
                TableCell::Number(0),
                TableCell::Flag(false),
                TableCell::Number(3_725_000),
            ],
        ],
        missing: vec!["shard 2 (owner mand-1)".to_owned()],
        ..CommandAnswer::default()
    }
}

/// Returns the table of [`answer`] at a width in characters.
fn table(width: usize) -> String {
    let mut out = Vec::new();
    write_table(&answer(), TableOptions::new().width(width), &mut out)
        .expect("a write to a vector can't fail");
    String::from_utf8(out).expect("a table in UTF-8")
}

#[test]
fn table_within_width() {
    assert_snapshot!(table(100), @"
     job  name                                    state    running  held  waited
       7  reconcile parish rosters before Sunday  running       24  no      1.2s
    1000  settle                                  waiting        0  no     1h02m
    missing: shard 2 (owner mand-1)
    ");
}

#[test]
fn narrow_table_truncates_text() {
    assert_snapshot!(table(50), @"
     job  name                state    running  waited
       7  reconcile parish …  running       24    1.2s
    1000  settle              waiting        0   1h02m
    columns left out: held
    missing: shard 2 (owner mand-1)
    ");
}

#[test]
fn tiny_table_leaves_out_columns() {
    assert_snapshot!(table(20), @"
     job  name
       7  reconcile par…
    1000  settle
    columns left out: state, running, held, waited
    missing: shard 2 (owner mand-1)
    ");
}

#[test]
fn table_without_rows() {
    let mut out = Vec::new();
    let answer = CommandAnswer { rows: Vec::new(), ..answer() };
    write_table(&answer, TableOptions::new(), &mut out)
        .expect("a write to a vector can't fail");
    assert_eq!(out, b"no rows\nmissing: shard 2 (owner mand-1)\n");
}

#[test]
fn json_lines() {
    let mut out = Vec::new();
    write_json(&answer(), &mut out).expect("a write to a vector can't fail");
    let text = String::from_utf8(out).expect("JSON in UTF-8");
    assert_snapshot!(text, @r#"
    {"held":false,"job":7,"name":"reconcile parish rosters before Sunday","running":24,"state":"running","waited_ms":1250}
    {"held":false,"job":1000,"name":"settle","running":0,"state":"waiting","waited_ms":3725000}
    {"missing":["shard 2 (owner mand-1)"]}
    "#);
}
