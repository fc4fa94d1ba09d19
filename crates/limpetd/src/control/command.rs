use std::{collections::BTreeMap, rc::Rc};

use limpet_core::{
    Error, ErrorKind, Result, ShardId, TeamName,
    command::{
        Action, CellView, Change, Command, InstanceView, JobChoice, Part,
        Reach, ShardView, Subject, Topic, evaluate_part, matching_jobs,
        merge_parts,
    },
    config::Role,
};
use limpet_platform::MemberState;
use limpet_wire::{CommandAnswer, ForwardAnswer, ForwardRequest};
use slog::info;
use tokio::sync::oneshot;

use super::{
    ControlState, SharedState,
    journal::{Pending, Then},
    message::Asker,
    record::Record,
};
use crate::metrics::Counter;

/// Carries out a command for the whole cell.
pub(super) async fn run(
    state: &SharedState,
    asker: &Asker,
    text: &str,
) -> Result<CommandAnswer> {
    let command: Command = text.parse().map_err(|err| {
        Error::new(ErrorKind::InvalidRequest, format!("{err}"))
    })?;
    {
        let state = state.borrow();
        info!(state.parts.log, "command: received";
            "key" => %asker.key, "command" => %command);
        state.parts.metrics.add(Counter::CommandsAnswered, 1);
    }
    let team = match asker.role {
        Role::Operate => None,
        Role::Submit => asker.team.clone(),
    };
    if asker.role == Role::Submit && team.is_none() {
        return Err(Error::new(
            ErrorKind::NotPermitted,
            "this key belongs to no team",
        ));
    }
    match &command {
        Command::Change(change) => {
            change_jobs(state, &command, change, team).await
        }
        Command::Show(show) if show.topic.reach() == Reach::Local => {
            let view = state.borrow().view_of(&command, &[]);
            let part = evaluate_part(&command, &view, team.as_ref())?;
            merge_parts(&command, vec![Part::Answered(part)])
        }
        Command::Show(show) if show.topic.reach() == Reach::Instances => {
            ask_instances(state, &command, team).await
        }
        Command::Show(_) | Command::Why(_) => {
            ask_shards(state, &command, team).await
        }
    }
}

/// Carries out a request that another instance handed over.
pub(crate) async fn answer_forward(
    state: &SharedState,
    request: ForwardRequest,
) -> Result<ForwardAnswer> {
    match request {
        ForwardRequest::Submit { shard, token, key, spec } => {
            let submission = super::submit::Submission { token, key, spec };
            super::submit::accept(state, shard, &submission)
                .await
                .map(ForwardAnswer::Submitted)
        }
        ForwardRequest::Query { shards, command, team } => {
            let command = parse_forwarded(&command)?;
            state
                .borrow()
                .answer_part(&command, &shards, team.as_ref())
                .map(ForwardAnswer::Answered)
        }
        ForwardRequest::Change { shards, command, team } => {
            let command = parse_forwarded(&command)?;
            change_own(state, &command, &shards, team.as_ref())
                .await
                .map(ForwardAnswer::Answered)
        }
    }
}

fn parse_forwarded(text: &str) -> Result<Command> {
    text.parse().map_err(|err: limpet_core::command::SyntaxError| {
        Error::new(ErrorKind::InvalidRequest, err.to_string())
    })
}

/// Who answers for which shards.
#[derive(Default)]
struct Owners {
    own: Vec<ShardId>,
    others: BTreeMap<String, Vec<ShardId>>,
    missing: Vec<ShardId>,
}

async fn ask_shards(
    state: &SharedState,
    command: &Command,
    team: Option<TeamName>,
) -> Result<CommandAnswer> {
    let owners = state.borrow().owners();
    let mut parts: Vec<Part> =
        owners.missing.iter().map(|&shard| missing_shard(shard)).collect();
    if !owners.own.is_empty() || owners.others.is_empty() {
        parts.push(into_part(
            state.borrow().answer_part(command, &owners.own, team.as_ref()),
            "this instance",
        ));
    }
    let questions = owners.others.into_iter().map(|(address, shards)| {
        let request = ForwardRequest::Query {
            shards: shards.clone(),
            command: command.to_string(),
            team: team.clone(),
        };
        ask(Rc::clone(state), address, request)
    });
    parts.extend(futures::future::join_all(questions).await);
    merge_parts(command, parts)
}

async fn ask_instances(
    state: &SharedState,
    command: &Command,
    team: Option<TeamName>,
) -> Result<CommandAnswer> {
    let own = state.borrow().answer_part(command, &[], team.as_ref());
    let mut parts = vec![into_part(own, "this instance")];
    let peers = state.borrow().parts.peers.entries();
    let questions = peers.into_iter().map(|entry| {
        let request = ForwardRequest::Query {
            shards: Vec::new(),
            command: command.to_string(),
            team: team.clone(),
        };
        ask(Rc::clone(state), entry.link_address, request)
    });
    parts.extend(futures::future::join_all(questions).await);
    merge_parts(command, parts)
}

async fn ask(
    state: SharedState,
    address: String,
    request: ForwardRequest,
) -> Part {
    let peers = state.borrow().parts.peers.clone();
    let result = match peers.forward(&address, &request).await {
        Ok(ForwardAnswer::Answered(answer)) => Ok(answer),
        Ok(ForwardAnswer::Refused(body)) => Err(body.into()),
        Ok(ForwardAnswer::Submitted(_)) => Err(Error::new(
            ErrorKind::ShardUnknown,
            "the owner answered something else",
        )),
        Err(err) => Err(err),
    };
    let who = match &request {
        ForwardRequest::Query { shards, .. }
        | ForwardRequest::Change { shards, .. }
            if !shards.is_empty() =>
        {
            format!("{} (owner at {address})", name_shards(shards))
        }
        _ => format!("the instance at {address}"),
    };
    into_part(result, &who)
}

fn name_shards(shards: &[ShardId]) -> String {
    let names: Vec<String> =
        shards.iter().map(|shard| format!("shard {shard}")).collect();
    names.join(", ")
}

fn missing_shard(shard: ShardId) -> Part {
    Part::Missing(format!("shard {shard} (no owner)"))
}

fn into_part(result: Result<CommandAnswer>, who: &str) -> Part {
    match result {
        Ok(answer) => Part::Answered(answer),
        Err(err)
            if matches!(
                err.kind(),
                ErrorKind::ShardUnreachable
                    | ErrorKind::ShardUnknown
                    | ErrorKind::NotOwner
            ) =>
        {
            Part::Missing(who.to_owned())
        }
        Err(err) => Part::Refused(err),
    }
}

/// Changes jobs wherever they are.
async fn change_jobs(
    state: &SharedState,
    command: &Command,
    change: &Change,
    team: Option<TeamName>,
) -> Result<CommandAnswer> {
    if job_choice(&change.action).is_none() {
        return Err(Error::new(
            ErrorKind::InvalidRequest,
            format!("`{}` is not carried out by a daemon", change.action),
        ));
    }
    let owners = state.borrow().owners();
    let mut answer = CommandAnswer::default();
    let own = change_own(state, command, &owners.own, team.as_ref()).await?;
    answer.lines.extend(own.lines);
    answer.missing.extend(
        owners.missing.iter().map(|s| format!("shard {s} (no owner)")),
    );
    for (address, shards) in owners.others {
        let request = ForwardRequest::Change {
            shards,
            command: command.to_string(),
            team: team.clone(),
        };
        match ask(Rc::clone(state), address, request).await {
            Part::Answered(part) => answer.lines.extend(part.lines),
            Part::Refused(err) => answer.missing.push(err.to_string()),
            Part::Missing(who) => answer.missing.push(who),
        }
    }
    if answer.lines.is_empty() && answer.missing.is_empty() {
        return Err(Error::new(ErrorKind::NotFound, "no such job"));
    }
    Ok(answer)
}

fn job_choice(action: &Action) -> Option<&JobChoice> {
    match action {
        Action::Cancel(choice)
        | Action::Hold(choice)
        | Action::Release(choice) => Some(choice),
        _ => None,
    }
}

/// Changes the jobs of owned shards and returns once that is durable.
async fn change_own(
    state: &SharedState,
    command: &Command,
    shards: &[ShardId],
    team: Option<&TeamName>,
) -> Result<CommandAnswer> {
    let Some(change) = command.as_change() else {
        return Err(Error::new(ErrorKind::InvalidRequest, "no change"));
    };
    let Some(choice) = job_choice(&change.action) else {
        return Err(Error::new(ErrorKind::InvalidRequest, "no jobs"));
    };
    let mut lines = Vec::new();
    let mut confirmations = Vec::new();
    for &shard in shards {
        let mut state = state.borrow_mut();
        let view = state.view_of(command, &[shard]);
        let owned = state.acting_shard(shard)?;
        for job in matching_jobs(choice, &view, team) {
            let is_final = owned
                .scheduler
                .get_job(job)
                .is_none_or(|view| view.state.is_final());
            if is_final {
                continue;
            }
            let (word, record) = match &change.action {
                Action::Hold(_) => ("held", Record::Held { job, held: true }),
                Action::Release(_) => {
                    ("released", Record::Held { job, held: false })
                }
                _ => ("cancelled", Record::Cancelled { job }),
            };
            if change.dry_run {
                lines.push(format!("job {job} would be {word}"));
                continue;
            }
            let (reply, confirmed) = oneshot::channel();
            owned.append(Pending { record, then: Then::Confirm(reply) });
            confirmations.push(confirmed);
            lines.push(format!("job {job} {word}"));
        }
    }
    for confirmed in confirmations {
        confirmed.await.unwrap_or_else(|_| {
            Err(Error::new(
                ErrorKind::StoreUnknown,
                "this instance lost the shard before the write",
            ))
        })?;
    }
    Ok(CommandAnswer { lines, ..CommandAnswer::default() })
}

impl ControlState {
    fn owners(&self) -> Owners {
        let mut owners = Owners::default();
        for cell_shard in self.cell_shards() {
            let shard = cell_shard.shard;
            if self.shards.contains_key(&shard) {
                owners.own.push(shard);
                continue;
            }
            match self.owner_address(shard) {
                Ok(address) => {
                    owners.others.entry(address).or_default().push(shard);
                }
                Err(_) => owners.missing.push(shard),
            }
        }
        owners
    }

    fn answer_part(
        &self,
        command: &Command,
        shards: &[ShardId],
        team: Option<&TeamName>,
    ) -> Result<CommandAnswer> {
        let view = self.view_of(command, shards);
        let mut answer = evaluate_part(command, &view, team)?;
        let lost = shards.iter().filter(|s| !self.shards.contains_key(s));
        answer
            .missing
            .extend(lost.map(|shard| format!("shard {shard} (no owner)")));
        Ok(answer)
    }

    /// Returns what a command asks about, for these shards.
    fn view_of(&self, command: &Command, shards: &[ShardId]) -> CellView {
        let mut view = CellView {
            now: self.parts.wall_clock.now(),
            wall_now: self.parts.wall_clock.now(),
            config: std::sync::Arc::clone(&self.config),
            ..CellView::default()
        };
        match command {
            Command::Show(show) => {
                self.fill_topic(&mut view, show.topic, shards);
            }
            Command::Why(subject) => {
                self.fill_topic(&mut view, Topic::Jobs, shards);
                self.fill_explanation(&mut view, subject, shards);
            }
            Command::Change(_) => {
                self.fill_topic(&mut view, Topic::Jobs, shards);
            }
        }
        view
    }

    fn fill_topic(
        &self,
        view: &mut CellView,
        topic: Topic,
        shards: &[ShardId],
    ) {
        let owned =
            || shards.iter().filter_map(|shard| self.shards.get(shard));
        match topic {
            Topic::Jobs => {
                view.jobs = owned().flat_map(|s| s.scheduler.jobs()).collect();
            }
            Topic::Tasks => {
                view.tasks =
                    owned().flat_map(|s| s.scheduler.tasks()).collect();
            }
            Topic::Workers => {
                view.workers =
                    owned().flat_map(|s| s.scheduler.workers()).collect();
            }
            Topic::Teams => {
                view.teams =
                    owned().flat_map(|s| s.scheduler.teams()).collect();
            }
            Topic::Queues => {
                view.queues =
                    owned().flat_map(|s| s.scheduler.queues()).collect();
            }
            Topic::Shards => view.shards = self.shard_views(shards),
            Topic::Instances => view.instances = self.instance_views(),
            _ => {}
        }
    }

    fn fill_explanation(
        &self,
        view: &mut CellView,
        subject: &Subject,
        shards: &[ShardId],
    ) {
        if let Subject::Job(job) = subject {
            view.explanation = shards
                .iter()
                .filter_map(|shard| self.shards.get(shard))
                .find_map(|owned| owned.scheduler.explain_job(*job));
        }
    }

    fn shard_views(&self, shards: &[ShardId]) -> Vec<ShardView> {
        self.cell_shards()
            .into_iter()
            .filter(|cell_shard| shards.contains(&cell_shard.shard))
            .filter_map(|cell_shard| {
                let owned = self.shards.get(&cell_shard.shard)?;
                let jobs = owned.scheduler.jobs();
                Some(ShardView {
                    shard: cell_shard.shard,
                    data_centre: cell_shard.data_centre,
                    owner: Some(self.instance().clone()),
                    epoch: owned.epoch,
                    workers: owned.heard_workers() as u32,
                    waiting_jobs: jobs
                        .iter()
                        .filter(|job| {
                            job.state == limpet_core::JobState::Waiting
                        })
                        .count() as u32,
                    running_tasks: jobs.iter().map(|job| job.running).sum(),
                })
            })
            .collect()
    }

    fn instance_views(&self) -> Vec<InstanceView> {
        self.listing
            .instances
            .iter()
            .map(|entry| InstanceView {
                instance: entry.instance.clone(),
                data_centre: entry.data_centre.clone(),
                state: match entry.state {
                    MemberState::Live => "live".to_owned(),
                    MemberState::Leaving => "leaving".to_owned(),
                },
                address: entry.link_address.clone(),
                revision: None,
            })
            .collect()
    }
}
