//! The control thread: everything that has to be decided in one place.
//!
//! It runs on one `actix-rt` system, so its state needs no locks: a loop
//! borrows it between two awaits and never across one. `docs/DESIGN.md` has
//! the keys of the table and the order of what is durable before what.

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
mod recovery;
mod snapshot;
mod state;
mod submit;
mod worker_link;

use std::{cell::RefCell, rc::Rc};

pub(crate) use self::{
    command::answer_forward, config_sync::take_pushed_config,
};
pub use self::{
    message::{Asker, ControlHandle, ControlRequest},
    state::{ControlParts, ControlState},
};

/// The control state as the loops of the control thread share it.
pub(crate) type SharedState = Rc<RefCell<ControlState>>;

/// Starts the loops of the control thread on the current system.
pub fn spawn_control(
    parts: ControlParts,
    requests: tokio::sync::mpsc::Receiver<ControlRequest>,
) -> Control {
    let state = Rc::new(RefCell::new(ControlState::new(parts)));
    actix_rt::spawn(directory::run(Rc::clone(&state)));
    actix_rt::spawn(config_sync::run(Rc::clone(&state)));
    actix_rt::spawn(lease::observe(Rc::clone(&state)));
    actix_rt::spawn(lease::run(Rc::clone(&state)));
    actix_rt::spawn(message::run(Rc::clone(&state), requests));
    Control { state }
}

/// The control thread, as the thread that runs it holds it.
#[derive(Clone)]
pub struct Control {
    state: SharedState,
}

impl Control {
    /// Returns the state for the link to other instances.
    pub(crate) fn state(&self) -> SharedState {
        Rc::clone(&self.state)
    }

    /// Takes no new work from now on.
    pub fn start_leaving(&self) {
        let mut state = self.state.borrow_mut();
        state.leaving = true;
        state.publish_view();
    }

    /// Gives up every owned shard, so that another instance can take it at
    /// once.
    pub async fn release_shards(&self) {
        lease::release_all(&self.state).await;
    }
}
