//! Stand-ins for the platform under limpetspur and its services, with fault
//! injection. They are for tests, benches and trials only.
//!
//! [`platform`] serves the state machines of [`limpet_platform::embedded`]
//! over HTTP, so that daemons can use a platform in another process.
//! [`runner`] stands in for the runners of a service, and [`user_platform`]
//! for the users' platform. All of them can be made to fail in the ways that
//! the system must tolerate. [`cell`] starts daemons as processes, and
//! [`caller`] is an HTTP client that detects truncated answers.

pub mod caller;
pub mod cell;
pub mod platform;
pub mod runner;
mod slow_link;
pub mod user_platform;
