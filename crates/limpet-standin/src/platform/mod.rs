//! The platform's services and workers behind HTTP, with fault switches.

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
