//! A platform in memory: state machines without I/O, and the adapter that
//! provides them as ports.
//!
//! Each state machine is a plain struct whose methods take the current time.
//! A test can drive it on a manual clock, and `limpet-standin` serves the same
//! state machines over HTTP.

mod directory;
mod lagged;
mod object;
mod options;
mod platform;
mod seen;
mod table;
mod task;
mod worker;
mod workers;

pub use self::{
    directory::MemoryDirectory,
    object::MemoryObjects,
    options::EmbeddedOptions,
    platform::{EmbeddedPlatform, platform},
    table::MemoryTable,
    worker::MemoryWorker,
    workers::{MemoryWorkers, TaskRecord},
};
