//! Changes to the configuration.

use limpet_core::{
    ErrorKind, Result, Revision, TimeMs,
    command::{
        Change, ChangeRecord, Command, KeyDraw, Machines, Plan, PlanContext,
        affected_tasks, impact_query, plan,
    },
};
use limpet_wire::CommandAnswer;

use super::{
    super::{ControlState, SharedState, config_sync, message::Caller},
    query::query_cell,
};

/// How many times a change is planned before it fails because other changes
/// came first.
const PLAN_ATTEMPTS: u32 = 4;

/// Changes the configuration, or returns what a dry run would change.
pub(super) async fn run(
    state: &SharedState,
    caller: &Caller,
    change: &Change,
) -> Result<CommandAnswer> {
    let impact = measure_impact(state, change).await?;
    let mut answer = change_planned(state, caller, change).await?;
    if let Some(impact) = impact {
        answer.affected_tasks = Some(affected_tasks(&impact));
        answer.missing = impact.missing;
    }
    Ok(answer)
}

/// Asks the cell how many tasks a dry run would affect. Returns `None` for a
/// change that isn't a dry run or affects no tasks.
async fn measure_impact(
    state: &SharedState,
    change: &Change,
) -> Result<Option<CommandAnswer>> {
    match impact_query(&change.action) {
        Some(query) if change.dry_run => {
            let command = Command::Show(query);
            query_cell(state, &command, None).await.map(Some)
        }
        _ => Ok(None),
    }
}

/// Plans a change against the configuration in force and commits it.
async fn change_planned(
    state: &SharedState,
    caller: &Caller,
    change: &Change,
) -> Result<CommandAnswer> {
    let mut attempt = 1;
    loop {
        let (plan, revision) = state.borrow().plan_change(change)?;
        let Some(config_change) = plan.change.clone() else {
            return Ok(to_answer(&plan, true, revision));
        };
        if change.dry_run {
            return Ok(to_answer(&plan, false, revision));
        }
        let record = state.borrow().new_change_record(caller, change, &plan);
        let changed = config_sync::change_config(
            state,
            &[config_change],
            Some(revision),
            Some(record),
        )
        .await;
        match changed {
            Ok(revision) => return Ok(to_answer(&plan, true, revision)),
            // Another change came first. Unless the caller asked for a
            // certain revision, plan this one again on the new one.
            Err(err)
                if err.kind() == ErrorKind::Conflict
                    && change.if_revision.is_none()
                    && attempt < PLAN_ATTEMPTS =>
            {
                config_sync::poll(state).await;
                attempt += 1;
            }
            Err(err) => return Err(err),
        }
    }
}

/// Returns the answer to a change: what it did, or would do if not `done`.
fn to_answer(plan: &Plan, done: bool, revision: Revision) -> CommandAnswer {
    CommandAnswer {
        lines: plan.to_lines(done),
        revision: Some(revision.get()),
        ..CommandAnswer::default()
    }
}

/// Returns a random secret and salt, used only if the change grants a key.
fn random_key() -> KeyDraw {
    let secret: [u8; 24] = rand::random();
    let hex: Vec<String> =
        secret.iter().map(|byte| format!("{byte:02x}")).collect();
    KeyDraw { secret: hex.concat(), salt: rand::random() }
}

impl ControlState {
    /// Returns what a change does, and the revision that it applies to.
    fn plan_change(&self, change: &Change) -> Result<(Plan, Revision)> {
        let context = PlanContext {
            config: &self.config,
            machines: &self.machines(),
            wall_now: self.parts.wall_clock.now(),
            draw: &random_key(),
        };
        Ok((plan(change, context)?, self.config.revision))
    }

    /// Returns the names of the listed workers, endpoints and instances.
    fn machines(&self) -> Machines {
        let listing = &self.listing;
        let workers = listing.workers.iter();
        let endpoints = listing.endpoints.iter();
        let instances = listing.instances.iter();
        Machines {
            workers: workers.map(|entry| entry.shape.worker.clone()).collect(),
            endpoints: endpoints.map(|entry| entry.endpoint.clone()).collect(),
            instances: instances.map(|entry| entry.instance.clone()).collect(),
        }
    }

    /// Returns the record of a planned change, for `show changes`.
    fn new_change_record(
        &self,
        caller: &Caller,
        change: &Change,
        plan: &Plan,
    ) -> ChangeRecord {
        let at: TimeMs = self.parts.wall_clock.now();
        ChangeRecord {
            revision: self.config.revision.next(),
            at,
            key: caller.key.clone(),
            command: change.to_string(),
            before: plan.before.clone(),
            after: plan.after.clone(),
        }
    }
}
