//! Carries out the operators' commands for the whole cell.

mod ask;
mod change_config;
mod change_jobs;
mod change_record;
mod check_job;
mod owners;
mod view;

pub(super) use self::{change_record::ChangeRow, check_job::check_job};
use limpet_core::{
    Error, ErrorKind, Result,
    command::{Action, Command, SyntaxError, permit},
};
use limpet_wire::{CommandAnswer, ForwardAnswer, ForwardRequest};
use slog::info;

use super::{SharedState, message::Asker, submit};
use crate::metrics::Counter;

/// Carries out a command for the whole cell.
pub(super) async fn run(
    state: &SharedState,
    asker: &Asker,
    text: &str,
) -> Result<CommandAnswer> {
    let command = parse(text)?;
    {
        let state = state.borrow();
        info!(state.parts.log, "command: received";
            "key" => %asker.key, "command" => %command);
        state.parts.metrics.add(Counter::CommandsAnswered, 1);
    }
    let scope = permit(&command, asker.role, asker.team.as_ref())?;
    let Some(change) = command.as_change() else {
        return ask::ask_cell(state, &command, scope.team()).await;
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
            change_jobs::run(state, asker, change, choice, team).await
        }
        _ => change_config::run(state, asker, change).await,
    }
}

/// Carries out a request that another instance handed over.
pub(crate) async fn answer_forward(
    state: &SharedState,
    request: ForwardRequest,
) -> Result<ForwardAnswer> {
    match request {
        ForwardRequest::Submit { shard, token, key, spec } => {
            // The instance that was asked has chosen the shard.
            let repeatable = true;
            let submission =
                submit::Submission { token, repeatable, key, spec };
            submit::accept(state, shard, &submission)
                .await
                .map(ForwardAnswer::Submitted)
        }
        ForwardRequest::Query { shards, command, team } => {
            let command = parse(&command)?;
            ask::answer_part(state, &command, &shards, team.as_ref())
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
