//! A stand-in for the platform: its services and workers over HTTP, with fault
//! injection.

mod admin;
mod call;
mod fault;
mod fault_injector;
mod server;
mod service;

pub use self::{
    admin::{FaultRequest, WorkerRequest},
    fault::{Faults, Port},
    fault_injector::FaultInjector,
    server::PlatformServer,
};
