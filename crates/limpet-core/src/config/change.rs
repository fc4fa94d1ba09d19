use super::{KeyRecord, QueueConfig, ServiceConfig, TeamConfig};
use crate::{
    EndpointId, InstanceId, KeyId, QueueName, ServiceName, TeamName, WorkerId,
};

/// One change to the cell's configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// Create a team or change it.
    SetTeam {
        /// The team.
        team: TeamName,
        /// What is decided for it.
        config: TeamConfig,
    },
    /// Create a queue or change it.
    SetQueue {
        /// The queue.
        queue: QueueName,
        /// What is decided for it.
        config: QueueConfig,
    },
    /// Create a service or change it.
    SetService {
        /// The service.
        service: ServiceName,
        /// What is decided for it.
        config: ServiceConfig,
    },
    /// Grant a key.
    GrantKey {
        /// The public part of the key.
        key: KeyId,
        /// What is kept of it.
        record: KeyRecord,
    },
    /// Withdraw a key for good.
    WithdrawKey {
        /// The public part of the key.
        key: KeyId,
    },
    /// Let a worker take no new tasks, or take them again.
    DrainWorker {
        /// The worker.
        worker: WorkerId,
        /// Whether it is drained.
        drained: bool,
    },
    /// Let an endpoint take no new requests, or take them again.
    DrainEndpoint {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it is drained.
        drained: bool,
    },
    /// Let an instance hand over what it owns, or own again.
    DrainInstance {
        /// The instance.
        instance: InstanceId,
        /// Whether it is drained.
        drained: bool,
    },
}
