//! The operators' commands, for the whole cell.
//!
//! The instance that receives a command asks the owners of the other shards
//! for their parts over the link and merges the answers. The merged answer
//! names the shards and instances whose parts are missing.

mod change_config;
mod change_jobs;
mod change_record;
mod check_job;
mod owners;
mod query;
mod view;

pub(super) use self::{change_record::ChangeRow, check_job::check_job};
use limpet_core::{
    Error, ErrorKind, Result,
    command::{Action, Command, SyntaxError, permit},
};
use limpet_wire::{CommandAnswer, ForwardAnswer, ForwardRequest};
use slog::info;

use super::{SharedState, message::Caller, submit};
use crate::metrics::Counter;

/// Parses a command, checks that the caller may give it, and carries it out
/// for the whole cell.
pub(super) async fn run(
    state: &SharedState,
    caller: &Caller,
    text: &str,
) -> Result<CommandAnswer> {
    let command = parse(text)?;
    {
        let state = state.borrow();
        info!(state.parts.log, "command: received";
            "key" => %caller.key, "command" => %command);
        state.parts.metrics.add(Counter::CommandsAnswered, 1);
    }
    let scope = permit(&command, caller.role, caller.team.as_ref())?;
    let Some(change) = command.as_change() else {
        return query::query_cell(state, &command, scope.team()).await;
    };
    match &change.action {
        Action::Submit { .. } => Err(Error::new(
            ErrorKind::InvalidRequest,
            "a job file goes to POST /v1/jobs",
        )),
        Action::Cancel(choice)
        | Action::Hold(choice)
        | Action::Release(choice) => {
            let team = scope.team();
            change_jobs::run(state, caller, change, choice, team).await
        }
        _ => change_config::run(state, caller, change).await,
    }
}

/// Carries out a request that another instance has forwarded.
pub(crate) async fn answer_forward(
    state: &SharedState,
    request: ForwardRequest,
) -> Result<ForwardAnswer> {
    match request {
        ForwardRequest::Submit { shard, token, key, spec } => {
            // The forwarding instance has chosen the shard, so this flag isn't
            // used: it only says whether another shard may be tried.
            let repeatable = true;
            let submission =
                submit::Submission { token, repeatable, key, spec };
            submit::accept(state, shard, &submission)
                .await
                .map(ForwardAnswer::Submitted)
        }
        ForwardRequest::Query { shards, command, team } => {
            let command = parse(&command)?;
            query::answer_part(state, &command, &shards, team.as_ref())
                .await
                .map(ForwardAnswer::Answered)
        }
        ForwardRequest::Change { shards, command, team } => {
            let command = parse(&command)?;
            change_jobs::change_own(state, &command, &shards, team.as_ref())
                .await
                .map(ForwardAnswer::Answered)
        }
    }
}

fn parse(text: &str) -> Result<Command> {
    text.parse().map_err(|err: SyntaxError| Error::from(&err))
}
