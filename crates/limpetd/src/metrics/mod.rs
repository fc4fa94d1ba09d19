//! The daemon's counters, which are sent by UDP and shown at `/v1/metrics`.

mod counter;
mod registry;
mod reporter;

pub use self::{
    counter::Counter, registry::Metrics, reporter::spawn_reporter,
};
