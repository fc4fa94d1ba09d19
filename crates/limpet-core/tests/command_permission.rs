//! Tests of permissions: which key may give which command.

use insta::assert_snapshot;
use limpet_core::{
    TeamName,
    command::{Command, Scope, permit},
    config::Role,
};

/// One command of each kind, including every kind of change.
const COMMANDS: &[&str] = &[
    "show jobs",
    "show tasks",
    "show teams",
    "show keys",
    "show queues",
    "show services",
    "show refusals",
    "show workers",
    "show endpoints",
    "show shards",
    "show instances",
    "show config",
    "show changes",
    "why job 1",
    "why task 1.0",
    "why refusal a-1",
    "why team rosters",
    "why team wallets",
    "why worker w-1",
    "submit a.toml",
    "cancel job 1",
    "cancel jobs where state = waiting",
    "hold job 1",
    "release job 1",
    "create team t",
    "create queue q policy batch",
    "set service s open true",
    "grant key k to team rosters",
    "grant key k to operators",
    "withdraw key k",
    "set share of team rosters to 2",
    "set limit of team rosters to unlimited",
    "set policy of queue q to gang",
    "reshape queue q open true",
    "drain worker w-1",
    "drain endpoint e-1",
    "drain instance i-1",
    "release worker w-1",
    "release endpoint e-1",
    "release instance i-1",
];

/// Returns the part of the cell that a key with this role and team may reach
/// with the command, or the refusal.
fn verdict(text: &str, role: Role, team: Option<&str>) -> String {
    let command: Command = text.parse().expect("a command");
    let team: Option<TeamName> = team.map(|t| t.parse().expect("a name"));
    match permit(&command, role, team.as_ref()) {
        Ok(Scope::Cell) => "cell".to_owned(),
        Ok(Scope::Team(team)) => format!("team {team}"),
        Err(err) => err.to_string(),
    }
}

#[test]
fn submit_key() {
    let line = |command: &&str| {
        let verdict = verdict(command, Role::Submit, Some("rosters"));
        format!("{command}: {verdict}")
    };
    let lines: Vec<String> = COMMANDS.iter().map(line).collect();
    assert_snapshot!(lines.join("\n"), @"
    show jobs: team rosters
    show tasks: team rosters
    show teams: team rosters
    show keys: team rosters
    show queues: team rosters
    show services: team rosters
    show refusals: team rosters
    show workers: not_permitted: only operators may see workers
    show endpoints: not_permitted: only operators may see endpoints
    show shards: not_permitted: only operators may see shards
    show instances: not_permitted: only operators may see instances
    show config: not_permitted: only operators may see config
    show changes: not_permitted: only operators may see changes
    why job 1: team rosters
    why task 1.0: team rosters
    why refusal a-1: team rosters
    why team rosters: team rosters
    why team wallets: not_permitted: the key is for team rosters, not wallets
    why worker w-1: not_permitted: only operators may ask about a worker
    submit a.toml: team rosters
    cancel job 1: team rosters
    cancel jobs where state = waiting: team rosters
    hold job 1: team rosters
    release job 1: team rosters
    create team t: not_permitted: only an operator's key may change the configuration
    create queue q policy batch: not_permitted: only an operator's key may change the configuration
    set service s open true: not_permitted: only an operator's key may change the configuration
    grant key k to team rosters: not_permitted: only an operator's key may change the configuration
    grant key k to operators: not_permitted: only an operator's key may change the configuration
    withdraw key k: not_permitted: only an operator's key may change the configuration
    set share of team rosters to 2: not_permitted: only an operator's key may change the configuration
    set limit of team rosters to unlimited: not_permitted: only an operator's key may change the configuration
    set policy of queue q to gang: not_permitted: only an operator's key may change the configuration
    reshape queue q open true: not_permitted: only an operator's key may change the configuration
    drain worker w-1: not_permitted: only an operator's key may change the configuration
    drain endpoint e-1: not_permitted: only an operator's key may change the configuration
    drain instance i-1: not_permitted: only an operator's key may change the configuration
    release worker w-1: not_permitted: only an operator's key may change the configuration
    release endpoint e-1: not_permitted: only an operator's key may change the configuration
    release instance i-1: not_permitted: only an operator's key may change the configuration
    ");
}

#[test]
fn operate_key() {
    for command in COMMANDS {
        let verdict = verdict(command, Role::Operate, None);
        assert_eq!(verdict, "cell", "{command}");
    }
}

#[test]
fn key_without_team() {
    for command in COMMANDS {
        let verdict = verdict(command, Role::Submit, None);
        assert!(verdict.starts_with("not_permitted"), "{command}: {verdict}");
    }
}
