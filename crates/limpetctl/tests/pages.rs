//! Checks that the documentation shows the real output of its commands, by
//! running them against a real daemon. `LIMPET_WRITE_PAGES=1` writes the
//! output into the pages instead.

mod support;

use std::fs;

use limpet_core::command::{Column, Topic};
use support::page::{check_page, root};

#[test]
fn readme_commands() {
    check_page("README.md");
}

#[test]
fn commands_page() {
    check_page("docs/COMMANDS.md");
}

#[test]
fn commands_page_lists_columns() {
    let page = fs::read_to_string(root().join("docs/COMMANDS.md")).unwrap();
    for topic in Topic::ALL {
        let columns: Vec<&str> = topic.columns().map(Column::name).collect();
        let row = format!("| `{topic}` | {} |\n", columns.join(", "));
        assert!(page.contains(&row), "docs/COMMANDS.md lacks\n{row}");
    }
}
