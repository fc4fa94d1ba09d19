//! Reads the state of this instance for a command.

use std::{collections::BTreeMap, sync::Arc};

use limpet_core::{
    JobState, ShardId,
    command::{
        CellView, Command, EndpointView, InstanceView, ShardView, Subject,
        Topic,
    },
    scheduler::{JobView, Scheduler, TaskView},
};
use limpet_platform::MemberState;

use super::super::{ControlState, SharedState, owned_shard::OwnedShard};

/// How many jobs are read at a time. Other tasks of the control thread run
/// between two slices.
const SLICE_JOBS: usize = 256;

/// Returns this instance's part of what a command asks about, for these
/// shards.
pub(super) async fn read(
    state: &SharedState,
    command: &Command,
    shards: &[ShardId],
) -> CellView {
    let mut view = state.borrow().empty_view();
    let topic = match command {
        Command::Why(subject) => {
            state.borrow().fill_subject(&mut view, subject, shards);
            return view;
        }
        Command::Show(show) => show.topic,
        Command::Change(_) => Topic::Jobs,
    };
    match topic {
        Topic::Jobs => view.jobs = read_jobs(state, shards).await,
        Topic::Tasks => view.tasks = read_tasks(state, shards).await,
        _ => state.borrow().fill_topic(&mut view, topic, shards),
    }
    view
}

/// Reads all jobs of the shards in slices.
async fn read_jobs(state: &SharedState, shards: &[ShardId]) -> Vec<JobView> {
    let mut jobs: Vec<JobView> = Vec::new();
    for shard in shards {
        let mut last = None;
        loop {
            let slice = state.borrow().slice(*shard, |scheduler| {
                scheduler.jobs_after(last, SLICE_JOBS)
            });
            let Some(next) = slice.last().map(|job| job.job) else { break };
            last = Some(next);
            jobs.extend(slice);
            tokio::task::yield_now().await;
        }
    }
    jobs
}

/// Reads all tasks of the shards in slices.
async fn read_tasks(state: &SharedState, shards: &[ShardId]) -> Vec<TaskView> {
    let mut tasks: Vec<TaskView> = Vec::new();
    for shard in shards {
        let mut last = None;
        loop {
            let slice = state.borrow().slice(*shard, |scheduler| {
                scheduler.tasks_after(last, SLICE_JOBS)
            });
            let Some(next) = slice.last().map(|task| task.task.job) else {
                break;
            };
            last = Some(next);
            tasks.extend(slice);
            tokio::task::yield_now().await;
        }
    }
    tasks
}

impl ControlState {
    /// Returns a view with only the time and the configuration.
    pub(super) fn empty_view(&self) -> CellView {
        let now = self.parts.wall_clock.now();
        CellView {
            // Schedulers use wall-clock times too.
            now,
            wall_now: now,
            config: Arc::clone(&self.config),
            ..CellView::default()
        }
    }

    /// Reads a slice from the scheduler of a shard. It is empty if the shard
    /// isn't owned any more.
    fn slice<T>(
        &self,
        shard: ShardId,
        read: impl FnOnce(&Scheduler) -> Vec<T>,
    ) -> Vec<T> {
        let owned = self.shards.get(&shard);
        owned.map(|owned| read(&owned.scheduler)).unwrap_or_default()
    }

    /// Returns those of the shards that are still owned.
    fn owned<'a>(
        &'a self,
        shards: &'a [ShardId],
    ) -> impl Iterator<Item = &'a OwnedShard> {
        shards.iter().filter_map(|shard| self.shards.get(shard))
    }

    /// Adds what a `show` command of this topic lists.
    fn fill_topic(
        &self,
        view: &mut CellView,
        topic: Topic,
        shards: &[ShardId],
    ) {
        let schedulers = || self.owned(shards).map(|owned| &owned.scheduler);
        match topic {
            Topic::Workers => {
                view.workers =
                    schedulers().flat_map(|s| s.workers()).collect();
            }
            Topic::Teams => {
                view.teams = schedulers().flat_map(|s| s.teams()).collect();
            }
            Topic::Queues => {
                view.queues = schedulers().flat_map(|s| s.queues()).collect();
            }
            Topic::Shards => view.shards = self.shard_views(shards),
            Topic::Instances => view.instances = self.instance_views(),
            Topic::Endpoints | Topic::Services => {
                view.endpoints = self.endpoint_views();
            }
            Topic::Config => view.settings = self.setting_texts(),
            Topic::Refusals => {
                view.refusals = self.parts.refusals.recent();
            }
            // Jobs and tasks are read in slices, keys are part of the
            // configuration, and changes are in the table.
            Topic::Jobs | Topic::Tasks | Topic::Keys | Topic::Changes => {}
        }
    }

    /// Adds what a `why` command needs to explain its subject.
    fn fill_subject(
        &self,
        view: &mut CellView,
        subject: &Subject,
        shards: &[ShardId],
    ) {
        let mut schedulers = self.owned(shards).map(|owned| &owned.scheduler);
        match subject {
            Subject::Job(job) => {
                let owner = schedulers.find(|s| s.get_job(*job).is_some());
                let Some(owner) = owner else { return };
                view.jobs.extend(owner.get_job(*job));
                view.explanation = owner.explain_job(*job);
            }
            Subject::Task(task) => {
                let owner = schedulers.find(|s| s.get_job(task.job).is_some());
                let Some(owner) = owner else { return };
                view.jobs.extend(owner.get_job(task.job));
                view.tasks.extend(owner.get_task(*task));
                view.explanation = owner.explain_task(*task);
            }
            Subject::Worker(worker) => {
                view.explanation =
                    schedulers.find_map(|s| s.explain_worker(worker));
                self.fill_topic(view, Topic::Workers, shards);
            }
            Subject::Team(_) => self.fill_topic(view, Topic::Teams, shards),
            Subject::Refusal(_) => {
                self.fill_topic(view, Topic::Refusals, shards);
            }
        }
    }

    fn shard_views(&self, shards: &[ShardId]) -> Vec<ShardView> {
        let wanted = self
            .cell_shards()
            .into_iter()
            .filter(|cell_shard| shards.contains(&cell_shard.shard));
        wanted
            .filter_map(|cell_shard| {
                let owned = self.shards.get(&cell_shard.shard)?;
                let jobs = owned.scheduler.jobs();
                let waiting =
                    jobs.iter().filter(|job| job.state == JobState::Waiting);
                Some(ShardView {
                    shard: cell_shard.shard,
                    data_centre: cell_shard.data_centre,
                    owner: Some(self.instance().clone()),
                    epoch: owned.epoch,
                    workers: owned.answering_workers() as u32,
                    waiting_jobs: waiting.count() as u32,
                    running_tasks: jobs.iter().map(|job| job.running).sum(),
                })
            })
            .collect()
    }

    fn instance_views(&self) -> Vec<InstanceView> {
        let own = self.instance();
        self.listing
            .instances
            .iter()
            .map(|entry| InstanceView {
                instance: entry.instance.clone(),
                data_centre: entry.data_centre.clone(),
                state: format_state(entry.state).to_owned(),
                address: entry.link_address.clone(),
                revision: (entry.instance == *own)
                    .then_some(self.config.revision),
            })
            .collect()
    }

    fn endpoint_views(&self) -> Vec<EndpointView> {
        self.listing
            .endpoints
            .iter()
            .map(|entry| EndpointView {
                endpoint: entry.endpoint.clone(),
                service: entry.service.clone(),
                data_centre: entry.data_centre.clone(),
                state: match entry.state {
                    MemberState::Live => "ready".to_owned(),
                    MemberState::Leaving => "leaving".to_owned(),
                },
                slots: entry.slots,
            })
            .collect()
    }

    /// Returns the settings of this process by dotted key. The section `cell`
    /// is left out: it has the operator's key and the first configuration,
    /// which the configuration in force has replaced.
    fn setting_texts(&self) -> BTreeMap<String, String> {
        let settings = &self.parts.settings;
        let mut texts = BTreeMap::new();
        if let Ok(table) = toml::from_str(&settings.to_toml()) {
            flatten(&table, "", &mut texts);
        }
        texts.retain(|key, _| !key.starts_with("cell."));
        texts
    }
}

/// Adds the values of a table and of its sub-tables by dotted key.
fn flatten(
    table: &toml::Table,
    prefix: &str,
    texts: &mut BTreeMap<String, String>,
) {
    for (key, value) in table {
        let key = format!("{prefix}{key}");
        match value {
            toml::Value::Table(inner) => {
                flatten(inner, &format!("{key}."), texts);
            }
            toml::Value::String(text) => {
                texts.insert(key, text.clone());
            }
            other => {
                texts.insert(key, other.to_string());
            }
        }
    }
}

fn format_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Live => "live",
        MemberState::Leaving => "leaving",
    }
}
