//! The tables in docs/OPERATIONS.md are complete: error kinds, counters and
//! settings.

use std::{fs, path::Path};

use limpet_core::ErrorKind;
use limpetd::{Settings, metrics::Counter};

/// Returns the text of the page.
fn page() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::read_to_string(root.join("docs/OPERATIONS.md")).unwrap()
}

/// Returns the row of an error kind in the table of refusals.
fn refusal_row(kind: ErrorKind) -> String {
    let response = kind.response();
    let retry = match response.retry_after_ms {
        None => "—".to_owned(),
        Some(0) => "at once".to_owned(),
        Some(ms) => format!("{ms} ms"),
    };
    format!(
        "| `{}` | {} | {} | {retry} | {} |\n",
        response.code,
        response.http_status,
        response.run.as_str(),
        kind.remedy()
    )
}

#[test]
fn refusal_table() {
    let rows = ErrorKind::ALL.iter().map(|kind| refusal_row(*kind));
    let table: String = rows.collect();
    assert!(page().contains(&table), "the table should be\n{table}");
}

#[test]
fn metric_table() {
    let page = page();
    for counter in Counter::ALL {
        let row = format!("| `{}` | ", counter.name());
        assert!(page.contains(&row), "docs/OPERATIONS.md lacks {row}");
    }
}

#[test]
fn settings_table() {
    let page = page();
    let text = Settings::parse("").unwrap().to_toml();
    let mut section = String::new();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix('[') {
            section = name.trim_matches(['[', ']']).to_owned();
        } else if let Some((key, _)) = line.split_once(" = ") {
            let row = format!("| `{section}.{key}` | ");
            assert!(page.contains(&row), "docs/OPERATIONS.md lacks {row}");
        }
    }
}
