//! Tests of queries: the parts of an answer from two shards are merged.

mod fixture;

use fixture::{command, first, name, second, text, with_explanation};
use insta::assert_snapshot;
use limpet_core::{
    Error, ErrorKind, TeamName,
    command::{
        CellView, Command, FanOut, Part, affected_tasks, evaluate_part,
        impact_query, matching_jobs, merge_parts,
    },
};

/// Evaluates a query on one shard.
fn part(command: &Command, view: &CellView, team: Option<&str>) -> Part {
    let team: Option<TeamName> = team.map(name);
    match evaluate_part(command, view, team.as_ref()) {
        Ok(answer) => Part::Answered(answer),
        Err(err) => Part::Refused(err),
    }
}

/// Evaluates a query on both shards, for a key of `team` where it is given, and
/// merges the parts.
fn ask_as(team: Option<&str>, query: &str) -> String {
    let command = command(query);
    let parts = [first(), second()].map(|view| part(&command, &view, team));
    match merge_parts(&command, parts.to_vec()) {
        Ok(answer) => text(&answer),
        Err(err) => err.to_string(),
    }
}

/// Evaluates a query on both shards for an operator's key.
fn ask(query: &str) -> String {
    ask_as(None, query)
}

#[test]
fn order_and_limit() {
    assert_snapshot!(ask("show jobs where state in (waiting, running) order by tasks desc, job limit 3"), @"
    job | name | team | queue | state | tasks | running | done | urgent | all_at_once | held | waited_ms | ran_ms | reason
    1 | job 1 of rosters | rosters | night | running | 24 | 24 | 0 | no | no | no | 500 | 8500 | running
    4 | job 4 of rosters | rosters | night | waiting | 7 | 0 | 0 | yes | no | no | 6000 | - | no worker has 8 cores free
    3 | job 3 of rosters | rosters | night | waiting | 5 | 0 | 0 | no | no | yes | 7000 | - | no worker has 8 cores free
    ");
}

#[test]
fn count_by_group() {
    assert_snapshot!(ask("show jobs count by team, state order by count desc, team limit 3"), @"
    team | state | count
    rosters | running | 2
    rosters | waiting | 2
    wallets | done | 1
    ");
}

#[test]
fn count_all() {
    assert_snapshot!(ask("show jobs count"), @"
    count
    6
    ");
    assert_snapshot!(ask("show jobs where tasks > 1000 count"), @"
    count
    0
    ");
}

#[test]
fn sum_by_team() {
    assert_snapshot!(ask("show jobs sum tasks, running by team order by tasks"), @"
    team | tasks | running
    wallets | 5 | 0
    rosters | 40 | 28
    ");
}

#[test]
fn summed_teams() {
    assert_snapshot!(ask("show teams where running_cores >= 64"), @"
    team | share | waiting_jobs | running_cores | limit_cores | running_memory_mb | limit_memory_mb | running_accelerators | limit_accelerators | limit_requests
    rosters | 3 | 2 | 64 | 64 | 16384 | 131072 | 0 | 4 | 40
    ");
}

#[test]
fn summed_queues() {
    assert_snapshot!(ask("show queues"), @"
    queue | policy | open | stop_over_size | waiting_jobs | running_tasks
    night | batch | no | no | 2 | 24
    open | batch | yes | no | 0 | 0
    ");
}

#[test]
fn drained_worker() {
    assert_snapshot!(ask("show workers where state != ready"), @"
    worker | data_centre | rack | state | tasks | cores | committed_cores | used_cores | memory_mb | committed_memory_mb | used_memory_mb | accelerators | committed_accelerators
    w2 | athens | r1 | drained | 1 | 16 | 2.5 | 1.2 | 65536 | 512 | 300 | 0 | 0
    w3 | athens | r1 | suspected | 0 | 16 | 0 | 0 | 65536 | 0 | 0 | 0 | 0
    ");
}

#[test]
fn one_team_only() {
    assert_snapshot!(ask_as(Some("wallets"), "show jobs"), @"
    job | name | team | queue | state | tasks | running | done | urgent | all_at_once | held | waited_ms | ran_ms | reason
    2 | job 2 of wallets | wallets | night | waiting | 3 | 0 | 0 | no | no | no | 8000 | - | no worker has 8 cores free
    5 | job 5 of wallets | wallets | night | done | 2 | 0 | 2 | no | no | no | 500 | 3500 | done
    ");
    assert_snapshot!(ask_as(Some("wallets"), "show keys"), @"key | role | team | state | expires_in_ms");
    assert_snapshot!(ask_as(Some("wallets"), "show refusals"), @"refusal | instance | age_ms | error | run | team | key | asked | message");
    assert_snapshot!(ask_as(Some("wallets"), "why job 1"), @"not_found: no job 1 is known");
    assert_snapshot!(
        ask_as(Some("wallets"), "why refusal athens-1-7"),
        @"not_found: no refusal athens-1-7 is known"
    );
}

#[test]
fn missing_shard() {
    let command = command("show jobs count by team");
    let parts = vec![
        part(&command, &first(), None),
        Part::Missing("shard 2 (owner mand-1)".to_owned()),
    ];
    let answer = merge_parts(&command, parts).expect("a partial answer");
    assert_snapshot!(text(&answer), @"
    team | count
    rosters | 2
    wallets | 1
    missing: shard 2 (owner mand-1)
    ");
}

#[test]
fn refused_shard() {
    let command = command("show jobs count");
    let refused = Error::new(ErrorKind::NotOwner, "shard 2 is changing hands");
    let parts = vec![part(&command, &first(), None), Part::Refused(refused)];
    let answer = merge_parts(&command, parts).expect("a partial answer");
    assert_snapshot!(text(&answer), @"
    count
    3
    missing: not_owner: shard 2 is changing hands
    ");
}

#[test]
fn why_missing() {
    let command = command("why job 9");
    let missing = Part::Missing("shard 2 (owner mand-1)".to_owned());
    let parts = vec![part(&command, &first(), None), missing];
    let err = merge_parts(&command, parts).expect_err("shard 2 is missing");
    assert_snapshot!(err.to_string(), @"shard_unreachable: no answer yet from shard 2 (owner mand-1)");
}

#[test]
fn why_job() {
    let view = with_explanation(
        first(),
        &["job 3 is waiting", "no worker has 8 cores free"],
    );
    let command = command("why job 3");
    let parts =
        vec![part(&command, &view, None), part(&command, &second(), None)];
    let answer = merge_parts(&command, parts).expect("an answer");
    assert_snapshot!(text(&answer), @"
    job 3 is waiting
    no worker has 8 cores free
    an operator holds it; `release job 3` lets it go on
    ");
}

#[test]
fn why_long_job() {
    let lines: Vec<String> = (0..30).map(|i| format!("{i}")).collect();
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    let command = command("why job 3");
    let parts = vec![part(&command, &with_explanation(first(), &lines), None)];
    let answer = merge_parts(&command, parts).expect("an answer");
    assert_eq!(answer.lines.len(), 10);
    assert!(answer.lines[9].contains("`release job 3`"));
}

#[test]
fn why_tasks() {
    assert_snapshot!(ask("why task 1.0"), @"
    task 1.0 is running
    on worker w1
    it asks for 2.5 cores, 512 MB
    starts so far: 1
    ");
    assert_snapshot!(ask("why task 1.1"), @"
    task 1.1 is unknown
    worker w2 never reported its outcome
    it isn't idempotent, so it is never started again; if you know that it did not run, submit the job again
    it asks for 2.5 cores, 512 MB
    starts so far: 1
    ");
    assert_snapshot!(ask("why task 3.0"), @"
    task 3.0 is waiting
    no worker has 8 cores free
    `why job 3` tells more
    it asks for 2.5 cores, 512 MB
    ");
    assert_snapshot!(ask("why task 9.0"), @"not_found: no task 9.0 is known");
}

#[test]
fn why_workers() {
    assert_snapshot!(ask("why worker w2"), @r#"
    worker w2 takes no new tasks because an operator drained it; `release worker w2` puts it in use again
    it holds 16 cores, 65536 MB
    2.5 cores, 512 MB is committed
    13.5 cores, 65024 MB is free
    tasks on it: 1; `show tasks where worker = "w2"` lists them
    "#);
    assert_snapshot!(ask("why worker w3"), @r#"
    worker w3 takes no new tasks because it doesn't answer or fails what it starts
    it holds 16 cores, 65536 MB
    0 cores, 0 MB is committed
    16 cores, 65536 MB is free
    tasks on it: 0; `show tasks where worker = "w3"` lists them
    "#);
}

#[test]
fn why_teams() {
    assert_snapshot!(ask("why team rosters"), @"
    the team is at its limit of 64 cores: nothing starts
    the team uses 16384 MB of its limit of 131072
    the team uses 0 accelerators of its limit of 4
    waiting jobs: 2
    its share when the cell is full is 3
    `set limit of team rosters to N cores` changes the limit, `set share of team rosters to N` the share
    ");
    assert_snapshot!(ask("why team wallets"), @"
    the team uses 0 cores, without a limit
    the team uses 0 MB, without a limit
    the team uses 0 accelerators, without a limit
    waiting jobs: 1
    its share when the cell is full is 1
    `set limit of team wallets to N cores` changes the limit, `set share of team wallets to N` the share
    ");
    assert_snapshot!(ask("why team rostres"), @"unknown_team: no team `rostres`; did you mean `rosters`?");
}

#[test]
fn why_refusal() {
    assert_snapshot!(ask("why refusal athens-1-7"), @"
    team_limit: team rosters runs 64 of 64 cores
    Wait until work of the team ends, or raise its limit: `set limit of team TEAM to N cores`.
    the request did not run
    a retry may succeed after 1000 ms
    asked for: POST /v1/jobs
    with key rosters-1
    refused by instance athens-1
    ");
}

#[test]
fn local_topics() {
    let ask = |query: &str| {
        let command = command(query);
        let parts = vec![part(&command, &first(), None)];
        text(&merge_parts(&command, parts).expect("an answer"))
    };
    assert_snapshot!(ask("show keys"), @"
    key | role | team | state | expires_in_ms
    ops-1 | operate | - | granted | -
    rosters-1 | submit | rosters | granted | -
    ");
    assert_snapshot!(ask("show services"), @"
    service | open | deadline_ms | endpoints | leaving_endpoints
    wallet | no | 10000 | 1 | 0
    ");
    assert_snapshot!(ask("show endpoints"), @"
    endpoint | service | data_centre | state | slots
    wallet-1 | wallet | mandeville | ready | 8
    ");
    assert_snapshot!(ask("show instances"), @"
    instance | data_centre | state | address | revision
    athens-1 | athens | live | 127.0.0.1:7070 | 6
    ");
    assert_snapshot!(ask("show changes"), @"
    revision | at_unix_ms | key | command | before | after
    6 | 1700000000000 | ops-1 | set share of team rosters to 3 | share 1 (50% of a full cell) | share 3 (75% of a full cell)
    ");
    assert_snapshot!(ask("show config"), @"
    setting | value
    cell.keys | 2
    cell.queues | 2
    cell.revision | 6
    cell.services | 1
    cell.teams | 2
    ");
}

#[test]
fn impact_of_changes() {
    let impact = |text: &str| {
        let change = command(text);
        let action = &change.as_change().expect("a change").action;
        let show = impact_query(action)?;
        let mut views = vec![first(), second()];
        if show.topic.fan_out() == FanOut::Local {
            views.pop();
        }
        let show = Command::Show(show);
        let parts = views.iter().map(|view| part(&show, view, None)).collect();
        let answer = merge_parts(&show, parts).expect("an answer");
        Some(affected_tasks(&answer))
    };
    assert_eq!(impact("cancel jobs where team = rosters"), Some(40));
    assert_eq!(impact("cancel jobs where team = nobody"), Some(0));
    assert_eq!(impact("cancel job 5"), Some(0), "it is done");
    assert_eq!(impact("hold job 2"), Some(3));
    assert_eq!(impact("drain worker w1"), Some(1));
    assert_eq!(impact("drain endpoint wallet-1"), None);
    assert_eq!(impact("set share of team rosters to 2"), None);
}

#[test]
fn matching_one_team() {
    let matching = |text: &str, team: Option<&str>| {
        let change = command(text);
        let limpet_core::command::Action::Cancel(choice) =
            &change.as_change().expect("a change").action
        else {
            panic!("not a cancel")
        };
        let team: Option<TeamName> = team.map(name);
        let jobs = matching_jobs(choice, &first(), team.as_ref());
        jobs.iter().map(|job| job.get()).collect::<Vec<_>>()
    };
    assert_eq!(matching("cancel jobs where state = waiting", None), [2, 3]);
    let team = Some("wallets");
    assert_eq!(matching("cancel jobs where state = waiting", team), [2]);
    assert_eq!(matching("cancel job 1", team), Vec::<u64>::new());
    assert_eq!(matching("cancel job 1", Some("rosters")), [1]);
}
