//! Claims served from one table in memory, with faults.

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

/// What is wrong with the way to the table.
#[derive(Clone, Default)]
pub struct TableFaults {
    /// Nothing gets through.
    pub down: Arc<AtomicBool>,
    /// Every so many commits the answer is lost after it took effect.
    pub lost_every: Arc<AtomicU64>,
}

pub fn platform() -> EmbeddedPlatform {
    embedded::platform(&EmbeddedOptions::new(), Clock::monotonic())
}

/// Serves claims for one instance from a thread of their own.
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
