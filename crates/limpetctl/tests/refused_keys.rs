//! What keys may not do, on each changing command, against a real daemon.

mod support;

use support::{Ctl, start_embedded, wait_for};

/// Every changing command, with names that exist where it needs them.
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

/// The changes of jobs, which a submit key may make for its own team.
const JOB_CHANGES: &[&str] = &[
    "cancel jobs where state = waiting",
    "hold jobs where state = waiting",
    "release jobs where state = waiting",
];

/// Grants a key and returns it whole.
fn grant(ctl: &Ctl, command: &str) -> String {
    let ran = ctl.run(command);
    assert!(ran.done(), "{ran:?}");
    let key = ran.out.lines().find_map(|line| line.strip_prefix("key "));
    key.expect("the key is shown once").to_owned()
}

fn configuration(ctl: &Ctl) -> String {
    let tables = ["teams", "queues", "services", "keys"];
    let show = |table: &&str| ctl.run(&format!("show {table}")).out;
    tables.iter().map(show).collect()
}

#[actix_rt::test]
async fn withdrawn_operator() {
    let daemon = start_embedded("keys-1").await;
    let address = daemon.host().http_address();
    let operator = Ctl::new(address);
    let key = grant(&operator, "grant key second to operators");
    let second = Ctl::with_key(address, &key);
    wait_for("the key works", || second.run("show jobs").done());
    assert!(operator.run("withdraw key second").done());
    wait_for("the withdrawal is in force", || {
        second.run("show jobs").err.contains("key_withdrawn, not_run")
    });
    let before = configuration(&operator);
    for command in CHANGES.iter().chain(JOB_CHANGES) {
        let ran = second.run(command);
        assert_eq!(ran.code, 1, "{command}: {ran:?}");
        assert!(ran.err.contains("key_withdrawn"), "{command}: {ran:?}");
    }
    assert_eq!(configuration(&operator), before);
}

#[actix_rt::test]
async fn submit_key() {
    let daemon = start_embedded("submit-1").await;
    let address = daemon.host().http_address();
    let operator = Ctl::new(address);
    let key = grant(&operator, "grant key circle to team rosters");
    let circle = Ctl::with_key(address, &key);
    wait_for("the key works", || circle.run("show jobs").done());
    let before = configuration(&operator);
    for command in CHANGES {
        let ran = circle.run(command);
        assert_eq!(ran.code, 1, "{command}: {ran:?}");
        assert!(ran.err.contains("not_permitted"), "{command}: {ran:?}");
    }
    assert_eq!(configuration(&operator), before);
    for command in JOB_CHANGES {
        assert!(circle.run(command).done(), "{command}");
    }
}

#[actix_rt::test]
async fn wrong_secret() {
    let daemon = start_embedded("wrong-1").await;
    let address = daemon.host().http_address();
    let wrong = Ctl::with_key(address, "first-operator:guess");
    for command in CHANGES.iter().chain(JOB_CHANGES) {
        let ran = wrong.run(command);
        assert_eq!(ran.code, 1, "{command}: {ran:?}");
        assert!(ran.err.contains("unknown_key"), "{command}: {ran:?}");
    }
}
