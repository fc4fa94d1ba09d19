//! Names and numbers of the things that the system speaks about.

mod name;
mod number;

pub use self::{
    name::{
        DataCentre, EndpointId, InstanceId, KeyId, QueueName, Rack,
        ServiceName, TeamName, WorkerId,
    },
    number::{Epoch, JobId, Revision, ShardId, TaskId},
};
