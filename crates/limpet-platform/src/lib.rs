//! Ports to the platform under limpetspur, with their adapters.
//!
//! A port is a struct of closures, so that an adapter is a function which
//! fills one in, and a test replaces a single closure. What the ports assume
//! of any platform stands in `docs/DESIGN.md`; another platform changes the
//! adapters only.

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
