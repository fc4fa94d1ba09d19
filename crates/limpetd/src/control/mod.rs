//! The control thread: leases, recovery, placement, allotments, submissions
//! and operators' commands.
//!
//! Everything runs on one single-threaded `actix-rt` system, so the state
//! needs no locks: each loop borrows it between two awaits and never across
//! one. `docs/DESIGN.md` lists the keys of the table and says which write
//! must be durable before which effect.

mod allotment;
mod command;
#[allow(dead_code)]
mod config_sync;
mod directory;
mod effect;
mod exchange;
mod journal;
mod key;
mod lease;
mod message;
mod owned_shard;
mod record_reader;
mod recovery;
mod snapshot;
mod state;
mod submit;
mod worker_link;

use std::{cell::RefCell, rc::Rc};

pub(crate) use self::{
    command::answer_forward, config_sync::adopt_pushed_config,
};
pub use self::{
    message::{Caller, ControlHandle, ControlRequest},
    record_reader::RecordReader,
    state::{ControlParts, ControlState},
};

/// The control state, shared by the loops of the control thread.
pub(crate) type SharedState = Rc<RefCell<ControlState>>;

/// Starts the loops of the control thread on the current `actix-rt` system.
///
/// `requests` brings the messages of the traffic threads.
pub fn spawn_control(
    parts: ControlParts,
    requests: tokio::sync::mpsc::Receiver<ControlRequest>,
) -> Control {
    let state = Rc::new(RefCell::new(ControlState::new(parts)));
    actix_rt::spawn(directory::run(Rc::clone(&state)));
    actix_rt::spawn(config_sync::run(Rc::clone(&state)));
    actix_rt::spawn(lease::observe(Rc::clone(&state)));
    actix_rt::spawn(allotment::run(Rc::clone(&state)));
    actix_rt::spawn(lease::run(Rc::clone(&state)));
    actix_rt::spawn(message::run(Rc::clone(&state), requests));
    Control { state }
}

/// A handle to the control state, for the thread that runs the loops. Clones
/// share the state.
#[derive(Clone)]
pub struct Control {
    state: SharedState,
}

impl Control {
    /// Returns the state, for the server that answers other instances.
    pub(crate) fn state(&self) -> SharedState {
        Rc::clone(&self.state)
    }

    /// Marks this instance as leaving. From now on it refuses new work and
    /// takes over no shards.
    pub fn start_leaving(&self) {
        let mut state = self.state.borrow_mut();
        state.leaving = true;
        state.publish_view();
    }

    /// Releases every owned shard, so that other instances can take them
    /// over without waiting for the leases to expire.
    pub async fn release_shards(&self) {
        lease::release_all(&self.state).await;
    }
}
