//! Queries: collects the parts of an answer from the instances that have them.

use limpet_core::{
    Error, ErrorKind, Result, ShardId, TeamName,
    command::{
        CellView, Command, FanOut, Part, Topic, evaluate_part, merge_parts,
    },
};
use limpet_wire::{CommandAnswer, ForwardAnswer, ForwardRequest};

use super::{
    super::SharedState,
    change_record,
    owners::{format_ownerless, format_shards},
};

/// Views of at least this many rows are evaluated on another thread, so that
/// they don't delay placement.
const LARGE_VIEW_ROWS: usize = 1_000;

/// Answers a query for the whole cell. Only what concerns `team` is shown, if
/// one is given.
pub(super) async fn query_cell(
    state: &SharedState,
    command: &Command,
    team: Option<&TeamName>,
) -> Result<CommandAnswer> {
    let fan_out = match command {
        Command::Show(show) => show.topic.fan_out(),
        Command::Why(subject) => subject.fan_out(),
        Command::Change(_) => FanOut::Local,
    };
    let parts = match fan_out {
        FanOut::Local => query_self(state, command, team).await,
        FanOut::Instances => query_instances(state, command, team).await,
        FanOut::Shards | FanOut::SummedShards => {
            query_shards(state, command, team).await
        }
    };
    merge(command, parts).await
}

/// Merges the parts of an answer, large ones on another thread.
async fn merge(command: &Command, parts: Vec<Part>) -> Result<CommandAnswer> {
    let rows = |part: &Part| match part {
        Part::Answered(answer) => answer.rows.len(),
        Part::Refused(_) | Part::Missing(_) => 0,
    };
    if parts.iter().map(rows).sum::<usize>() < LARGE_VIEW_ROWS {
        return merge_parts(command, parts);
    }
    let command = command.clone();
    run_blocking(move || merge_parts(&command, parts)).await
}

/// Runs long work on a thread for blocking tasks.
async fn run_blocking(
    work: impl FnOnce() -> Result<CommandAnswer> + Send + 'static,
) -> Result<CommandAnswer> {
    actix_rt::task::spawn_blocking(work).await.unwrap_or_else(|err| {
        Err(Error::new(ErrorKind::Internal, err.to_string()))
    })
}

/// Answers from what every instance knows.
async fn query_self(
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

/// Asks the owner of each shard. Names the shards without an owner as
/// missing.
async fn query_shards(
    state: &SharedState,
    command: &Command,
    team: Option<&TeamName>,
) -> Vec<Part> {
    let owners = state.borrow().owners();
    let missing = owners.missing.iter().copied();
    let mut parts: Vec<Part> =
        missing.map(format_ownerless).map(Part::Missing).collect();
    let queries = owners.others.into_iter().map(|(address, shards)| {
        let request = ForwardRequest::Query {
            shards,
            command: command.to_string(),
            team: team.cloned(),
        };
        query_instance(state, address, request)
    });
    let own = answer_part(state, command, &owners.own, team);
    // The other instances are asked before this one evaluates its own part,
    // which takes a while for a large table.
    let (others, own) =
        futures::future::join(futures::future::join_all(queries), own).await;
    parts.extend(others);
    // Included even without shards of its own: the configuration names the
    // teams and queues.
    parts.push(into_part(own, "this instance"));
    parts
}

/// Asks every instance of the cell.
async fn query_instances(
    state: &SharedState,
    command: &Command,
    team: Option<&TeamName>,
) -> Vec<Part> {
    let peers = state.borrow().parts.peers.entries();
    let queries = peers.into_iter().map(|entry| {
        let request = ForwardRequest::Query {
            shards: Vec::new(),
            command: command.to_string(),
            team: team.cloned(),
        };
        query_instance(state, entry.link_address, request)
    });
    let mut parts = futures::future::join_all(queries).await;
    let own = answer_part(state, command, &[], team).await;
    parts.push(into_part(own, "this instance"));
    parts
}

/// Asks the instance at a link address. If it doesn't answer, the part says
/// whose answer is missing.
async fn query_instance(
    state: &SharedState,
    address: String,
    request: ForwardRequest,
) -> Part {
    let source = match &request {
        ForwardRequest::Query { shards, .. } if !shards.is_empty() => {
            format!("{} (owner at {address})", format_shards(shards))
        }
        _ => format!("instance at {address}"),
    };
    into_part(forward(state, &address, &request).await, &source)
}

/// Forwards a command to the instance at a link address.
///
/// # Errors
///
/// The refusal of that instance, [`ErrorKind::ShardUnreachable`] if it
/// received nothing, and [`ErrorKind::ShardUnknown`] if its answer was lost.
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
            "the owner's answer doesn't fit the request",
        )),
    }
}

/// Turns a result into a part of the answer, missing from `source` on failure.
fn into_part(result: Result<CommandAnswer>, source: &str) -> Part {
    match result {
        Ok(answer) => Part::Answered(answer),
        Err(err) if err.kind() == ErrorKind::NotFound => Part::Refused(err),
        Err(err) if err.kind() == ErrorKind::UnknownTeam => Part::Refused(err),
        // Any other failure says nothing about the subject of the query.
        Err(_) => Part::Missing(source.to_owned()),
    }
}

/// Answers a query from this instance's state of these shards. Names those
/// that it doesn't own any more as missing.
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
    answer.missing.extend(lost.copied().map(format_ownerless));
    Ok(answer)
}

/// Evaluates a query on a view, a large one on another thread.
async fn evaluate(
    command: &Command,
    view: CellView,
    team: Option<&TeamName>,
) -> Result<CommandAnswer> {
    if view.jobs.len() + view.tasks.len() < LARGE_VIEW_ROWS {
        return evaluate_part(command, &view, team);
    }
    let (command, team) = (command.clone(), team.cloned());
    run_blocking(move || evaluate_part(&command, &view, team.as_ref())).await
}
