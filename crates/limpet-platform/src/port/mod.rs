//! The ports and the messages that pass through them.

mod directory;
mod error;
mod object;
mod table;
mod worker;

use futures::future::LocalBoxFuture;

pub use self::{
    directory::{
        DirectoryPort, EndpointEntry, InstanceEntry, Listing, MemberState,
        WorkerEntry,
    },
    error::PortError,
    object::ObjectPort,
    table::{CommitAnswer, Condition, Row, TablePort, Transaction, Write},
    worker::{
        EndedTask, RunningTask, WorkerCommand, WorkerPort, WorkerReport,
        WorkerRequest,
    },
};

/// The future that every closure of a port returns. It isn't `Send`, so it is
/// polled on the calling thread.
pub type PortFuture<T> = LocalBoxFuture<'static, Result<T, PortError>>;

/// All ports to one platform, for use on one thread.
#[derive(Clone)]
pub struct Platform {
    /// The transactional table service.
    pub table: TablePort,
    /// The object store.
    pub objects: ObjectPort,
    /// The directory of live and leaving members.
    pub directory: DirectoryPort,
    /// The workers.
    pub workers: WorkerPort,
}
