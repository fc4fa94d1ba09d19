//! Tests of syntax errors: each names the column, what was found and expected,
//! and a similar word where there is one.

use insta::assert_snapshot;
use limpet_core::command::Command;

fn parse_error(text: &str) -> String {
    match text.parse::<Command>() {
        Ok(command) => format!("parsed: {command}"),
        Err(err) => err.to_string(),
    }
}

#[test]
fn misspelt_topic() {
    assert_snapshot!(parse_error("show jbos"), @"column 6: found `jbos`, expected jobs, tasks, workers, teams, queues, keys, services, endpoints, shards, instances, config, refusals or changes; did you mean `jobs`?");
}

#[test]
fn misspelt_clause() {
    assert_snapshot!(parse_error("show jobs were team = a"), @"column 11: found `were`, expected where, count, sum, order, limit or the end of the command; did you mean `where`?");
}

#[test]
fn misspelt_state() {
    assert_snapshot!(parse_error("show jobs where state = wating"), @"column 25: found `wating`, expected waiting, running, done, failed or cancelled; did you mean `waiting`?");
}

#[test]
fn early_end() {
    assert_snapshot!(parse_error("why job"), @"column 8: the command ends here, expected the number of a job");
}

#[test]
fn open_quote() {
    assert_snapshot!(parse_error("show jobs where team = \"a"), @r#"column 24: found `"a`, expected a closing quote"#);
}

#[test]
fn misspelt_verb() {
    assert_snapshot!(parse_error("cancle job 3"), @"column 1: found `cancle`, expected show, why, dry, submit, cancel, hold, release, create, grant, withdraw, set, reshape or drain; did you mean `cancel`?");
}

#[test]
fn text_after_end() {
    assert_snapshot!(parse_error("why job 3 please"), @"column 11: found `please`, expected the end of the command");
}
