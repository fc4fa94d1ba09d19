use winnow::{
    Parser,
    combinator::{alt, opt, preceded, separated},
};

use super::{
    super::{
        Action, Change, DrainTarget, JobSelector, KeyHolder, LimitChange,
        QueueProperties, ServiceProperties, Topic, token::TokenKind,
    },
    condition::condition,
    stream::{
        Parsed, Tokens, flag, keyword, one_of_words, parsed, sign, take, text,
    },
};
use crate::{QueueName, Revision, TeamName, config::QueuePolicy};

/// The most cores that a limit may name, in whole cores.
const CORES_LIMIT: f64 = 1.0e9;
const TEAM: &str = "the name of a team";
const QUEUE: &str = "the name of a queue";

/// Parses a change: `[dry run] ACTION [if revision = N]`.
///
/// `dry run` may also follow the action or the revision.
pub(super) fn change(input: &mut Tokens<'_>) -> Parsed<Change> {
    let mut dry_run = opt(dry_run_words).parse_next(input)?.is_some();
    let action = action(input)?;
    if !dry_run {
        dry_run = opt(dry_run_words).parse_next(input)?.is_some();
    }
    let if_revision = opt(revision_clause).parse_next(input)?;
    if !dry_run {
        dry_run = opt(dry_run_words).parse_next(input)?.is_some();
    }
    Ok(Change { action, dry_run, if_revision })
}

fn dry_run_words(input: &mut Tokens<'_>) -> Parsed<()> {
    (keyword("dry"), keyword("run")).void().parse_next(input)
}

fn revision_clause(input: &mut Tokens<'_>) -> Parsed<Revision> {
    (keyword("if"), keyword("revision"), sign("=")).parse_next(input)?;
    parsed("a revision").parse_next(input)
}

fn action(input: &mut Tokens<'_>) -> Parsed<Action> {
    alt((job_action, config_action)).parse_next(input)
}

fn job_action(input: &mut Tokens<'_>) -> Parsed<Action> {
    alt((
        submit,
        preceded(keyword("cancel"), job_selector).map(Action::Cancel),
        preceded(keyword("hold"), job_selector).map(Action::Hold),
        preceded(keyword("release"), release),
    ))
    .parse_next(input)
}

fn config_action(input: &mut Tokens<'_>) -> Parsed<Action> {
    let settable = alt((set_share, set_limit, set_policy, set_service));
    alt((
        preceded(keyword("create"), alt((create_team, create_queue))),
        grant,
        withdraw,
        preceded(keyword("set"), settable),
        reshape,
        preceded(keyword("drain"), drain_target).map(Action::Drain),
    ))
    .parse_next(input)
}

fn submit(input: &mut Tokens<'_>) -> Parsed<Action> {
    keyword("submit").parse_next(input)?;
    let file = text(input, "the path of a job file")?;
    Ok(Action::Submit { file })
}

fn job_selector(input: &mut Tokens<'_>) -> Parsed<JobSelector> {
    let by_id = preceded(keyword("job"), parsed("the number of a job"));
    let by_condition = preceded(
        (keyword("jobs"), keyword("where")),
        |input: &mut Tokens<'_>| condition(input, Topic::Jobs),
    );
    alt((by_id.map(JobSelector::Id), by_condition.map(JobSelector::Where)))
        .parse_next(input)
}

fn release(input: &mut Tokens<'_>) -> Parsed<Action> {
    alt((job_selector.map(Action::Release), drain_target.map(Action::Undrain)))
        .parse_next(input)
}

fn drain_target(input: &mut Tokens<'_>) -> Parsed<DrainTarget> {
    alt((
        preceded(keyword("worker"), parsed("the name of a worker"))
            .map(DrainTarget::Worker),
        preceded(keyword("endpoint"), parsed("the name of an endpoint"))
            .map(DrainTarget::Endpoint),
        preceded(keyword("instance"), parsed("the name of an instance"))
            .map(DrainTarget::Instance),
    ))
    .parse_next(input)
}

fn create_team(input: &mut Tokens<'_>) -> Parsed<Action> {
    preceded(keyword("team"), parsed(TEAM))
        .map(Action::CreateTeam)
        .parse_next(input)
}

fn create_queue(input: &mut Tokens<'_>) -> Parsed<Action> {
    keyword("queue").parse_next(input)?;
    let queue = parsed(QUEUE).parse_next(input)?;
    let policy = Some(policy_clause(input)?);
    let properties =
        queue_properties(input, QueueProperties { policy, ..<_>::default() })?;
    Ok(Action::CreateQueue { queue, properties })
}

fn reshape(input: &mut Tokens<'_>) -> Parsed<Action> {
    (keyword("reshape"), keyword("queue")).parse_next(input)?;
    let queue = parsed(QUEUE).parse_next(input)?;
    let first = queue_clause(input, QueueProperties::default())?;
    let properties = queue_properties(input, first)?;
    Ok(Action::Reshape { queue, properties })
}

fn queue_properties(
    input: &mut Tokens<'_>,
    mut properties: QueueProperties,
) -> Parsed<QueueProperties> {
    let clause = |properties| {
        move |input: &mut Tokens<'_>| queue_clause(input, properties)
    };
    while let Some(next) = opt(clause(properties)).parse_next(input)? {
        properties = next;
    }
    Ok(properties)
}

fn queue_clause(
    input: &mut Tokens<'_>,
    properties: QueueProperties,
) -> Parsed<QueueProperties> {
    alt((
        policy_clause.map(|policy| QueueProperties {
            policy: Some(policy),
            ..properties
        }),
        preceded(keyword("open"), flag)
            .map(|open| QueueProperties { open: Some(open), ..properties }),
        preceded(keyword("stop_over_size"), flag).map(|stop| {
            QueueProperties { stop_over_size: Some(stop), ..properties }
        }),
    ))
    .parse_next(input)
}

fn policy_clause(input: &mut Tokens<'_>) -> Parsed<QueuePolicy> {
    preceded(keyword("policy"), policy).parse_next(input)
}

fn policy(input: &mut Tokens<'_>) -> Parsed<QueuePolicy> {
    alt((
        keyword("service").value(QueuePolicy::Service),
        keyword("batch").value(QueuePolicy::Batch),
        keyword("gang").value(QueuePolicy::Gang),
    ))
    .parse_next(input)
}

fn grant(input: &mut Tokens<'_>) -> Parsed<Action> {
    (keyword("grant"), keyword("key")).parse_next(input)?;
    let key = parsed("a name for the key").parse_next(input)?;
    keyword("to").parse_next(input)?;
    let holder = alt((
        preceded(keyword("team"), parsed(TEAM)).map(KeyHolder::Team),
        keyword("operators").value(KeyHolder::Operators),
    ))
    .parse_next(input)?;
    let expires_in_ms = opt(expiry).parse_next(input)?;
    Ok(Action::Grant { key, holder, expires_in_ms })
}

fn expiry(input: &mut Tokens<'_>) -> Parsed<u64> {
    (keyword("expires"), keyword("in")).parse_next(input)?;
    let amount: u32 = parsed("a number").parse_next(input)?;
    let unit = one_of_words(input, &["ms", "s", "min", "h", "d"])?;
    let unit_ms = match unit {
        "s" => 1_000,
        "min" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => 1,
    };
    Ok(u64::from(amount) * unit_ms)
}

fn withdraw(input: &mut Tokens<'_>) -> Parsed<Action> {
    (keyword("withdraw"), keyword("key")).parse_next(input)?;
    parsed("the name of a key").map(Action::Withdraw).parse_next(input)
}

fn of_team(input: &mut Tokens<'_>) -> Parsed<TeamName> {
    (keyword("of"), keyword("team")).parse_next(input)?;
    let team = parsed(TEAM).parse_next(input)?;
    keyword("to").parse_next(input)?;
    Ok(team)
}

fn set_share(input: &mut Tokens<'_>) -> Parsed<Action> {
    keyword("share").parse_next(input)?;
    let team = of_team(input)?;
    let weight = parsed("a whole number").parse_next(input)?;
    Ok(Action::SetShare { team, weight })
}

fn set_limit(input: &mut Tokens<'_>) -> Parsed<Action> {
    keyword("limit").parse_next(input)?;
    let team = of_team(input)?;
    let parts: Vec<LimitPart> =
        separated(1.., limit_part, sign(",")).parse_next(input)?;
    let limit = parts.iter().fold(LimitChange::default(), LimitPart::add);
    Ok(Action::SetLimit { team, limit })
}

fn set_policy(input: &mut Tokens<'_>) -> Parsed<Action> {
    (keyword("policy"), keyword("of"), keyword("queue")).parse_next(input)?;
    let queue: QueueName = parsed(QUEUE).parse_next(input)?;
    keyword("to").parse_next(input)?;
    let policy = policy(input)?;
    Ok(Action::SetPolicy { queue, policy })
}

fn set_service(input: &mut Tokens<'_>) -> Parsed<Action> {
    keyword("service").parse_next(input)?;
    let service = parsed("the name of a service").parse_next(input)?;
    let mut properties = service_clause(input, ServiceProperties::default())?;
    let clause = |properties| {
        move |input: &mut Tokens<'_>| service_clause(input, properties)
    };
    while let Some(next) = opt(clause(properties)).parse_next(input)? {
        properties = next;
    }
    Ok(Action::SetService { service, properties })
}

fn service_clause(
    input: &mut Tokens<'_>,
    properties: ServiceProperties,
) -> Parsed<ServiceProperties> {
    let milliseconds = parsed("a number of milliseconds");
    alt((
        preceded(keyword("open"), flag)
            .map(|open| ServiceProperties { open: Some(open), ..properties }),
        preceded(keyword("deadline_ms"), milliseconds).map(|ms| {
            ServiceProperties { deadline_ms: Some(ms), ..properties }
        }),
    ))
    .parse_next(input)
}

/// A part of a limit, such as `16 cores`.
#[derive(Clone, Copy, Debug)]
enum LimitPart {
    Unlimited,
    CoresMilli(u64),
    MemoryMb(u64),
    Accelerators(u64),
    Requests(u32),
}

impl LimitPart {
    /// Returns `limit` with the part set.
    fn add(limit: LimitChange, part: &LimitPart) -> LimitChange {
        match *part {
            LimitPart::Unlimited => LimitChange { unlimited: true, ..limit },
            LimitPart::CoresMilli(cores_milli) => {
                LimitChange { cores_milli: Some(cores_milli), ..limit }
            }
            LimitPart::MemoryMb(memory_mb) => {
                LimitChange { memory_mb: Some(memory_mb), ..limit }
            }
            LimitPart::Accelerators(accelerators) => {
                LimitChange { accelerators: Some(accelerators), ..limit }
            }
            LimitPart::Requests(requests) => {
                LimitChange { requests: Some(requests), ..limit }
            }
        }
    }
}

fn limit_part(input: &mut Tokens<'_>) -> Parsed<LimitPart> {
    let memory = (parsed("a whole number"), keyword("memory_mb"));
    let accelerators = (parsed("a whole number"), keyword("accelerators"));
    let requests = (parsed("a whole number"), keyword("requests"));
    alt((
        keyword("unlimited").value(LimitPart::Unlimited),
        (cores, keyword("cores")).map(|(n, ())| LimitPart::CoresMilli(n)),
        memory.map(|(n, ())| LimitPart::MemoryMb(n)),
        accelerators.map(|(n, ())| LimitPart::Accelerators(n)),
        requests.map(|(n, ())| LimitPart::Requests(n)),
    ))
    .parse_next(input)
}

fn cores(input: &mut Tokens<'_>) -> Parsed<u64> {
    take(input, "a number", |kind| match kind {
        TokenKind::Word(text) => {
            let cores: f64 = text.parse().ok()?;
            let allowed = (0.0..=CORES_LIMIT).contains(&cores);
            allowed.then(|| (cores * 1000.0).round() as u64)
        }
        TokenKind::Quoted(_) | TokenKind::Sign(_) => None,
    })
}
