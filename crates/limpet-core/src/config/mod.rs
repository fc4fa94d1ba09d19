//! The data types of the cell's configuration, which operators change.
//!
//! [`crate::configuration`] decides how a change is stored and distributed.

mod cell;
mod change;
mod key;
mod queue;
mod service;
mod team;

pub use self::{
    cell::CellConfig,
    change::ConfigChange,
    key::{KeyRecord, KeySecret, Role},
    queue::{QueueConfig, QueuePolicy},
    service::ServiceConfig,
    team::TeamConfig,
};
