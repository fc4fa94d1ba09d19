//! Each fault that the check of a configuration finds, one test a fault. Each
//! guards against a fault that is missed, is found at another place, or
//! brings further findings with it.

use limpet_workflow::config_check::{
    AdviceDraft, ConfigDraft, EntryKind, Field, FindingKind, QueueDraft,
    ResourcesDraft, ServiceDraft, Severity, TeamDraft, WrittenNumber,
    check_config,
};

fn whole(number: i128) -> Option<WrittenNumber> {
    Some(WrittenNumber::Whole(number))
}

fn decimal(number: f64) -> Option<WrittenNumber> {
    Some(WrittenNumber::Decimal(number))
}

fn queue(name: &str, path_prefix: &str) -> QueueDraft {
    QueueDraft {
        name: name.to_owned(),
        host: "jobs.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        service: "render".to_owned(),
        ..QueueDraft::default()
    }
}

fn team(name: &str, key: &str) -> TeamDraft {
    TeamDraft {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        weight: whole(1),
        limit: ResourcesDraft::default(),
    }
}

fn sound() -> ConfigDraft {
    let advice = AdviceDraft {
        decide_ms: whole(20),
        per_worker_ms: decimal(1.5),
        valid_ms: whole(66),
    };
    let web = QueueDraft {
        priority: whole(3),
        max_attempts: whole(1),
        stretch: whole(1),
        objective_ms: decimal(0.5),
        advice: Some(advice),
        ..queue("web", "/web")
    };
    let limit = ResourcesDraft {
        cores_milli: whole(1_000),
        memory_mb: whole(0),
        accelerators: whole(0),
    };
    ConfigDraft {
        revision: whole(7),
        queues: vec![web, queue("nightly", "/")],
        services: vec![ServiceDraft {
            name: "render".to_owned(),
            enforces_capacity: true,
        }],
        teams: vec![
            TeamDraft { limit, ..team("rosters", "secret-1") },
            team("choirs", "secret-2"),
        ],
        body_bytes: whole(1),
    }
}

/// What is expected of a finding: its severity, kind, entry with its name,
/// field and message.
type Expected<'a> =
    (Severity, FindingKind, EntryKind, &'a str, Field, &'a str);

fn assert_found(change: impl FnOnce(&mut ConfigDraft), expected: Expected) {
    let mut draft = sound();
    change(&mut draft);
    let findings = check_config(&draft, None);
    let found: Vec<Expected> = findings
        .iter()
        .map(|finding| {
            let place = &finding.place;
            let field = place.field.expect("a field");
            (
                finding.severity(),
                finding.kind,
                place.entry,
                place.name.as_str(),
                field,
                finding.message.as_str(),
            )
        })
        .collect();
    assert_eq!(found, [expected]);
}

use EntryKind::{Config, Limits, Queue, Service, Team};
use Severity::{Error, Warning};

#[test]
fn sound_configuration() {
    assert_eq!(check_config(&sound(), None), []);
    let older = ConfigDraft { revision: whole(6), ..sound() };
    assert_eq!(check_config(&sound(), Some(&older)), []);
    assert_eq!(check_config(&ConfigDraft::default(), None), []);
}

#[test]
fn duplicate_queue() {
    assert_found(
        |draft| draft.queues[1].name = "web".to_owned(),
        (
            Error,
            FindingKind::DuplicateName,
            Queue,
            "web",
            Field::Name,
            "`web` is also the name of entry 1; must be unique",
        ),
    );
}

#[test]
fn duplicate_service() {
    assert_found(
        |draft| draft.services.push(draft.services[0].clone()),
        (
            Error,
            FindingKind::DuplicateName,
            Service,
            "render",
            Field::Name,
            "`render` is also the name of entry 1; must be unique",
        ),
    );
}

#[test]
fn duplicate_team() {
    assert_found(
        |draft| draft.teams[1].name = "rosters".to_owned(),
        (
            Error,
            FindingKind::DuplicateName,
            Team,
            "rosters",
            Field::Name,
            "`rosters` is also the name of entry 1; must be unique",
        ),
    );
}

/// The queue that gets no requests is the earlier one, since
/// `CellConfig::route` takes the last of equal prefixes.
#[test]
fn shadowed_queue() {
    assert_found(
        |draft| draft.queues[1].path_prefix = "/web".to_owned(),
        (
            Error,
            FindingKind::ShadowedQueue,
            Queue,
            "web",
            Field::PathPrefix,
            "`jobs.example/web` also selects `nightly` (entry 2), which gets \
             all requests; must be unique",
        ),
    );
}

#[test]
fn same_prefix_of_another_host() {
    let mut draft = sound();
    draft.queues[1].path_prefix = "/web".to_owned();
    draft.queues[1].host = "other.example".to_owned();
    assert_eq!(check_config(&draft, None), []);
}

#[test]
fn unknown_service() {
    assert_found(
        |draft| draft.queues[1].service = "rendre".to_owned(),
        (
            Error,
            FindingKind::UnknownService,
            Queue,
            "nightly",
            Field::Service,
            "no service `rendre` is configured",
        ),
    );
}

#[test]
fn unused_service() {
    let name = "spare".to_owned();
    let spare = ServiceDraft { name, enforces_capacity: false };
    assert_found(
        |draft| draft.services.push(spare),
        (
            Warning,
            FindingKind::UnusedService,
            Service,
            "spare",
            Field::Name,
            "nothing is sent to `spare`",
        ),
    );
}

#[test]
fn shared_key() {
    assert_found(
        |draft| draft.teams[1].keys.push("secret-1".to_owned()),
        (
            Error,
            FindingKind::SharedKey,
            Team,
            "choirs",
            Field::Keys,
            "key 2 is also a key of `rosters` (entry 1), which gets all its \
             requests; must belong to one entry",
        ),
    );
}

#[test]
fn no_keys() {
    assert_found(
        |draft| draft.teams[1].keys.clear(),
        (
            Warning,
            FindingKind::NoKeys,
            Team,
            "choirs",
            Field::Keys,
            "no keys; nothing can be submitted",
        ),
    );
}

#[test]
fn relative_path_prefix() {
    assert_found(
        |draft| draft.queues[0].path_prefix = "web".to_owned(),
        (
            Error,
            FindingKind::RelativePathPrefix,
            Queue,
            "web",
            Field::PathPrefix,
            "`web`; must begin with `/`",
        ),
    );
}

#[test]
fn empty_host() {
    assert_found(
        |draft| draft.queues[0].host.clear(),
        (
            Error,
            FindingKind::EmptyHost,
            Queue,
            "web",
            Field::Host,
            "empty or not set; must be a host name",
        ),
    );
}

#[test]
fn limit_below_one_core() {
    assert_found(
        |draft| draft.teams[0].limit.cores_milli = whole(999),
        (
            Warning,
            FindingKind::LimitBelowOneCore,
            Team,
            "rosters",
            Field::LimitCoresMilli,
            "999 thousandths of a core; must be 0 for no limit, or at least \
             1000",
        ),
    );
}

#[test]
fn weights_not_positive() {
    let weights = [
        (whole(0), "0; must be above 0"),
        (decimal(-0.5), "-0.5; must be above 0"),
        (None, "not set, which counts as 0; must be above 0"),
    ];
    for (weight, message) in weights {
        let kind = FindingKind::WeightNotPositive;
        assert_found(
            |draft| draft.teams[0].weight = weight,
            (Error, kind, Team, "rosters", Field::Weight, message),
        );
    }
}

#[test]
fn zero_attempts() {
    assert_found(
        |draft| draft.queues[0].max_attempts = whole(0),
        (
            Error,
            FindingKind::ZeroAttempts,
            Queue,
            "web",
            Field::MaxAttempts,
            "0; must be at least 1",
        ),
    );
}

#[test]
fn stretch_below_one() {
    assert_found(
        |draft| draft.queues[0].stretch = decimal(0.99),
        (
            Error,
            FindingKind::StretchBelowOne,
            Queue,
            "web",
            Field::Stretch,
            "0.99; must be at least 1",
        ),
    );
}

/// A request about 30 workers takes 65 ms, and tickets that are valid for as
/// long expire with the answer.
#[test]
fn expired_tickets() {
    assert_found(
        |draft| {
            let advice = draft.queues[0].advice.as_mut();
            advice.expect("a queue with advice").valid_ms = whole(65);
        },
        (
            Error,
            FindingKind::ExpiredTickets,
            Queue,
            "web",
            Field::AdviceValidMs,
            "65 ms; must be above the 65 ms that a request about 30 workers \
             takes",
        ),
    );
}

#[test]
fn zero_body_limit() {
    assert_found(
        |draft| draft.body_bytes = whole(0),
        (
            Error,
            FindingKind::ZeroBodyLimit,
            Limits,
            "",
            Field::BodyBytes,
            "0; must be at least 1",
        ),
    );
}

#[test]
fn stale_revision() {
    for in_force in [7, 8] {
        let in_force = ConfigDraft {
            revision: whole(in_force),
            ..ConfigDraft::default()
        };
        let findings = check_config(&sound(), Some(&in_force));
        assert_eq!(findings.len(), 1);
        assert_eq!(findings[0].kind, FindingKind::StaleRevision);
        assert_eq!(findings[0].place.entry, Config);
        assert_eq!(findings[0].place.field, Some(Field::Revision));
    }
}
