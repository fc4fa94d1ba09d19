//! Claims in an in-memory table with injected faults.

use std::{
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
};

use limpet_core::{InstanceId, ownership::Holder};
use limpet_platform::{
    Clock, PortError, TablePort,
    embedded::{self, EmbeddedOptions, EmbeddedPlatform},
};
use limpetd::routing::{ClaimPort, claim_channel};

/// The faults of the connection to the table.
#[derive(Clone, Default)]
pub struct TableFaults {
    /// Every call fails.
    pub down: Arc<AtomicBool>,
    /// Every n-th commit takes effect but its answer is lost; never if 0.
    pub lost_every: Arc<AtomicU64>,
}

/// Returns the platform that has the table.
pub fn platform() -> EmbeddedPlatform {
    embedded::platform(&EmbeddedOptions::new(), Clock::monotonic())
}

/// Starts a thread that serves claims for an instance, and returns their port.
pub fn serve_claims(
    platform: &EmbeddedPlatform,
    instance: &str,
    faults: &TableFaults,
) -> ClaimPort {
    let (port, server) = claim_channel();
    let platform = platform.clone();
    let faults = faults.clone();
    let holder = Holder {
        instance: InstanceId::new(instance).expect("a name"),
        incarnation: 1,
        link_address: "127.0.0.1:1".to_owned(),
    };
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let table = faulty(platform.ports().table, faults);
            server.serve(table, holder, Clock::wall()).await;
        });
    });
    port
}

/// Returns a table that injects the faults.
fn faulty(table: TablePort, faults: TableFaults) -> TablePort {
    let down = || PortError::Unavailable("down on purpose".to_owned());
    let (commit, read) = (Rc::clone(&table.commit), Rc::clone(&table.read));
    let (commit_faults, commits) = (faults.clone(), AtomicU64::new(0));
    TablePort {
        commit: Rc::new(move |transaction| {
            if commit_faults.down.load(Ordering::SeqCst) {
                return Box::pin(async move { Err(down()) });
            }
            let number = commits.fetch_add(1, Ordering::SeqCst) + 1;
            let every = commit_faults.lost_every.load(Ordering::SeqCst);
            let committed = commit(transaction);
            Box::pin(async move {
                let answer = committed.await;
                if every > 0 && number.is_multiple_of(every) {
                    return Err(PortError::Unknown("lost".to_owned()));
                }
                answer
            })
        }),
        read: Rc::new(move |key| {
            if faults.down.load(Ordering::SeqCst) {
                return Box::pin(async move { Err(down()) });
            }
            read(key)
        }),
        scan: table.scan,
    }
}
