//! Differences between two configurations, by entry.

use limpet_workflow::config_check::{
    ChangeKind, ConfigDraft, EntryKind, Field, QueueDraft, ServiceDraft,
    TeamDraft, WrittenNumber, config_differences,
};

fn queue(name: &str) -> QueueDraft {
    QueueDraft { name: name.to_owned(), ..QueueDraft::default() }
}

fn team(name: &str, keys: &[&str]) -> TeamDraft {
    TeamDraft {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        ..TeamDraft::default()
    }
}

/// Guards against an entry that differs and isn't listed, and against keys in
/// the output.
#[test]
fn every_kind_of_change() {
    let service =
        ServiceDraft { name: "render".to_owned(), enforces_capacity: false };
    let old = ConfigDraft {
        revision: Some(WrittenNumber::Whole(1)),
        queues: vec![queue("web"), queue("old")],
        services: vec![service.clone()],
        teams: vec![team("rosters", &["secret-1", "secret-2"])],
        body_bytes: None,
    };
    let web = QueueDraft {
        host: "jobs.example".to_owned(),
        priority: Some(WrittenNumber::Whole(2)),
        advice: Some(Default::default()),
        ..queue("web")
    };
    let new = ConfigDraft {
        revision: Some(WrittenNumber::Whole(2)),
        queues: vec![queue("new"), web],
        services: vec![ServiceDraft { enforces_capacity: true, ..service }],
        teams: vec![team("rosters", &["secret-3", "secret-1"])],
        body_bytes: Some(WrittenNumber::Whole(10)),
    };
    let differences = config_differences(&old, &new);
    let found: Vec<(ChangeKind, EntryKind, &str, Vec<Field>)> = differences
        .iter()
        .map(|it| {
            let fields = it.fields.iter().map(|change| change.field);
            (it.change, it.entry, it.name.as_str(), fields.collect())
        })
        .collect();
    let changed = ChangeKind::Changed;
    let queue = EntryKind::Queue;
    let of_web = vec![Field::Host, Field::Priority, Field::Advice];
    assert_eq!(
        found,
        [
            (changed, EntryKind::Config, "", vec![Field::Revision]),
            (ChangeKind::Added, queue, "new", vec![]),
            (changed, queue, "web", of_web),
            (ChangeKind::Removed, queue, "old", vec![]),
            (
                changed,
                EntryKind::Service,
                "render",
                vec![Field::EnforcesCapacity]
            ),
            (changed, EntryKind::Team, "rosters", vec![Field::Keys]),
            (changed, EntryKind::Limits, "", vec![Field::BodyBytes]),
        ]
    );
    let keys = &differences[5].fields[0];
    assert_eq!(keys.before, "2");
    assert_eq!(keys.after, "2 (1 added, 1 removed)");
    assert!(!format!("{differences:?}").contains("secret"));
}

/// Guards against differences for an order that has no effect, and for
/// duplicates of a name that are compared with each other.
#[test]
fn equal_configurations() {
    let old = ConfigDraft {
        queues: vec![queue("a"), queue("b"), queue("a")],
        teams: vec![team("rosters", &["secret-1", "secret-2"])],
        ..ConfigDraft::default()
    };
    let mut new = old.clone();
    new.queues.reverse();
    new.teams[0].keys.reverse();
    assert_eq!(config_differences(&old, &new), []);
}

/// Guards against a removed duplicate of a name that isn't listed.
#[test]
fn removed_duplicate() {
    let of = |queues| ConfigDraft { queues, ..ConfigDraft::default() };
    let old = of(vec![queue("a"), queue("a")]);
    let differences = config_differences(&old, &of(vec![queue("a")]));
    assert_eq!(differences.len(), 1);
    assert_eq!(differences[0].change, ChangeKind::Removed);
}
