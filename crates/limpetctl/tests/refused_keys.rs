//! Runs each command that changes something with keys that don't permit it,
//! against a real daemon: the command must be refused and change nothing.

mod support;

use support::{Ctl, start_embedded, wait_for};

/// Every command that changes the configuration or drains something. The
/// team, queue and worker that they name exist, so that a key with the
/// permission could run them.
const CHANGES: &[&str] = &[
    "create team late",
    "create queue late policy batch",
    "set service late open true",
    "grant key late to team rosters",
    "grant key late to operators",
    "withdraw key keeper",
    "set share of team rosters to 5",
    "set limit of team rosters to 5 cores",
    "set policy of queue batch to gang",
    "reshape queue batch open true",
    "drain worker w-1",
    "drain endpoint enrolment-1",
    "drain instance keys-1",
    "release worker w-1",
    "release endpoint enrolment-1",
    "release instance keys-1",
];

/// The commands that change jobs. A team's key may run them on its own jobs.
const JOB_CHANGES: &[&str] = &[
    "cancel jobs where state = waiting",
    "hold jobs where state = waiting",
    "release jobs where state = waiting",
];

/// Runs a command that grants a key, and returns the key with its secret.
fn grant(ctl: &Ctl, command: &str) -> String {
    let output = ctl.run(command);
    assert!(output.succeeded(), "{output:?}");
    let key = output.out.lines().find_map(|line| line.strip_prefix("key "));
    key.expect("a granted key is printed").to_owned()
}

/// Returns what the cell shows of its configuration, to compare.
fn configuration(ctl: &Ctl) -> String {
    let tables = ["teams", "queues", "services", "keys"];
    let show = |table: &&str| ctl.run(&format!("show {table}")).out;
    tables.iter().map(show).collect()
}

#[actix_rt::test]
async fn withdrawn_operator_key() {
    let daemon = start_embedded("keys-1").await;
    let address = daemon.host().http_address();
    let operator = Ctl::new(address);
    let key = grant(&operator, "grant key second to operators");
    let second = Ctl::with_key(address, &key);
    wait_for("the key is in force", || second.run("show jobs").succeeded());
    assert!(operator.run("withdraw key second").succeeded());
    wait_for("the withdrawal is in force", || {
        second.run("show jobs").err.contains("key_withdrawn, not_run")
    });
    let before = configuration(&operator);
    for command in CHANGES.iter().chain(JOB_CHANGES) {
        let output = second.run(command);
        assert_eq!(output.code, 1, "{command}: {output:?}");
        assert!(output.err.contains("key_withdrawn"), "{command}: {output:?}");
    }
    assert_eq!(configuration(&operator), before);
}

#[actix_rt::test]
async fn team_key() {
    let daemon = start_embedded("submit-1").await;
    let address = daemon.host().http_address();
    let operator = Ctl::new(address);
    let key = grant(&operator, "grant key circle to team rosters");
    let circle = Ctl::with_key(address, &key);
    wait_for("the key is in force", || circle.run("show jobs").succeeded());
    let before = configuration(&operator);
    for command in CHANGES {
        let output = circle.run(command);
        assert_eq!(output.code, 1, "{command}: {output:?}");
        assert!(output.err.contains("not_permitted"), "{command}: {output:?}");
    }
    assert_eq!(configuration(&operator), before);
    for command in JOB_CHANGES {
        assert!(circle.run(command).succeeded(), "{command}");
    }
}

#[actix_rt::test]
async fn key_with_wrong_secret() {
    let daemon = start_embedded("wrong-1").await;
    let address = daemon.host().http_address();
    let wrong = Ctl::with_key(address, "first-operator:guess");
    for command in CHANGES.iter().chain(JOB_CHANGES) {
        let output = wrong.run(command);
        assert_eq!(output.code, 1, "{command}: {output:?}");
        assert!(output.err.contains("unknown_key"), "{command}: {output:?}");
    }
}
