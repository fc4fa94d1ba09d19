use std::{collections::BTreeMap, sync::Arc};

use crate::{
    DataCentre, EndpointId, Epoch, ErrorKind, InstanceId, KeyId, Revision,
    ServiceName, ShardId, TeamName, TimeMs,
    config::CellConfig,
    scheduler::{
        Explanation, JobView, QueueView, TaskView, TeamView, WorkerView,
    },
};

/// The data of one instance on which queries are evaluated.
///
/// The daemon fills in the parts that a command needs and leaves the others
/// empty.
#[derive(Clone, Debug, Default)]
pub struct CellView {
    /// The current time, on the clock of all times in the view except wall
    /// times.
    pub now: TimeMs,
    /// The current time on the wall clock, for the expiry of keys.
    pub wall_now: TimeMs,
    /// The configuration in force.
    pub config: Arc<CellConfig>,
    /// The jobs of the instance's shards.
    pub jobs: Vec<JobView>,
    /// The tasks of the instance's shards.
    pub tasks: Vec<TaskView>,
    /// The workers of the instance's shards.
    pub workers: Vec<WorkerView>,
    /// What each team uses in the instance's shards.
    pub teams: Vec<TeamView>,
    /// What each queue holds in the instance's shards.
    pub queues: Vec<QueueView>,
    /// The endpoints of all services.
    pub endpoints: Vec<EndpointView>,
    /// The instance's shards.
    pub shards: Vec<ShardView>,
    /// All known instances.
    pub instances: Vec<InstanceView>,
    /// The most recent refusals of the instance.
    pub refusals: Vec<RefusalView>,
    /// The most recent changes that operators made.
    pub changes: Vec<ChangeRecord>,
    /// The settings of the process, by key.
    pub settings: BTreeMap<String, String>,
    /// The scheduler's explanation of the subject of a `why` query, where it
    /// has one.
    pub explanation: Option<Explanation>,
}

/// The state of a service.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ServiceView {
    /// The service.
    pub service: ServiceName,
    /// The number of its endpoints that accept requests.
    pub endpoints: u32,
    /// The number of its endpoints that are leaving.
    pub leaving_endpoints: u32,
}

/// The state of an endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct EndpointView {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service that it serves.
    pub service: ServiceName,
    /// The data centre that it is in.
    pub data_centre: DataCentre,
    /// Its state: `ready`, `leaving`, `suspected` or `drained`.
    pub state: String,
    /// The number of requests that it can serve at once.
    pub slots: u32,
}

/// The state of a shard.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ShardView {
    /// The shard.
    pub shard: ShardId,
    /// The data centre that its workers are in.
    pub data_centre: DataCentre,
    /// The instance that owns it; `None` while it has no owner.
    pub owner: Option<InstanceId>,
    /// Its epoch, which rises with each change of its owner.
    pub epoch: Epoch,
    /// The number of its workers.
    pub workers: u32,
    /// The number of its waiting jobs.
    pub waiting_jobs: u32,
    /// The number of its running tasks.
    pub running_tasks: u32,
}

/// The state of an instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct InstanceView {
    /// The instance.
    pub instance: InstanceId,
    /// The data centre that it is in.
    pub data_centre: DataCentre,
    /// Its state: `live`, `leaving`, `suspected` or `drained`.
    pub state: String,
    /// The address of its HTTP interface.
    pub address: String,
    /// The configuration revision that it last reported, where it has.
    pub revision: Option<Revision>,
}

/// A refused request.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RefusalView {
    /// The id of the refusal, which the caller received.
    pub refusal: String,
    /// The instance that refused.
    pub instance: InstanceId,
    /// When it was refused, on the clock of the view.
    pub at: TimeMs,
    /// The kind of the error.
    pub kind: ErrorKind,
    /// The error message.
    pub message: String,
    /// The key that came with the request, where there was one.
    pub key: Option<KeyId>,
    /// The team of that key, where it has one.
    pub team: Option<TeamName>,
    /// A short description of the request.
    pub asked: String,
}

/// A change that an operator made.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ChangeRecord {
    /// The revision of the configuration after the change. A change that isn't
    /// to the configuration leaves it as it was.
    pub revision: Revision,
    /// When it was made, on the wall clock.
    pub at: TimeMs,
    /// The key that the command came with.
    pub key: KeyId,
    /// The command.
    pub command: String,
    /// A short description of the state before the change.
    pub before: String,
    /// A short description of the state after the change.
    pub after: String,
}
