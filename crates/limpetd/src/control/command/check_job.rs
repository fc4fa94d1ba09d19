//! The dry run of a submission.

use limpet_core::{Error, ErrorKind, JobSpec, Result};
use limpet_wire::CommandAnswer;

use super::super::{ControlState, SharedState};

/// Returns what submitting a job would do, or the refusal that it would get.
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
    /// Refuses a job whose queue doesn't exist.
    fn check_queue(&self, spec: &JobSpec) -> Result<()> {
        if self.config.queues.contains_key(&spec.queue) {
            return Ok(());
        }
        Err(Error::new(
            ErrorKind::UnknownQueue,
            format!("no queue `{}`", spec.queue),
        ))
    }

    /// Asks the schedulers of the owned shards whether they would admit a job.
    ///
    /// Returns `true` if one would, and `false` if that can't be told since
    /// another instance owns an eligible shard.
    ///
    /// # Errors
    ///
    /// The refusal of the last shard if this instance owns all eligible
    /// shards and each of them refuses the job.
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
                // Its owner may admit the job.
                None => return Ok(false),
            }
        }
        refusal.map_or(Ok(false), Err)
    }
}
