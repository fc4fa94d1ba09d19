use limpet_core::{
    Error, ErrorKind, Result, ShardId, TeamName,
    command::{
        CellView, Command, Part, Reach, Topic, evaluate_part, merge_parts,
    },
};
use limpet_wire::{CommandAnswer, ForwardAnswer, ForwardRequest};

use super::{
    super::SharedState,
    change_record,
    owners::{name_ownerless, name_shards},
};

/// The number of rows from which a view is evaluated on another thread, so
/// that placement goes on meanwhile.
const LARGE_VIEW_ROWS: usize = 1_000;

/// Answers a question for the whole cell.
pub(super) async fn ask_cell(
    state: &SharedState,
    command: &Command,
    team: Option<&TeamName>,
) -> Result<CommandAnswer> {
    let reach = match command {
        Command::Show(show) => show.topic.reach(),
        Command::Why(subject) => subject.reach(),
        Command::Change(_) => Reach::Local,
    };
    let parts = match reach {
        Reach::Local => ask_self(state, command, team).await,
        Reach::Instances => ask_instances(state, command, team).await,
        Reach::Shards | Reach::SummedShards => {
            ask_shards(state, command, team).await
        }
    };
    merge(command, parts).await
}

/// Merges the parts, large ones on another thread.
async fn merge(command: &Command, parts: Vec<Part>) -> Result<CommandAnswer> {
    let rows = |part: &Part| match part {
        Part::Answered(answer) => answer.rows.len(),
        Part::Refused(_) | Part::Missing(_) => 0,
    };
    if parts.iter().map(rows).sum::<usize>() < LARGE_VIEW_ROWS {
        return merge_parts(command, parts);
    }
    let command = command.clone();
    run_aside(move || merge_parts(&command, parts)).await
}

/// Does long work on another thread.
async fn run_aside(
    work: impl FnOnce() -> Result<CommandAnswer> + Send + 'static,
) -> Result<CommandAnswer> {
    actix_rt::task::spawn_blocking(work).await.unwrap_or_else(|err| {
        Err(Error::new(ErrorKind::Internal, err.to_string()))
    })
}

async fn ask_self(
    state: &SharedState,
    command: &Command,
    team: Option<&TeamName>,
) -> Vec<Part> {
    let mut view = super::view::read(state, command, &[]).await;
    let mut parts = Vec::new();
    if matches!(command, Command::Show(show) if show.topic == Topic::Changes) {
        match change_record::read_all(state).await {
            Ok(changes) => view.changes = changes,
            Err(err) => parts.push(Part::Missing(format!("changes ({err})"))),
        }
    }
    let answer = evaluate(command, view, team).await;
    parts.push(into_part(answer, "this instance"));
    parts
}

async fn ask_shards(
    state: &SharedState,
    command: &Command,
    team: Option<&TeamName>,
) -> Vec<Part> {
    let owners = state.borrow().owners();
    let missing = owners.missing.iter().copied();
    let mut parts: Vec<Part> =
        missing.map(name_ownerless).map(Part::Missing).collect();
    let questions = owners.others.into_iter().map(|(address, shards)| {
        let request = ForwardRequest::Query {
            shards,
            command: command.to_string(),
            team: team.cloned(),
        };
        ask(state, address, request)
    });
    let own = answer_part(state, command, &owners.own, team);
    // The others are asked before this instance answers, which takes a
    // moment for a large table.
    let (others, own) =
        futures::future::join(futures::future::join_all(questions), own).await;
    parts.extend(others);
    // An instance without shards knows at least the configuration, which
    // names the teams and queues.
    parts.push(into_part(own, "this instance"));
    parts
}

async fn ask_instances(
    state: &SharedState,
    command: &Command,
    team: Option<&TeamName>,
) -> Vec<Part> {
    let peers = state.borrow().parts.peers.entries();
    let questions = peers.into_iter().map(|entry| {
        let request = ForwardRequest::Query {
            shards: Vec::new(),
            command: command.to_string(),
            team: team.cloned(),
        };
        ask(state, entry.link_address, request)
    });
    let mut parts = futures::future::join_all(questions).await;
    let own = answer_part(state, command, &[], team).await;
    parts.push(into_part(own, "this instance"));
    parts
}

async fn ask(
    state: &SharedState,
    address: String,
    request: ForwardRequest,
) -> Part {
    let who = match &request {
        ForwardRequest::Query { shards, .. } if !shards.is_empty() => {
            format!("{} (owner at {address})", name_shards(shards))
        }
        _ => format!("instance at {address}"),
    };
    into_part(forward(state, &address, &request).await, &who)
}

/// Hands a request to another instance.
pub(super) async fn forward(
    state: &SharedState,
    address: &str,
    request: &ForwardRequest,
) -> Result<CommandAnswer> {
    let peers = state.borrow().parts.peers.clone();
    match peers.forward(address, request).await? {
        ForwardAnswer::Answered(answer) => Ok(answer),
        ForwardAnswer::Refused(body) => Err(body.into()),
        ForwardAnswer::Submitted(_) => Err(Error::new(
            ErrorKind::ShardUnknown,
            "the owner answered something else",
        )),
    }
}

fn into_part(result: Result<CommandAnswer>, who: &str) -> Part {
    match result {
        Ok(answer) => Part::Answered(answer),
        Err(err) if err.kind() == ErrorKind::NotFound => Part::Refused(err),
        Err(err) if err.kind() == ErrorKind::UnknownTeam => Part::Refused(err),
        // Anything else tells nothing about what was asked for.
        Err(_) => Part::Missing(who.to_owned()),
    }
}

/// Answers a question from what this instance knows of these shards.
pub(super) async fn answer_part(
    state: &SharedState,
    command: &Command,
    shards: &[ShardId],
    team: Option<&TeamName>,
) -> Result<CommandAnswer> {
    let view = super::view::read(state, command, shards).await;
    let mut answer = evaluate(command, view, team).await?;
    let state = state.borrow();
    let lost = shards.iter().filter(|s| !state.shards.contains_key(s));
    answer.missing.extend(lost.copied().map(name_ownerless));
    Ok(answer)
}

/// Evaluates a view, a large one on another thread.
async fn evaluate(
    command: &Command,
    view: CellView,
    team: Option<&TeamName>,
) -> Result<CommandAnswer> {
    if view.jobs.len() + view.tasks.len() < LARGE_VIEW_ROWS {
        return evaluate_part(command, &view, team);
    }
    let (command, team) = (command.clone(), team.cloned());
    run_aside(move || evaluate_part(&command, &view, team.as_ref())).await
}
