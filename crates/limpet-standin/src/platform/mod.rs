//! The platform's services and workers behind HTTP, with fault switches.

mod admin;
mod call;
mod fault;
mod server;
mod service;
mod switchboard;

pub use self::{
    admin::{FaultRequest, WorkerRequest},
    fault::{Faults, Port},
    server::PlatformServer,
    switchboard::Switchboard,
};
