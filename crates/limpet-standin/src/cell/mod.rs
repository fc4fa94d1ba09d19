//! Starts the daemons of a cell as processes on loopback addresses, for tests
//! and benches.

mod address;
mod client;
mod daemon;
mod settings;
mod usage;

pub use self::{
    address::LoopbackHost,
    client::{CallError, Client},
    daemon::Daemon,
    settings::DaemonSettings,
    usage::Usage,
};
