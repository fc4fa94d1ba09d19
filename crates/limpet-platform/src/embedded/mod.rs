//! The platform in memory: state machines without I/O, and the adapter that
//! puts them behind the ports.
//!
//! Each machine is a plain struct whose methods take the time, so that a
//! test steps it on a virtual clock and `limpet-standin` serves the very
//! same one over HTTP.

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
