//! Tests of plans: what each change does to the configuration, and when it is
//! refused.

use insta::assert_snapshot;
use limpet_core::{
    KeyId, Resources, Revision, TimeMs,
    command::{Command, KeyDraw, Machines, PlanContext, plan},
    config::{
        CellConfig, ConfigChange, KeySecret, QueueConfig, QueuePolicy, Role,
        ServiceConfig, TeamConfig,
    },
};

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

/// Returns a configuration at revision 6 with the teams `rosters` and
/// `wallets`, and a single key that may operate the cell.
fn config() -> CellConfig {
    let mut config =
        CellConfig { revision: Revision::new(6), ..CellConfig::default() };
    let limit = Resources::new(64_000, 131_072, 4);
    let rosters = TeamConfig { weight: 3, limit, request_limit: 40 };
    config.teams.insert(name("rosters"), rosters);
    config.teams.insert(name("wallets"), TeamConfig::default());
    let night = QueueConfig {
        policy: QueuePolicy::Batch,
        open: false,
        stop_over_size: false,
    };
    config.queues.insert(name("night"), night);
    config.services.insert(name("wallet"), ServiceConfig::default());
    for (key, team) in [("ops-1", None), ("rosters-1", Some("rosters"))] {
        let role = team.map_or(Role::Operate, |_| Role::Submit);
        let secret = KeySecret::new(name(key), "old");
        let team = team.map(name);
        let record = secret.to_record(team, role, [1; 32], None);
        config.keys.insert(name(key), record);
    }
    config
}

fn machines() -> Machines {
    Machines {
        workers: vec![name("athens-w1"), name("athens-w2")],
        endpoints: vec![name("wallet-1")],
        instances: vec![name("athens-1")],
    }
}

/// Plans a command, applies the change, and returns the description of the plan
/// or the error.
fn outcome_on(config: &mut CellConfig, text: &str) -> String {
    let command: Command = text.parse().expect("a command");
    let change = command.as_change().expect("a change");
    let draw = KeyDraw { secret: "fresh".to_owned(), salt: [2; 32] };
    let machines = machines();
    let context = PlanContext {
        config,
        machines: &machines,
        wall_now: TimeMs::from_ms(1_000),
        draw: &draw,
    };
    match plan(change, context) {
        Err(err) => err.to_string(),
        Ok(plan) => {
            if let Some(change) = &plan.change {
                config.apply(change).expect("a plan applies");
            }
            plan.to_lines(!change.dry_run).join("\n")
        }
    }
}

/// Returns each command with its outcome on a new [`config`].
fn outcomes(commands: &[&str]) -> String {
    let outcome =
        |text: &&str| format!("> {text}\n{}", outcome_on(&mut config(), text));
    commands.iter().map(outcome).collect::<Vec<_>>().join("\n")
}

#[test]
fn teams_and_shares() {
    assert_snapshot!(outcomes(&[
        "create team settlements",
        "create team rosters",
        "set share of team rosters to 1",
        "set share of team rosters to 3",
        "set share of team rostres to 3",
        "set share of team rosters to 0",
        "dry run set share of team wallets to 9",
    ]), @"
    > create team settlements
    changed from no team to team settlements with share 1, no limit
    set share of team settlements to N changes its share
    grant key NAME to team settlements lets it submit
    > create team rosters
    conflict: team `rosters` exists
    > set share of team rosters to 1
    changed from share 3 (75% of a full cell) to share 1 (50% of a full cell)
    > set share of team rosters to 3
    nothing to change: share 3 (75% of a full cell)
    > set share of team rostres to 3
    unknown_team: no team `rostres`; did you mean `rosters`?
    > set share of team rosters to 0
    invalid_request: the share is 0, 1 to 1000000 is allowed
    > dry run set share of team wallets to 9
    would change from share 1 (25% of a full cell) to share 9 (75% of a full cell)
    ");
}

#[test]
fn limits() {
    assert_snapshot!(outcomes(&[
        "set limit of team rosters to 32 cores",
        "set limit of team rosters to 128.5 cores, 8 accelerators",
        "set limit of team rosters to unlimited",
        "set limit of team wallets to 10 cores, 5 requests",
        "set limit of team wallets to unlimited",
    ]), @"
    > set limit of team rosters to 32 cores
    changed from limit 64 cores, 131072 MB, 4 accelerators, 40 requests to limit 32 cores, 131072 MB, 4 accelerators, 40 requests
    a lower limit stops nothing that runs; it is in force when every shard has given back its allotment
    > set limit of team rosters to 128.5 cores, 8 accelerators
    changed from limit 64 cores, 131072 MB, 4 accelerators, 40 requests to limit 128.5 cores, 131072 MB, 8 accelerators, 40 requests
    > set limit of team rosters to unlimited
    changed from limit 64 cores, 131072 MB, 4 accelerators, 40 requests to no limit
    > set limit of team wallets to 10 cores, 5 requests
    changed from no limit to limit 10 cores, 5 requests
    a lower limit stops nothing that runs; it is in force when every shard has given back its allotment
    > set limit of team wallets to unlimited
    nothing to change: no limit
    ");
}

#[test]
fn queues_and_services() {
    assert_snapshot!(outcomes(&[
        "create queue dawn policy service",
        "create queue night policy service",
        "set policy of queue night to gang",
        "reshape queue night open yes stop_over_size yes",
        "reshape queue nihgt open yes",
        "set service wallet deadline_ms 2000",
        "set service signup open true",
        "set service wallet deadline_ms 0",
    ]), @"
    > create queue dawn policy service
    changed from no queue to queue dawn with policy service, open false, stop_over_size false
    > create queue night policy service
    conflict: queue `night` exists
    > set policy of queue night to gang
    changed from policy batch, open false, stop_over_size false to policy gang, open false, stop_over_size false
    > reshape queue night open yes stop_over_size yes
    changed from policy batch, open false, stop_over_size false to policy batch, open true, stop_over_size true
    anyone may submit to it without a key
    > reshape queue nihgt open yes
    unknown_queue: no queue `nihgt`; did you mean `night`?
    > set service wallet deadline_ms 2000
    changed from open false, deadline_ms 10000 to open false, deadline_ms 2000
    > set service signup open true
    changed from no service to open true, deadline_ms 10000
    > set service wallet deadline_ms 0
    invalid_request: deadline_ms is 0, 1 to 86400000 is allowed
    ");
}

#[test]
fn keys() {
    assert_snapshot!(outcomes(&[
        "grant key rosters-2 to team rosters expires in 1 h",
        "dry run grant key rosters-2 to team rosters",
        "grant key rosters-1 to team rosters",
        "grant key x to team nobody",
        "withdraw key rosters-1",
        "withdraw key roster-1",
        "withdraw key ops-1",
    ]), @"
    > grant key rosters-2 to team rosters expires in 1 h
    changed from no key to key rosters-2 for team rosters
    key rosters-2:fresh
    this is the only time that it is shown
    > dry run grant key rosters-2 to team rosters
    would change from no key to key rosters-2 for team rosters
    > grant key rosters-1 to team rosters
    conflict: key `rosters-1` exists
    > grant key x to team nobody
    unknown_team: no team `nobody`
    > withdraw key rosters-1
    changed from key rosters-1 granted to key rosters-1 withdrawn
    > withdraw key roster-1
    not_found: no key `roster-1`; did you mean `rosters-1`?
    > withdraw key ops-1
    conflict: key `ops-1` is the last one that may operate the cell
    ");
}

#[test]
fn drains() {
    assert_snapshot!(outcomes(&[
        "drain worker athens-w1",
        "drain worker athens-w3",
        "drain endpoint wallet-1",
        "drain instance athens-1",
        "release worker athens-w1",
        "release worker gone-w9",
    ]), @"
    > drain worker athens-w1
    changed from worker athens-w1 in use to worker athens-w1 drained
    > drain worker athens-w3
    not_found: no worker `athens-w3`; did you mean `athens-w1`?
    > drain endpoint wallet-1
    changed from endpoint wallet-1 in use to endpoint wallet-1 drained
    > drain instance athens-1
    changed from instance athens-1 in use to instance athens-1 drained
    > release worker athens-w1
    nothing to change: worker athens-w1 in use
    > release worker gone-w9
    nothing to change: worker gone-w9 in use
    ");
}

#[test]
fn revisions() {
    assert_snapshot!(outcomes(&[
        "set share of team rosters to 4 if revision = 6",
        "set share of team rosters to 4 if revision = 5",
        "cancel job 1 if revision = 5",
    ]), @"
    > set share of team rosters to 4 if revision = 6
    changed from share 3 (75% of a full cell) to share 4 (80% of a full cell)
    > set share of team rosters to 4 if revision = 5
    conflict: the revision is 6, the command names 5
    > cancel job 1 if revision = 5
    conflict: the revision is 6, the command names 5
    ");
}

#[test]
fn withdrawn_twice() {
    let mut config = config();
    outcome_on(&mut config, "withdraw key rosters-1");
    assert_snapshot!(
        outcome_on(&mut config, "withdraw key rosters-1"),
        @"nothing to change: key rosters-1 withdrawn"
    );
    assert_snapshot!(
        outcome_on(&mut config, "grant key rosters-1 to team rosters"),
        @"conflict: key `rosters-1` exists"
    );
}

#[test]
fn granted_key_verifies() {
    let mut config = config();
    outcome_on(
        &mut config,
        "grant key rosters-2 to team rosters expires in 1 h",
    );
    let key = KeySecret::parse("rosters-2:fresh").expect("a key");
    let expiry = TimeMs::from_ms(1_000 + 3_600_000);
    let early = TimeMs::from_ms(expiry.as_ms() - 1);
    assert!(config.verify_key(&key, early).is_ok());
    assert!(config.verify_key(&key, expiry).is_err());
}

#[test]
fn debug_output_hides_secret() {
    let config = config();
    let draw = KeyDraw { secret: "fresh".to_owned(), salt: [2; 32] };
    let machines = machines();
    let context = PlanContext {
        config: &config,
        machines: &machines,
        wall_now: TimeMs::ZERO,
        draw: &draw,
    };
    let command: Command =
        "grant key k to operators".parse().expect("a command");
    let change = command.as_change().expect("a change");
    let plan = plan(change, context).expect("a plan");
    assert!(!format!("{plan:?} {context:?}").contains("fresh"));
    let key: KeyId = name("k");
    assert!(matches!(
        &plan.change,
        Some(ConfigChange::GrantKey { key: granted, .. }) if *granted == key
    ));
}
