//! Cancels, holds and releases jobs.

use limpet_core::{
    Error, ErrorKind, JobId, Result, ShardId, TeamName,
    command::{
        Action, Change, Command, JobSelector, PlanContext, TableCell,
        matching_jobs, plan,
    },
    journal::Record,
};
use limpet_wire::{CommandAnswer, ForwardRequest};
use tokio::sync::oneshot;

use super::{
    super::{SharedState, journal::OnDurable, message::Caller},
    change_record,
    owners::{format_ownerless, format_shards},
    query::forward,
};

/// The columns of the answer to a change of jobs.
const COLUMNS: [&str; 3] = ["change", "jobs", "tasks"];

/// Changes the matching jobs in all shards, and returns once that is durable.
pub(super) async fn run(
    state: &SharedState,
    caller: &Caller,
    change: &Change,
    selector: &JobSelector,
    team: Option<&TeamName>,
) -> Result<CommandAnswer> {
    state.borrow().check_revision(change)?;
    let command = Command::Change(change.clone());
    let owners = state.borrow().owners();
    let mut total = Affected::default();
    let mut missing: Vec<String> =
        owners.missing.iter().copied().map(format_ownerless).collect();
    let requests = owners.others.iter().map(|(address, shards)| {
        change_others(state, &command, address, shards, team)
    });
    let own = change_own(state, &command, &owners.own, team);
    let (others, own) =
        futures::future::join(futures::future::join_all(requests), own).await;
    let mut refused = None;
    match own {
        Ok(answer) => total.add(&answer),
        Err(err) => refused = Some(err),
    }
    for result in others {
        match result {
            Ok(answer) => total.add(&answer),
            Err(what) => missing.push(what),
        }
    }
    if let Some(err) = refused {
        if total.jobs == 0 {
            return Err(err);
        }
        missing.push(format!("this instance's shards ({err})"));
    }
    if total.jobs == 0 && missing.is_empty() && is_single_job(selector) {
        let message = format!("no {selector} that has not ended");
        return Err(Error::new(ErrorKind::NotFound, message));
    }
    let mut answer = total.to_answer(&change.action);
    answer.missing = missing;
    if change.dry_run {
        answer.lines.push("a dry run: nothing was changed".to_owned());
    } else if total.jobs > 0 {
        let after =
            format!("{} jobs {}", total.jobs, participle(&change.action));
        let unrecorded =
            change_record::write(state, caller, change, after).await.err();
        answer.lines.extend(
            unrecorded.map(|err| format!("not in `show changes`: {err}")),
        );
    }
    Ok(answer)
}

/// Returns whether a selector names a single job.
const fn is_single_job(selector: &JobSelector) -> bool {
    matches!(selector, JobSelector::Id(_))
}

/// Asks another instance to change the jobs of its shards. A failure names
/// the shards and says whether the change may have been made.
async fn change_others(
    state: &SharedState,
    command: &Command,
    address: &str,
    shards: &[ShardId],
    team: Option<&TeamName>,
) -> std::result::Result<CommandAnswer, String> {
    let request = ForwardRequest::Change {
        shards: shards.to_vec(),
        command: command.to_string(),
        team: team.cloned(),
    };
    forward(state, address, &request).await.map_err(|err| {
        let names = format_shards(shards);
        let run = err.kind().response().run.as_str();
        format!("{names} (owner at {address}; {run}: {err})")
    })
}

/// The numbers of jobs and unfinished tasks that a change affects.
#[derive(Clone, Copy, Debug, Default)]
struct Affected {
    jobs: u64,
    tasks: u64,
}

impl Affected {
    /// Adds the numbers in another instance's answer.
    fn add(&mut self, answer: &CommandAnswer) {
        let number = |cell: &TableCell| match cell {
            TableCell::Number(number) => u64::try_from(*number).unwrap_or(0),
            _ => 0,
        };
        for row in &answer.rows {
            if let [_, jobs, tasks] = row.as_slice() {
                self.jobs += number(jobs);
                self.tasks += number(tasks);
            }
        }
    }

    fn to_answer(self, action: &Action) -> CommandAnswer {
        CommandAnswer {
            columns: COLUMNS.map(str::to_owned).to_vec(),
            rows: vec![vec![
                TableCell::text(participle(action)),
                TableCell::number(self.jobs),
                TableCell::number(self.tasks),
            ]],
            affected_tasks: Some(self.tasks),
            ..CommandAnswer::default()
        }
    }
}

/// Returns the participle of an action for the answer.
fn participle(action: &Action) -> &'static str {
    match action {
        Action::Hold(_) => "held",
        Action::Release(_) => "released",
        _ => "cancelled",
    }
}

/// Returns the journal record that changes a job.
fn to_record(action: &Action, job: JobId) -> Record {
    match action {
        Action::Hold(_) => Record::JobHeld { job, held: true },
        Action::Release(_) => Record::JobHeld { job, held: false },
        _ => Record::JobCancelled { job },
    }
}

/// Changes the matching jobs of these shards, which this instance must own,
/// and returns once that is durable. A dry run only counts them.
pub(super) async fn change_own(
    state: &SharedState,
    command: &Command,
    shards: &[ShardId],
    team: Option<&TeamName>,
) -> Result<CommandAnswer> {
    let Some(change) = command.as_change() else {
        return Err(Error::new(
            ErrorKind::InvalidRequest,
            "the command is not a change",
        ));
    };
    let selector = match &change.action {
        Action::Cancel(selector)
        | Action::Hold(selector)
        | Action::Release(selector) => selector,
        _ => {
            return Err(Error::new(
                ErrorKind::InvalidRequest,
                "the change does not concern jobs",
            ));
        }
    };
    let mut affected = Affected::default();
    let mut confirmations = Vec::new();
    for &shard in shards {
        let view = super::view::read(state, command, &[shard]).await;
        let jobs = matching_jobs(selector, &view, team);
        let mut state = state.borrow_mut();
        let owned = state.acting_shard(shard)?;
        for job in jobs {
            let Some(view) = owned.scheduler.get_job(job) else { continue };
            if view.state.is_final() {
                continue;
            }
            affected.jobs += 1;
            affected.tasks += u64::from(view.tasks.saturating_sub(view.done));
            if change.dry_run {
                continue;
            }
            let (reply, confirmed) = oneshot::channel();
            let record = to_record(&change.action, job);
            owned.append(record, OnDurable::Confirm(reply));
            confirmations.push(confirmed);
        }
    }
    for confirmed in confirmations {
        confirmed.await.unwrap_or_else(|_| {
            Err(Error::new(
                ErrorKind::StoreUnknown,
                "this instance lost the shard before the write ended",
            ))
        })?;
    }
    Ok(affected.to_answer(&change.action))
}

impl super::super::ControlState {
    /// Refuses a change that names another revision than the one in force.
    fn check_revision(&self, change: &Change) -> Result<()> {
        let context = PlanContext {
            config: &self.config,
            machines: &Default::default(),
            wall_now: self.parts.wall_clock.now(),
            draw: &Default::default(),
        };
        plan(change, context).map(|_| ())
    }
}
