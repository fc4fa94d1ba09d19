//! Numbers out of range, large configurations, and the order of findings.

use limpet_workflow::config_check::{
    AdviceDraft, ConfigDraft, Field, FindingKind, QueueDraft, ResourcesDraft,
    ServiceDraft, Severity, TeamDraft, WrittenNumber, check_config,
    config_differences,
};

/// A configuration that has each number once.
fn draft(number: impl Fn(Field) -> WrittenNumber) -> ConfigDraft {
    let number = |field| Some(number(field));
    let advice = AdviceDraft {
        decide_ms: number(Field::AdviceDecideMs),
        per_worker_ms: number(Field::AdvicePerWorkerMs),
        valid_ms: number(Field::AdviceValidMs),
    };
    ConfigDraft {
        revision: number(Field::Revision),
        queues: vec![QueueDraft {
            name: "web".to_owned(),
            host: "jobs.example".to_owned(),
            path_prefix: "/".to_owned(),
            service: "render".to_owned(),
            public: false,
            priority: number(Field::Priority),
            max_attempts: number(Field::MaxAttempts),
            stretch: number(Field::Stretch),
            objective_ms: number(Field::ObjectiveMs),
            advice: Some(advice),
        }],
        services: vec![ServiceDraft {
            name: "render".to_owned(),
            enforces_capacity: false,
        }],
        teams: vec![TeamDraft {
            name: "rosters".to_owned(),
            keys: vec!["secret".to_owned()],
            weight: number(Field::Weight),
            limit: ResourcesDraft {
                cores_milli: number(Field::LimitCoresMilli),
                memory_mb: number(Field::LimitMemoryMb),
                accelerators: number(Field::LimitAccelerators),
            },
        }],
        body_bytes: number(Field::BodyBytes),
    }
}

fn sound_number(field: Field) -> WrittenNumber {
    WrittenNumber::Whole(match field {
        Field::AdviceValidMs => 10_000,
        Field::LimitCoresMilli => 4_000,
        _ => 1,
    })
}

const WHOLE_FIELDS: [Field; 7] = [
    Field::Revision,
    Field::Priority,
    Field::MaxAttempts,
    Field::LimitCoresMilli,
    Field::LimitMemoryMb,
    Field::LimitAccelerators,
    Field::BodyBytes,
];
const DECIMAL_FIELDS: [Field; 6] = [
    Field::Stretch,
    Field::ObjectiveMs,
    Field::AdviceDecideMs,
    Field::AdvicePerWorkerMs,
    Field::AdviceValidMs,
    Field::Weight,
];

/// Returns the kinds and fields found in a sound configuration in which one
/// field has this number.
fn found(field: Field, bad: WrittenNumber) -> Vec<(FindingKind, Field)> {
    let number = |at| if at == field { bad } else { sound_number(at) };
    let findings = check_config(&draft(number), None);
    let place = |field: Option<Field>| field.expect("a field");
    findings.iter().map(|it| (it.kind, place(it.place.field))).collect()
}

/// Guards against a number that the platform's instances refuse or convert
/// without a finding.
#[test]
fn numbers_out_of_range() {
    assert_eq!(check_config(&draft(sound_number), None), []);
    let out_of_range = FindingKind::OutOfRange;
    for field in WHOLE_FIELDS {
        for bad in [
            WrittenNumber::Whole(-1),
            WrittenNumber::Whole(i128::from(u64::MAX) + 1),
            WrittenNumber::Decimal(1.5),
            WrittenNumber::Decimal(f64::NAN),
        ] {
            assert_eq!(found(field, bad), [(out_of_range, field)], "{bad}");
        }
    }
    for field in DECIMAL_FIELDS {
        for bad in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
            let bad = WrittenNumber::Decimal(bad);
            assert_eq!(found(field, bad), [(out_of_range, field)], "{bad}");
        }
        let kind = match field {
            Field::Stretch => FindingKind::StretchBelowOne,
            Field::Weight => FindingKind::WeightNotPositive,
            _ => out_of_range,
        };
        let bad = WrittenNumber::Decimal(-0.5);
        assert_eq!(found(field, bad), [(kind, field)]);
    }
}

/// Guards against a number of 32 bits that is taken for one of 64.
#[test]
fn numbers_of_32_bits() {
    let above = WrittenNumber::Whole(i128::from(u32::MAX) + 1);
    for field in [Field::Priority, Field::MaxAttempts] {
        assert_eq!(found(field, above), [(FindingKind::OutOfRange, field)]);
    }
}

/// Checks 5,000 routes, tenants and services in which every entry has a fault
/// that takes a comparison with others, and their differences. There is no
/// bound of time; comparisons of all pairs show in the time of the test.
#[test]
fn thousands_of_entries() {
    const COUNT: usize = 5_000;
    let one = draft(sound_number);
    let large = |first: usize| ConfigDraft {
        queues: (first..first + COUNT)
            .map(|idx| QueueDraft {
                name: format!("queue-{idx}"),
                ..one.queues[0].clone()
            })
            .collect(),
        services: (first..first + COUNT)
            .map(|idx| ServiceDraft {
                name: format!("service-{idx}"),
                enforces_capacity: false,
            })
            .collect(),
        teams: (first..first + COUNT)
            .map(|idx| TeamDraft {
                name: format!("team-{idx}"),
                ..one.teams[0].clone()
            })
            .collect(),
        ..one.clone()
    };
    let findings = check_config(&large(0), None);
    let count =
        |kind| findings.iter().filter(|found| found.kind == kind).count();
    assert_eq!(count(FindingKind::ShadowedQueue), COUNT - 1);
    assert_eq!(count(FindingKind::UnknownService), COUNT);
    assert_eq!(count(FindingKind::UnusedService), COUNT);
    assert_eq!(count(FindingKind::SharedKey), COUNT - 1);
    let differences = config_differences(&large(0), &large(COUNT));
    assert_eq!(differences.len(), 6 * COUNT);
}

/// Guards against errors that are lost below thousands of warnings.
#[test]
fn errors_first() {
    let mut draft = draft(sound_number);
    draft.services.insert(0, ServiceDraft::default());
    draft.teams[0].keys.clear();
    draft.body_bytes = Some(WrittenNumber::Whole(0));
    let findings = check_config(&draft, None);
    let severities: Vec<Severity> =
        findings.iter().map(|finding| finding.severity()).collect();
    let (error, warning) = (Severity::Error, Severity::Warning);
    assert_eq!(severities, [error, warning, warning]);
}
