use std::{cmp::Reverse, collections::hash_map::Entry};

use rustc_hash::{FxHashMap, FxHashSet};

use super::{
    AdviceDraft, ConfigDraft, EntryKind, Field, Finding, FindingKind, Place,
    QueueDraft, TeamDraft, WrittenNumber, numbers::Range,
};
use crate::AdvicePolicy;

/// Below this limit, in thousandths of a core, a task of one core never runs.
const ONE_CORE_MILLI: f64 = 1_000.0;

/// Checks a configuration, errors first and otherwise in the order of the
/// entries.
///
/// With `in_force`, its revision has to be above that of this version.
pub fn check_config(
    draft: &ConfigDraft,
    in_force: Option<&ConfigDraft>,
) -> Vec<Finding> {
    let mut findings = Findings::default();
    check_revision(draft, in_force, &mut findings);
    check_queues(draft, &mut findings);
    check_services(draft, &mut findings);
    check_teams(draft, &mut findings);
    let limits = At::only(EntryKind::Limits);
    let body_bytes =
        findings.number(limits, Field::BodyBytes, draft.body_bytes, WHOLE);
    if body_bytes == Some(0.0) {
        let message = "0; must be at least 1".to_owned();
        findings.add(
            FindingKind::ZeroBodyLimit,
            limits,
            Field::BodyBytes,
            message,
        );
    }
    findings.0.sort_by_key(|finding| Reverse(finding.severity()));
    findings.0
}

const WHOLE: Range = Range::Whole(u64::MAX);
const WHOLE_32: Range = Range::Whole(u32::MAX as u64);

/// The entry that is checked.
#[derive(Clone, Copy)]
struct At<'a> {
    entry: EntryKind,
    name: &'a str,
    position: Option<usize>,
}

impl<'a> At<'a> {
    fn only(entry: EntryKind) -> At<'a> {
        At { entry, name: "", position: None }
    }

    fn nth(entry: EntryKind, idx: usize, name: &'a str) -> At<'a> {
        At { entry, name, position: Some(idx + 1) }
    }
}

#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add(
        &mut self,
        kind: FindingKind,
        at: At<'_>,
        field: Field,
        message: String,
    ) {
        let place = Place {
            entry: at.entry,
            name: at.name.to_owned(),
            position: at.position,
            field: Some(field),
        };
        self.0.push(Finding { kind, place, message });
    }

    /// Returns the number if it is written and within `range`; adds a finding
    /// if it is outside.
    fn number(
        &mut self,
        at: At<'_>,
        field: Field,
        number: Option<WrittenNumber>,
        range: Range,
    ) -> Option<f64> {
        let number = number?;
        match range.excess(number) {
            None => Some(number.as_f64()),
            Some(message) => {
                self.add(FindingKind::OutOfRange, at, field, message);
                None
            }
        }
    }
}

fn check_revision(
    draft: &ConfigDraft,
    in_force: Option<&ConfigDraft>,
    findings: &mut Findings,
) {
    let at = At::only(EntryKind::Config);
    findings.number(at, Field::Revision, draft.revision, WHOLE);
    let in_force = in_force.and_then(|in_force| in_force.revision);
    if let Some(WrittenNumber::Whole(new)) = draft.revision
        && let Some(WrittenNumber::Whole(old)) = in_force
        && new <= old
    {
        let message = format!("{new}; must be above {old}, which is in force");
        findings.add(FindingKind::StaleRevision, at, Field::Revision, message);
    }
}

/// Adds a finding for each entry with the name of an earlier one.
fn check_names<'a>(
    entry: EntryKind,
    names: impl Iterator<Item = &'a str>,
    findings: &mut Findings,
) {
    let mut first_positions = FxHashMap::default();
    for (idx, name) in names.enumerate() {
        match first_positions.entry(name) {
            Entry::Vacant(vacant) => {
                vacant.insert(idx + 1);
            }
            Entry::Occupied(first) => findings.add(
                FindingKind::DuplicateName,
                At::nth(entry, idx, name),
                Field::Name,
                format!(
                    "`{name}` is also the name of entry {}; must be unique",
                    first.get()
                ),
            ),
        }
    }
}

fn check_queues(draft: &ConfigDraft, findings: &mut Findings) {
    let names = draft.queues.iter().map(|queue| queue.name.as_str());
    check_names(EntryKind::Queue, names, findings);
    // Of several queues with the same host and path prefix, the last one gets
    // the requests; see `CellConfig::route`.
    let mut last_with = FxHashMap::default();
    for (idx, queue) in draft.queues.iter().enumerate() {
        last_with.insert((&queue.host, &queue.path_prefix), idx);
    }
    let services: FxHashSet<&str> =
        draft.services.iter().map(|service| service.name.as_str()).collect();
    for (idx, queue) in draft.queues.iter().enumerate() {
        let at = At::nth(EntryKind::Queue, idx, &queue.name);
        check_urls(at, queue, findings);
        let last = last_with[&(&queue.host, &queue.path_prefix)];
        if last != idx {
            let message = format!(
                "`{}{}` also selects `{}` (entry {}), which gets all \
                 requests; must be unique",
                queue.host,
                queue.path_prefix,
                draft.queues[last].name,
                last + 1
            );
            let kind = FindingKind::ShadowedQueue;
            findings.add(kind, at, Field::PathPrefix, message);
        }
        if !services.contains(queue.service.as_str()) {
            let message = match queue.service.as_str() {
                "" => "not set; must be the name of a service".to_owned(),
                name => format!("no service `{name}` is configured"),
            };
            let kind = FindingKind::UnknownService;
            findings.add(kind, at, Field::Service, message);
        }
        check_policy(at, queue, findings);
    }
}

fn check_urls(at: At<'_>, queue: &QueueDraft, findings: &mut Findings) {
    if queue.host.is_empty() {
        let message = "empty or not set; must be a host name".to_owned();
        findings.add(FindingKind::EmptyHost, at, Field::Host, message);
    }
    if !queue.path_prefix.starts_with('/') {
        let message = format!("`{}`; must begin with `/`", queue.path_prefix);
        let kind = FindingKind::RelativePathPrefix;
        findings.add(kind, at, Field::PathPrefix, message);
    }
}

fn check_policy(at: At<'_>, queue: &QueueDraft, findings: &mut Findings) {
    findings.number(at, Field::Priority, queue.priority, WHOLE_32);
    let attempts = queue.max_attempts;
    let attempts = findings.number(at, Field::MaxAttempts, attempts, WHOLE_32);
    if attempts == Some(0.0) {
        let message = "0; must be at least 1".to_owned();
        let kind = FindingKind::ZeroAttempts;
        findings.add(kind, at, Field::MaxAttempts, message);
    }
    let range = Range::FiniteOrNegative;
    let stretch = findings.number(at, Field::Stretch, queue.stretch, range);
    if let Some(stretch) = stretch.filter(|stretch| *stretch < 1.0) {
        let message = format!("{stretch}; must be at least 1");
        let kind = FindingKind::StretchBelowOne;
        findings.add(kind, at, Field::Stretch, message);
    }
    let objective_ms = queue.objective_ms;
    findings.number(at, Field::ObjectiveMs, objective_ms, Range::Finite);
    if let Some(advice) = &queue.advice {
        check_advice(at, advice, findings);
    }
}

fn check_advice(at: At<'_>, advice: &AdviceDraft, findings: &mut Findings) {
    let mut number = |field, number: Option<WrittenNumber>| {
        let zero = WrittenNumber::Whole(0);
        let number = number.unwrap_or(zero);
        findings.number(at, field, Some(number), Range::Finite)
    };
    let decide_ms = number(Field::AdviceDecideMs, advice.decide_ms);
    let per_worker_ms = number(Field::AdvicePerWorkerMs, advice.per_worker_ms);
    let valid_ms = number(Field::AdviceValidMs, advice.valid_ms);
    let (Some(decide_ms), Some(per_worker_ms), Some(valid_ms)) =
        (decide_ms, per_worker_ms, valid_ms)
    else {
        return;
    };
    let policy = AdvicePolicy { decide_ms, per_worker_ms, valid_ms: 0 };
    let usual_ms = policy.usual_ms();
    if usual_ms >= valid_ms {
        let message = format!(
            "{valid_ms} ms; must be above the {usual_ms} ms that a request \
             about 30 workers takes"
        );
        let kind = FindingKind::ExpiredTickets;
        findings.add(kind, at, Field::AdviceValidMs, message);
    }
}

fn check_services(draft: &ConfigDraft, findings: &mut Findings) {
    let names = draft.services.iter().map(|service| service.name.as_str());
    check_names(EntryKind::Service, names, findings);
    let used: FxHashSet<&str> =
        draft.queues.iter().map(|queue| queue.service.as_str()).collect();
    for (idx, service) in draft.services.iter().enumerate() {
        if !used.contains(service.name.as_str()) {
            let at = At::nth(EntryKind::Service, idx, &service.name);
            let message = format!("nothing is sent to `{}`", service.name);
            let kind = FindingKind::UnusedService;
            findings.add(kind, at, Field::Name, message);
        }
    }
}

fn check_teams(draft: &ConfigDraft, findings: &mut Findings) {
    let names = draft.teams.iter().map(|team| team.name.as_str());
    check_names(EntryKind::Team, names, findings);
    // The first team with a key gets its requests; see
    // `CellConfig::team_of_key`.
    let mut first_owners = FxHashMap::default();
    for (idx, team) in draft.teams.iter().enumerate() {
        let at = At::nth(EntryKind::Team, idx, &team.name);
        for (key_idx, key) in team.keys.iter().enumerate() {
            let owner = *first_owners.entry(key.as_str()).or_insert(idx);
            if owner != idx {
                let message = format!(
                    "key {} is also a key of `{}` (entry {}), which gets all \
                     its requests; must belong to one entry",
                    key_idx + 1,
                    draft.teams[owner].name,
                    owner + 1
                );
                let kind = FindingKind::SharedKey;
                findings.add(kind, at, Field::Keys, message);
            }
        }
        if team.keys.is_empty() {
            let message = "no keys; nothing can be submitted".to_owned();
            findings.add(FindingKind::NoKeys, at, Field::Keys, message);
        }
        check_team_numbers(at, team, findings);
    }
}

fn check_team_numbers(at: At<'_>, team: &TeamDraft, findings: &mut Findings) {
    let range = Range::FiniteOrNegative;
    let is_written = team.weight.is_some();
    let weight = team.weight.unwrap_or(WrittenNumber::Whole(0));
    let weight = findings.number(at, Field::Weight, Some(weight), range);
    if let Some(weight) = weight.filter(|weight| *weight <= 0.0) {
        let message = match is_written {
            true => format!("{weight}; must be above 0"),
            false => "not set, which counts as 0; must be above 0".to_owned(),
        };
        let kind = FindingKind::WeightNotPositive;
        findings.add(kind, at, Field::Weight, message);
    }
    let limit = &team.limit;
    let cores =
        findings.number(at, Field::LimitCoresMilli, limit.cores_milli, WHOLE);
    if let Some(cores) = cores
        && cores > 0.0
        && cores < ONE_CORE_MILLI
    {
        let message = format!(
            "{cores} thousandths of a core; must be 0 for no limit, or at \
             least {ONE_CORE_MILLI}"
        );
        let kind = FindingKind::LimitBelowOneCore;
        findings.add(kind, at, Field::LimitCoresMilli, message);
    }
    findings.number(at, Field::LimitMemoryMb, limit.memory_mb, WHOLE);
    let accelerators = limit.accelerators;
    findings.number(at, Field::LimitAccelerators, accelerators, WHOLE);
}
