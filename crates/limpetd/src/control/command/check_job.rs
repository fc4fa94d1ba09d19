use limpet_core::{Error, ErrorKind, JobSpec, Result};
use limpet_wire::CommandAnswer;

use super::super::{ControlState, SharedState};

/// Tells whether a job would be accepted, for a dry run.
pub(in super::super) fn check_job(
    state: &SharedState,
    spec: &JobSpec,
) -> Result<CommandAnswer> {
    let state = state.borrow();
    spec.validate()?;
    state.check_queue(spec)?;
    let fits = state.check_shards(spec)?;
    let tasks = spec.task_count();
    let mut lines = vec![
        format!(
            "would submit job {} of team {} to queue {}",
            spec.name, spec.team, spec.queue
        ),
        format!("{tasks} tasks ask for {} together", spec.total_size()),
    ];
    if !fits {
        lines.push(
            "this instance owns no shard that can tell whether it fits"
                .to_owned(),
        );
    }
    lines.push("a dry run: nothing was changed".to_owned());
    Ok(CommandAnswer {
        lines,
        affected_tasks: Some(tasks.into()),
        revision: Some(state.config.revision.get()),
        ..CommandAnswer::default()
    })
}

impl ControlState {
    fn check_queue(&self, spec: &JobSpec) -> Result<()> {
        if self.config.queues.contains_key(&spec.queue) {
            return Ok(());
        }
        Err(Error::new(
            ErrorKind::UnknownQueue,
            format!("no queue `{}`", spec.queue),
        ))
    }

    /// Asks the owned shards that the job may go to. Returns whether one of
    /// them takes it; `false` where none is owned here.
    fn check_shards(&self, spec: &JobSpec) -> Result<bool> {
        let wanted = spec.data_centre.as_ref();
        let mut refusal = None;
        for cell_shard in self.cell_shards() {
            if wanted.is_some_and(|centre| *centre != cell_shard.data_centre) {
                continue;
            }
            let owned = self.shards.get(&cell_shard.shard);
            match owned.map(|owned| owned.scheduler.admit(spec)) {
                Some(Ok(_)) => return Ok(true),
                Some(Err(err)) => refusal = Some(err),
                // Another shard, of another owner, may take it.
                None => return Ok(false),
            }
        }
        refusal.map_or(Ok(false), Err)
    }
}
