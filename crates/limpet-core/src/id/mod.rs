//! Identifiers: validated names, and numbers with a type per kind.

mod name;
mod number;

pub use self::{
    name::{
        DataCentre, EndpointId, InstanceId, KeyId, QueueName, Rack,
        ServiceName, TeamName, WorkerId,
    },
    number::{Epoch, JobId, Revision, ShardId, TaskId},
};
