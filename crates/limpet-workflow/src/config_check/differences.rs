use rustc_hash::{FxHashMap, FxHashSet};

use super::{
    ConfigDraft, EntryKind, Field, QueueDraft, ServiceDraft, TeamDraft,
    WrittenNumber,
};

/// What became of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeKind {
    /// The version in force lacks the entry.
    Added,
    /// Only the version in force has the entry.
    Removed,
    /// Both have the entry, with different fields.
    Changed,
}

/// A field that differs, with its values as text. Keys are only counted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldChange {
    /// The field.
    pub field: Field,
    /// Its value in the version in force.
    pub before: String,
    /// Its value in the new version.
    pub after: String,
}

/// An entry that differs from the version in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Difference {
    /// What became of the entry.
    pub change: ChangeKind,
    /// The kind of the entry.
    pub entry: EntryKind,
    /// The name of the entry; empty for those without one.
    pub name: String,
    /// The fields that differ; empty unless the entry is changed.
    pub fields: Vec<FieldChange>,
}

/// Returns the entries of `draft` that differ from those of `in_force`: the
/// added and changed ones of each kind in the order of `draft`, then the
/// removed ones in the order of `in_force`.
///
/// Entries are matched by name, and duplicates of a name by their order.
pub fn config_differences(
    in_force: &ConfigDraft,
    draft: &ConfigDraft,
) -> Vec<Difference> {
    let mut differences = Vec::new();
    let revision = changed(
        Field::Revision,
        number(in_force.revision),
        number(draft.revision),
    );
    add_changed(&mut differences, EntryKind::Config, "", revision);
    compare(
        &mut differences,
        EntryKind::Queue,
        (&in_force.queues, &draft.queues),
        |queue| &queue.name,
        queue_changes,
    );
    compare(
        &mut differences,
        EntryKind::Service,
        (&in_force.services, &draft.services),
        |service| &service.name,
        service_changes,
    );
    compare(
        &mut differences,
        EntryKind::Team,
        (&in_force.teams, &draft.teams),
        |team| &team.name,
        team_changes,
    );
    let body_bytes = changed(
        Field::BodyBytes,
        number(in_force.body_bytes),
        number(draft.body_bytes),
    );
    add_changed(&mut differences, EntryKind::Limits, "", body_bytes);
    differences
}

fn compare<T>(
    differences: &mut Vec<Difference>,
    entry: EntryKind,
    (in_force, draft): (&[T], &[T]),
    name: impl Fn(&T) -> &String,
    changes: impl Fn(&T, &T) -> Vec<FieldChange>,
) {
    let mut unmatched: FxHashMap<(&str, usize), &T> =
        numbered(in_force, &name).collect();
    for (key, new) in numbered(draft, &name) {
        match unmatched.remove(&key) {
            Some(old) => {
                add_changed(differences, entry, key.0, changes(old, new));
            }
            None => differences.push(Difference {
                change: ChangeKind::Added,
                entry,
                name: key.0.to_owned(),
                fields: Vec::new(),
            }),
        }
    }
    for (key, _) in numbered(in_force, &name) {
        if unmatched.contains_key(&key) {
            differences.push(Difference {
                change: ChangeKind::Removed,
                entry,
                name: key.0.to_owned(),
                fields: Vec::new(),
            });
        }
    }
}

/// Returns each entry with its name and the number of earlier entries with
/// the same name.
fn numbered<'a, T>(
    entries: &'a [T],
    name: impl Fn(&'a T) -> &'a String,
) -> impl Iterator<Item = ((&'a str, usize), &'a T)> {
    let mut counts: FxHashMap<&str, usize> = FxHashMap::default();
    entries.iter().map(move |entry| {
        let name = name(entry).as_str();
        let count = counts.entry(name).or_default();
        *count += 1;
        ((name, *count - 1), entry)
    })
}

fn add_changed(
    differences: &mut Vec<Difference>,
    entry: EntryKind,
    name: &str,
    fields: Vec<FieldChange>,
) {
    if !fields.is_empty() {
        let name = name.to_owned();
        let change = ChangeKind::Changed;
        differences.push(Difference { change, entry, name, fields });
    }
}

fn changed(field: Field, before: String, after: String) -> Vec<FieldChange> {
    match before == after {
        true => Vec::new(),
        false => vec![FieldChange { field, before, after }],
    }
}

/// Returns the changes of fields that are given as text, in the same order
/// before and after.
fn field_changes<const N: usize>(
    before: [(Field, String); N],
    after: [(Field, String); N],
) -> Vec<FieldChange> {
    let pairs = before.into_iter().zip(after);
    pairs
        .flat_map(|((field, before), (_, after))| {
            changed(field, before, after)
        })
        .collect()
}

fn queue_changes(before: &QueueDraft, after: &QueueDraft) -> Vec<FieldChange> {
    let fields = |queue: &QueueDraft| {
        let advice = queue.advice.unwrap_or_default();
        [
            (Field::Host, queue.host.clone()),
            (Field::PathPrefix, queue.path_prefix.clone()),
            (Field::Public, flag(queue.public)),
            (Field::Service, queue.service.clone()),
            (Field::Priority, number(queue.priority)),
            (Field::MaxAttempts, number(queue.max_attempts)),
            (Field::Stretch, number(queue.stretch)),
            (Field::ObjectiveMs, number(queue.objective_ms)),
            (Field::Advice, flag(queue.advice.is_some())),
            (Field::AdviceDecideMs, number(advice.decide_ms)),
            (Field::AdvicePerWorkerMs, number(advice.per_worker_ms)),
            (Field::AdviceValidMs, number(advice.valid_ms)),
        ]
    };
    field_changes(fields(before), fields(after))
}

fn service_changes(
    before: &ServiceDraft,
    after: &ServiceDraft,
) -> Vec<FieldChange> {
    let (before, after) = (before.enforces_capacity, after.enforces_capacity);
    changed(Field::EnforcesCapacity, flag(before), flag(after))
}

fn team_changes(before: &TeamDraft, after: &TeamDraft) -> Vec<FieldChange> {
    let fields = |team: &TeamDraft| {
        [
            (Field::Weight, number(team.weight)),
            (Field::LimitCoresMilli, number(team.limit.cores_milli)),
            (Field::LimitMemoryMb, number(team.limit.memory_mb)),
            (Field::LimitAccelerators, number(team.limit.accelerators)),
        ]
    };
    let mut changes = key_changes(&before.keys, &after.keys);
    changes.extend(field_changes(fields(before), fields(after)));
    changes
}

/// Returns the change of a team's keys as counts, so that no key is shown.
fn key_changes(before: &[String], after: &[String]) -> Vec<FieldChange> {
    let old: FxHashSet<&String> = before.iter().collect();
    let new: FxHashSet<&String> = after.iter().collect();
    let added = new.difference(&old).count();
    let removed = old.difference(&new).count();
    if added == 0 && removed == 0 {
        return Vec::new();
    }
    vec![FieldChange {
        field: Field::Keys,
        before: old.len().to_string(),
        after: format!("{} ({added} added, {removed} removed)", new.len()),
    }]
}

fn number(number: Option<WrittenNumber>) -> String {
    number.map_or_else(|| "not set".to_owned(), |number| number.to_string())
}

fn flag(flag: bool) -> String {
    flag.to_string()
}
