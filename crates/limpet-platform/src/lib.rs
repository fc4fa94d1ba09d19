//! Ports to the platform that limpetspur runs on, with two adapters.
//!
//! A port is a struct of closures: an adapter is a function that returns
//! filled-in structs, and a test can replace a single closure. [`embedded`]
//! keeps a whole platform in memory, [`http`] reaches one over HTTP. Support
//! for another platform needs another adapter and no change elsewhere.
//! `docs/DESIGN.md` lists what the ports require of a platform.

mod clock;
pub mod embedded;
pub mod http;
mod port;

pub use crate::{
    clock::Clock,
    port::{
        CommitAnswer, Condition, DirectoryPort, EndedTask, EndpointEntry,
        InstanceEntry, Listing, MemberState, ObjectPort, Platform, PortError,
        PortFuture, Row, RunningTask, TablePort, Transaction, WorkerCommand,
        WorkerEntry, WorkerPort, WorkerReport, WorkerRequest, Write,
    },
};
