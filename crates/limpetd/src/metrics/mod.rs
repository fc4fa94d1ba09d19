//! Counters of the daemon: sent by UDP, and readable at `/v1/metrics`.

mod counter;
mod registry;
mod reporter;

pub use self::{
    counter::Counter, registry::Metrics, reporter::spawn_reporter,
};
