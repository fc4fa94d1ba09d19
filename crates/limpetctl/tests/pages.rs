//! The pages' commands, repeated word for word against a real daemon.

mod support;

use std::fs;

use limpet_core::command::{Column, Topic};
use support::page::{check_page, root};

#[test]
fn readme_tour() {
    check_page("README.md");
}

#[test]
fn commands_page() {
    check_page("docs/COMMANDS.md");
}

#[test]
fn topic_columns() {
    let page = fs::read_to_string(root().join("docs/COMMANDS.md")).unwrap();
    for topic in Topic::ALL {
        let columns: Vec<&str> = topic.columns().map(Column::name).collect();
        let row = format!("| `{topic}` | {} |\n", columns.join(", "));
        assert!(page.contains(&row), "docs/COMMANDS.md lacks\n{row}");
    }
}
