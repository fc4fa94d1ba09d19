//! Property test: the text form of every command parses back to the same
//! command.

use limpet_core::{
    JobId, Revision,
    command::{
        Action, Aggregate, Change, Column, ColumnKind, Command, Comparison,
        Condition, Direction, DrainTarget, JobSelector, KeyHolder,
        LimitChange, Operator, Order, QueueProperties, ServiceProperties,
        Show, Subject, Topic, Value,
    },
    config::QueuePolicy,
};
use proptest::{collection::vec, option, prelude::*, sample::select};

fn name<T: std::str::FromStr<Err: std::fmt::Debug> + std::fmt::Debug>()
-> impl Strategy<Value = T> {
    "[a-z0-9][a-z0-9._-]{0,12}".prop_map(|text| text.parse().expect("a name"))
}

fn topic() -> impl Strategy<Value = Topic> {
    select(Topic::ALL)
}

fn column(topic: Topic) -> impl Strategy<Value = Column> {
    select(topic.columns().collect::<Vec<_>>())
}

fn value(kind: ColumnKind) -> BoxedStrategy<Value> {
    match kind {
        ColumnKind::Flag => any::<bool>().prop_map(Value::Flag).boxed(),
        ColumnKind::Number => any::<i64>().prop_map(Value::Number).boxed(),
        ColumnKind::Decimal => {
            prop::num::f64::NORMAL.prop_map(Value::Decimal).boxed()
        }
        ColumnKind::Text => any::<String>().prop_map(Value::Text).boxed(),
        ColumnKind::Word(words) => {
            select(words).prop_map(|word| Value::Text(word.to_owned())).boxed()
        }
    }
}

fn operator(kind: ColumnKind) -> impl Strategy<Value = Operator> {
    let mut operators = vec![
        Operator::Equal,
        Operator::NotEqual,
        Operator::Less,
        Operator::LessOrEqual,
        Operator::Greater,
        Operator::GreaterOrEqual,
        Operator::In,
    ];
    if kind == ColumnKind::Text {
        operators.push(Operator::Contains);
    }
    select(operators)
}

fn comparison(topic: Topic) -> impl Strategy<Value = Condition> {
    column(topic)
        .prop_flat_map(|column| (Just(column), operator(column.kind())))
        .prop_flat_map(|(column, operator)| {
            let max = if operator == Operator::In { 4 } else { 1 };
            let values = vec(value(column.kind()), 1..=max);
            (Just(column), Just(operator), values)
        })
        .prop_map(|(column, operator, values)| {
            Condition::Compare(Comparison { column, operator, values })
        })
}

fn condition(topic: Topic) -> impl Strategy<Value = Condition> {
    comparison(topic).prop_recursive(5, 24, 4, |inner| {
        prop_oneof![
            inner.clone().prop_map(|c| Condition::Not(Box::new(c))),
            vec(inner.clone(), 2..4).prop_map(Condition::All),
            vec(inner, 2..4).prop_map(Condition::Any),
        ]
    })
}

fn aggregate(topic: Topic) -> impl Strategy<Value = Aggregate> {
    let numbers: Vec<Column> =
        topic.columns().filter(|c| c.kind().is_number()).collect();
    let sums = if numbers.is_empty() {
        Just(Vec::new()).boxed()
    } else {
        vec(select(numbers), 0..3).boxed()
    };
    (sums, vec(column(topic), 0..3))
        .prop_map(|(sums, groups)| Aggregate { sums, groups })
}

fn order(
    topic: Topic,
    aggregate: &Option<Aggregate>,
) -> impl Strategy<Value = Vec<Order>> + use<> {
    let columns: Vec<Option<Column>> = match aggregate {
        None => topic.columns().map(Some).collect(),
        Some(aggregate) => {
            let count = aggregate.sums.is_empty().then_some(None);
            let columns = aggregate.groups.iter().chain(&aggregate.sums);
            columns.map(|column| Some(*column)).chain(count).collect()
        }
    };
    let directions = select(vec![Direction::Ascending, Direction::Descending]);
    let column_order = (select(columns), directions)
        .prop_map(|(column, direction)| Order { column, direction });
    vec(column_order, 0..3)
}

fn show() -> impl Strategy<Value = Show> {
    topic()
        .prop_flat_map(|topic| {
            let condition = option::of(condition(topic));
            (Just(topic), condition, option::of(aggregate(topic)))
        })
        .prop_flat_map(|(topic, condition, aggregate)| {
            let order = order(topic, &aggregate);
            let limit = option::of(any::<u64>());
            (Just(topic), Just(condition), Just(aggregate), order, limit)
        })
        .prop_map(|(topic, condition, aggregate, order, limit)| Show {
            topic,
            condition,
            aggregate,
            order,
            limit,
        })
}

fn subject() -> impl Strategy<Value = Subject> {
    prop_oneof![
        any::<u64>().prop_map(|job| Subject::Job(JobId::new(job))),
        any::<(u64, u32)>().prop_map(|(job, index)| {
            let task = format!("{job}.{index}");
            Subject::Task(task.parse().expect("a task"))
        }),
        "[a-z0-9-]{1,20}".prop_map(Subject::Refusal),
        name().prop_map(Subject::Worker),
        name().prop_map(Subject::Team),
    ]
}

fn job_selector() -> impl Strategy<Value = JobSelector> {
    prop_oneof![
        any::<u64>().prop_map(|job| JobSelector::Id(JobId::new(job))),
        condition(Topic::Jobs).prop_map(JobSelector::Where),
    ]
}

fn drain_target() -> impl Strategy<Value = DrainTarget> {
    prop_oneof![
        name().prop_map(DrainTarget::Worker),
        name().prop_map(DrainTarget::Endpoint),
        name().prop_map(DrainTarget::Instance),
    ]
}

fn policy() -> impl Strategy<Value = QueuePolicy> {
    select(vec![QueuePolicy::Service, QueuePolicy::Batch, QueuePolicy::Gang])
}

fn queue_properties() -> impl Strategy<Value = QueueProperties> {
    let flag = || option::of(any::<bool>());
    (option::of(policy()), flag(), flag())
        .prop_map(|(policy, open, stop_over_size)| QueueProperties {
            policy,
            open,
            stop_over_size,
        })
        .prop_filter("at least one property", |properties| {
            *properties != QueueProperties::default()
        })
}

fn new_queue_properties() -> impl Strategy<Value = QueueProperties> {
    (policy(), queue_properties()).prop_map(|(policy, properties)| {
        QueueProperties { policy: Some(policy), ..properties }
    })
}

fn service_properties() -> impl Strategy<Value = ServiceProperties> {
    (option::of(any::<bool>()), option::of(any::<u64>()))
        .prop_map(|(open, deadline_ms)| ServiceProperties {
            open,
            deadline_ms,
        })
        .prop_filter("at least one property", |properties| {
            *properties != ServiceProperties::default()
        })
}

fn limit_change() -> impl Strategy<Value = LimitChange> {
    let amount = || option::of(any::<u64>());
    let cores = option::of(0..1_000_000_000_000_u64);
    let requests = option::of(any::<u32>());
    (cores, amount(), amount(), requests, any::<bool>())
        .prop_map(|(cores_milli, memory_mb, accelerators, requests, all)| {
            LimitChange {
                cores_milli,
                memory_mb,
                accelerators,
                requests,
                unlimited: all,
            }
        })
        .prop_filter("at least one part", |limit| {
            *limit != LimitChange::default()
        })
}

fn key_holder() -> impl Strategy<Value = KeyHolder> {
    prop_oneof![name().prop_map(KeyHolder::Team), Just(KeyHolder::Operators)]
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        any::<String>().prop_map(|file| Action::Submit { file }),
        job_selector().prop_map(Action::Cancel),
        job_selector().prop_map(Action::Hold),
        job_selector().prop_map(Action::Release),
        name().prop_map(Action::CreateTeam),
        (name(), new_queue_properties()).prop_map(|(queue, properties)| {
            Action::CreateQueue { queue, properties }
        }),
        (name(), service_properties()).prop_map(|(service, properties)| {
            Action::SetService { service, properties }
        }),
        (name(), key_holder(), option::of(0..u64::from(u32::MAX))).prop_map(
            |(key, holder, expires_in_ms)| Action::Grant {
                key,
                holder,
                expires_in_ms,
            }
        ),
        name().prop_map(Action::Withdraw),
        (name(), any::<u32>())
            .prop_map(|(team, weight)| Action::SetShare { team, weight }),
        (name(), limit_change())
            .prop_map(|(team, limit)| Action::SetLimit { team, limit }),
        (name(), policy())
            .prop_map(|(queue, policy)| Action::SetPolicy { queue, policy }),
        (name(), queue_properties()).prop_map(|(queue, properties)| {
            Action::Reshape { queue, properties }
        }),
        drain_target().prop_map(Action::Drain),
        drain_target().prop_map(Action::Undrain),
    ]
}

fn change() -> impl Strategy<Value = Change> {
    (action(), any::<bool>(), option::of(any::<u64>())).prop_map(
        |(action, dry_run, revision)| Change {
            action,
            dry_run,
            if_revision: revision.map(Revision::new),
        },
    )
}

fn command() -> impl Strategy<Value = Command> {
    prop_oneof![
        show().prop_map(Command::Show),
        subject().prop_map(Command::Why),
        change().prop_map(Command::Change),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn print_parses_back(command in command()) {
        let text = command.to_string();
        prop_assert_eq!(text.parse(), Ok(command), "{}", text);
    }
}
