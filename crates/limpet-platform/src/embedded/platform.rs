use std::{
    future,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use futures::FutureExt;

use super::{
    directory::MemoryDirectory, object::MemoryObjects,
    options::EmbeddedOptions, table::MemoryTable, workers::MemoryWorkers,
};
use crate::{
    clock::Clock,
    port::{
        DirectoryPort, EndpointEntry, MemberState, ObjectPort, Platform,
        PortError, PortFuture, TablePort, WorkerEntry, WorkerPort,
    },
};

/// A platform in memory that the threads of a process share.
///
/// A clone is another handle to the same platform. Ports can't be sent to
/// another thread, so each thread calls [`Self::ports`] for its own.
#[derive(Clone)]
pub struct EmbeddedPlatform {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    table: Mutex<MemoryTable>,
    objects: Mutex<MemoryObjects>,
    directory: Mutex<MemoryDirectory>,
    workers: Mutex<MemoryWorkers>,
}

/// Returns a new platform in memory, which reads the time from `clock`. Its
/// directory lists the workers that `options` describe.
///
/// # Examples
///
/// ```
/// use limpet_platform::{Clock, embedded};
///
/// let options = embedded::EmbeddedOptions::new().workers(2);
/// let platform = embedded::platform(&options, Clock::monotonic());
/// let ports = platform.ports();
/// let listing = futures::executor::block_on((ports.directory.list)());
/// assert_eq!(listing.unwrap().workers.len(), 2);
/// ```
pub fn platform(options: &EmbeddedOptions, clock: Clock) -> EmbeddedPlatform {
    let (lag_ms, expiry_ms) = options.directory_times_ms();
    let mut directory = MemoryDirectory::new(lag_ms, expiry_ms);
    let workers = MemoryWorkers::new(options);
    for worker in workers.iter() {
        let entry = WorkerEntry {
            shape: worker.shape().clone(),
            address: options.address_of(&worker.shape().worker),
            state: MemberState::Live,
        };
        directory.set_worker(entry, clock.now());
    }
    EmbeddedPlatform {
        shared: Arc::new(Shared {
            clock,
            table: Mutex::default(),
            objects: Mutex::default(),
            directory: Mutex::new(directory),
            workers: Mutex::new(workers),
        }),
    }
}

impl EmbeddedPlatform {
    /// Returns the clock of the platform.
    pub fn clock(&self) -> &Clock {
        &self.shared.clock
    }

    /// Locks and returns the table.
    pub fn table(&self) -> MutexGuard<'_, MemoryTable> {
        lock(&self.shared.table)
    }

    /// Locks and returns the object store.
    pub fn objects(&self) -> MutexGuard<'_, MemoryObjects> {
        lock(&self.shared.objects)
    }

    /// Locks and returns the directory of members.
    pub fn directory(&self) -> MutexGuard<'_, MemoryDirectory> {
        lock(&self.shared.directory)
    }

    /// Locks and returns the workers.
    pub fn workers(&self) -> MutexGuard<'_, MemoryWorkers> {
        lock(&self.shared.workers)
    }

    /// Adds endpoints to the directory, or replaces their entries.
    pub fn set_endpoints(&self, entries: Vec<EndpointEntry>) {
        let now = self.clock().now();
        let mut directory = self.directory();
        for entry in entries {
            directory.set_endpoint(entry, now);
        }
    }

    /// Returns all ports to the platform, for the calling thread.
    pub fn ports(&self) -> Platform {
        Platform {
            table: self.table_port(),
            objects: self.object_port(),
            directory: self.directory_port(),
            workers: self.worker_port(),
        }
    }

    fn table_port(&self) -> TablePort {
        let (commit, read, scan) = (self.clone(), self.clone(), self.clone());
        TablePort {
            commit: Rc::new(move |transaction| {
                ready(commit.table().commit(&transaction))
            }),
            read: Rc::new(move |key| ready(read.table().read(&key))),
            scan: Rc::new(move |prefix, after, limit| {
                ready(scan.table().scan(&prefix, &after, limit))
            }),
        }
    }

    fn object_port(&self) -> ObjectPort {
        let (put, get) = (self.clone(), self.clone());
        let (list, delete) = (self.clone(), self.clone());
        ObjectPort {
            put: Rc::new(move |name, content| {
                put.objects().put(&name, content);
                ready(())
            }),
            get: Rc::new(move |name| ready(get.objects().get(&name))),
            list: Rc::new(move |prefix| ready(list.objects().list(&prefix))),
            delete: Rc::new(move |name| {
                delete.objects().delete(&name);
                ready(())
            }),
        }
    }

    fn directory_port(&self) -> DirectoryPort {
        let (list, register) = (self.clone(), self.clone());
        DirectoryPort {
            list: Rc::new(move || {
                ready(list.directory().list(list.clock().now()))
            }),
            register: Rc::new(move |entry| {
                let now = register.clock().now();
                register.directory().register(entry, now);
                ready(())
            }),
        }
    }

    fn worker_port(&self) -> WorkerPort {
        let workers = self.clone();
        WorkerPort {
            exchange: Rc::new(move |address, request| {
                let now = workers.clock().now();
                let report =
                    workers.workers().exchange(&address, &request, now);
                let missing = || {
                    PortError::Unavailable(format!("no worker at {address}"))
                };
                future::ready(report.ok_or_else(missing)).boxed_local()
            }),
        }
    }
}

/// Wraps the result of a call to a state machine, which never fails, in the
/// future that a port returns.
fn ready<T: 'static>(value: T) -> PortFuture<T> {
    future::ready(Ok(value)).boxed_local()
}

/// Locks a state machine even if its mutex is poisoned: each method leaves the
/// state machine consistent, so a panic of another holder doesn't matter.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
