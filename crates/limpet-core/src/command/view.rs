use std::{collections::BTreeMap, sync::Arc};

use crate::{
    DataCentre, EndpointId, Epoch, ErrorKind, InstanceId, KeyId, Revision,
    ServiceName, ShardId, TeamName, TimeMs,
    config::CellConfig,
    scheduler::{
        Explanation, JobView, QueueView, TaskView, TeamView, WorkerView,
    },
};

/// What one instance knows and a command may ask for.
///
/// The daemon fills in what the command at hand needs and leaves the rest
/// empty.
#[derive(Clone, Debug, Default)]
pub struct CellView {
    /// The time on the clock that the views' times are of.
    pub now: TimeMs,
    /// The time on the wall clock, for the expiry of keys.
    pub wall_now: TimeMs,
    /// The configuration in force.
    pub config: Arc<CellConfig>,
    /// The jobs of the instance's shards.
    pub jobs: Vec<JobView>,
    /// The tasks of the instance's shards.
    pub tasks: Vec<TaskView>,
    /// The workers of the instance's shards.
    pub workers: Vec<WorkerView>,
    /// The teams' standing in the instance's shards.
    pub teams: Vec<TeamView>,
    /// The queues' standing in the instance's shards.
    pub queues: Vec<QueueView>,
    /// The endpoints of all services.
    pub endpoints: Vec<EndpointView>,
    /// The instance's shards.
    pub shards: Vec<ShardView>,
    /// The instances that are known.
    pub instances: Vec<InstanceView>,
    /// What the instance refused lately.
    pub refusals: Vec<RefusalView>,
    /// What operators changed lately.
    pub changes: Vec<ChangeRecord>,
    /// The settings of the process, by key.
    pub settings: BTreeMap<String, String>,
    /// The scheduler's explanation of the job or task that is asked about.
    pub explanation: Option<Explanation>,
}

/// A service as an operator sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ServiceView {
    /// The service.
    pub service: ServiceName,
    /// Its endpoints that take requests.
    pub endpoints: u32,
    /// Its endpoints that are leaving.
    pub leaving_endpoints: u32,
}

/// An endpoint as an operator sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct EndpointView {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service that it serves.
    pub service: ServiceName,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// Its condition: `ready`, `leaving`, `suspected` or `drained`.
    pub state: String,
    /// The requests that it can work on at once.
    pub slots: u32,
}

/// A shard as an operator sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ShardView {
    /// The shard.
    pub shard: ShardId,
    /// The data centre that its workers stand in.
    pub data_centre: DataCentre,
    /// The instance that owns it, where one does.
    pub owner: Option<InstanceId>,
    /// The count of its ownerships.
    pub epoch: Epoch,
    /// Its workers.
    pub workers: u32,
    /// Its jobs that wait.
    pub waiting_jobs: u32,
    /// Its tasks that run.
    pub running_tasks: u32,
}

/// An instance as an operator sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct InstanceView {
    /// The instance.
    pub instance: InstanceId,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// Its condition: `live`, `leaving`, `suspected` or `drained`.
    pub state: String,
    /// The address of its HTTP interface.
    pub address: String,
    /// The revision that it last told, where it did.
    pub revision: Option<Revision>,
}

/// Something that was refused.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RefusalView {
    /// Its id, which the refusal carried.
    pub refusal: String,
    /// The instance that refused.
    pub instance: InstanceId,
    /// When, on the clock of the view.
    pub at: TimeMs,
    /// The kind of the closed list.
    pub kind: ErrorKind,
    /// Why, in a sentence.
    pub message: String,
    /// The key that came with the request, where one did.
    pub key: Option<KeyId>,
    /// The team of that key, where it has one.
    pub team: Option<TeamName>,
    /// What was asked for, in short.
    pub asked: String,
}

/// One change that an operator made.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ChangeRecord {
    /// The revision that it led to; the unchanged one where it was not
    /// about the configuration.
    pub revision: Revision,
    /// When, on the wall clock.
    pub at: TimeMs,
    /// The key that it came with.
    pub key: KeyId,
    /// The command.
    pub command: String,
    /// What was before, in short.
    pub before: String,
    /// What is after, in short.
    pub after: String,
}
