//! What operators have decided for the cell, under one revision.

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
