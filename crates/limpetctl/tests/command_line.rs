//! Runs `limpetctl` against a real daemon and checks its exit status, its
//! output, scripts, confirmations and the record of changes.

mod support;

use std::fs;

use insta::assert_snapshot;
use support::{Ctl, start_embedded, wait_for, write_job};

/// Scripts tell a refusal, a usage error and an unreachable instance apart by
/// the exit status alone.
#[actix_rt::test]
async fn exit_status() {
    let daemon = start_embedded("exit-1").await;
    let ctl = Ctl::new(daemon.host().http_address());
    assert_eq!(ctl.run("show jobs").code, 0);
    assert_eq!(ctl.run("why job 99").code, 1);
    assert_eq!(ctl.run("show jbos").code, 2);
    assert_eq!(ctl.run_with(&["--output", "yaml", "show", "jobs"]).code, 2);
    assert_eq!(ctl.run("submit /nowhere/job.toml").code, 2);
    let unreachable = Ctl::new("127.0.0.1:9".parse().unwrap());
    assert_eq!(unreachable.run("show jobs").code, 3);
}

#[actix_rt::test]
async fn syntax_error_position() {
    let daemon = start_embedded("pointer-1").await;
    let ctl = Ctl::new(daemon.host().http_address());
    let output = ctl.run("show jobs where state = runing");
    assert_snapshot!(output.err, @"
    show jobs where state = runing
                            ^ column 25: found `runing`, expected waiting, running, done, failed or cancelled; did you mean `running`?
    ");
}

#[actix_rt::test]
async fn refusal_id_is_explained() {
    let daemon = start_embedded("refusal-1").await;
    let ctl = Ctl::new(daemon.host().http_address());
    let output = ctl.run("set share of team rostres to 2");
    assert_eq!(output.code, 1);
    let (message, id) = output
        .err
        .trim()
        .split_once("\n`why refusal ")
        .expect("a refusal with an id");
    assert_snapshot!(message, @"refused (unknown_team, not_run): no team `rostres`; did you mean `rosters`?");
    let id = id.split('`').next().expect("a closing backtick after the id");
    let why = ctl.run(&format!("why refusal {id}"));
    assert_snapshot!(why.out, @"
    unknown_team: no team `rostres`; did you mean `rosters`?
    `show teams` lists the teams; `create team NAME` makes one.
    the request did not run
    asked for: set share of team rostres to 2
    with key first-operator
    refused by instance refusal-1
    ");
}

/// A script ends at its first command that fails, and reports the number of
/// the line, also behind a command that takes two lines.
#[actix_rt::test]
async fn script_stops_at_failure() {
    let daemon = start_embedded("script-1").await;
    let ctl = Ctl::new(daemon.host().http_address());
    let path = std::env::temp_dir()
        .join(format!("limpetctl-script-{}", std::process::id()));
    let script = "# the evening's changes\n\
                  create team evening\n\
                  set share of team \\\n  evening to 4\n\
                  set share of team evenin to 5\n\
                  set share of team evening to 6\n";
    fs::write(&path, script).unwrap();
    let path = path.to_str().unwrap();
    let output = ctl.run_with(&["--file", path]);
    assert_eq!(output.code, 1);
    assert!(output.err.starts_with("line 5: set share of team evenin to 5"));
    let share = ctl.run("show teams where team = evening sum share");
    assert_snapshot!(share.out, @"
    share
        4
    ");
}

/// A change that affects more tasks than the limit isn't sent without a
/// confirmation; the standard input of a test is no terminal to ask on.
#[actix_rt::test]
async fn large_change_needs_confirmation() {
    let daemon = start_embedded("asks-1").await;
    let ctl = Ctl::new(daemon.host().http_address());
    let job = write_job("asks", 40, 600_000);
    let job = job.to_str().unwrap();
    assert!(ctl.run_with(&["submit", job]).succeeded());
    let cancel = "cancel jobs where name = asks";
    let unconfirmed = ctl.run_with(&["--confirm-above", "39", cancel]);
    assert_eq!(unconfirmed.code, 2);
    assert_snapshot!(unconfirmed.err, @"not executed: the change affects 40 tasks, and more than 39 need --yes");
    let state = || ctl.run("show jobs where name = asks count by state").out;
    assert!(!state().contains("cancelled"));
    let dry_run = ctl.run(&format!("dry run {cancel}"));
    assert_snapshot!(dry_run.out, @"
    change     jobs  tasks
    cancelled     1     40
    a dry run: nothing was changed
    ");
    let done = ctl.run_with(&["--yes", "--wait", "--every-ms", "100", cancel]);
    assert_eq!(done.code, 0, "{done:?}");
    assert!(done.err.ends_with("0 left\n"), "{}", done.err);
    wait_for("the job is cancelled", || state().contains("cancelled"));
}

#[actix_rt::test]
async fn watch_repeats_command() {
    let daemon = start_embedded("watch-1").await;
    let ctl = Ctl::new(daemon.host().http_address());
    let output = ctl.run_with(&[
        "--times",
        "2",
        "--every-ms",
        "100",
        "watch",
        "show",
        "queues",
    ]);
    assert_snapshot!(output.out, @"
    queue  policy  open  stop_over_size  waiting_jobs  running_tasks
    batch  batch   no    no                         0              0
    gang   gang    no    no                         0              0
    queue  policy  open  stop_over_size  waiting_jobs  running_tasks
    batch  batch   no    no                         0              0
    gang   gang    no    no                         0              0
    ");
}

/// The record has each change that took effect. It has no repeated change, no
/// dry run, no refused change and no submission.
#[actix_rt::test]
async fn changes_are_recorded() {
    let daemon = start_embedded("record-1").await;
    let ctl = Ctl::new(daemon.host().http_address());
    assert!(ctl.run("set share of team rosters to 7").succeeded());
    assert!(
        ctl.run("set share of team rosters to 7").succeeded(),
        "repeated change"
    );
    assert!(ctl.run("dry run set share of team rosters to 9").succeeded());
    assert_eq!(ctl.run("set share of team x to 1 if revision = 1").code, 1);
    let job = write_job("recorded", 1, 600_000);
    assert!(ctl.run_with(&["submit", job.to_str().unwrap()]).succeeded());
    assert!(ctl.run("cancel jobs where name = recorded").succeeded());
    let (lines, _) = ctl.rows("show changes");
    let changes: Vec<String> = lines
        .iter()
        .map(|line| {
            assert!(line["at_unix_ms"].as_u64().is_some_and(|at| at > 0));
            format!(
                "{} {} {} {} {}",
                line["revision"],
                line["key"],
                line["command"],
                line["before"],
                line["after"]
            )
        })
        .collect();
    assert_snapshot!(changes.join("\n"), @r#"
    2 "first-operator" "set share of team rosters to 7" "share 2 (66% of a full cell)" "share 7 (87% of a full cell)"
    2 "first-operator" "cancel jobs where name = \"recorded\"" "" "1 jobs cancelled"
    "#);
}

/// While all workers are drained, a job waits; it runs once a worker is
/// released.
#[actix_rt::test]
async fn drained_worker_gets_no_tasks() {
    let daemon = start_embedded("drain-1").await;
    let ctl = Ctl::new(daemon.host().http_address());
    let (workers, _) = ctl.rows("show workers");
    let names: Vec<&str> =
        workers.iter().filter_map(|row| row["worker"].as_str()).collect();
    for name in &names {
        assert!(ctl.run(&format!("drain worker {name}")).succeeded());
    }
    wait_for("the scheduler has each worker as leaving", || {
        let is_leaving = |name: &&str| {
            ctl.run(&format!("why worker {name}")).out.contains("leaving")
        };
        names.iter().all(is_leaving)
    });
    let job = write_job("drained", 1, 10);
    assert!(ctl.run_with(&["submit", job.to_str().unwrap()]).succeeded());
    let count = |state: &str| {
        let query = "show jobs where name = drained";
        let (rows, _) =
            ctl.rows(&format!("{query} and state = {state} count"));
        rows[0]["count"].as_i64()
    };
    assert_eq!(count("waiting"), Some(1), "a drained worker runs the job");
    let last = names.last().expect("at least one worker");
    assert!(ctl.run(&format!("release worker {last}")).succeeded());
    wait_for("the job has run on the released worker", || {
        count("done") == Some(1)
    });
}
