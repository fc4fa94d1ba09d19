//! Small stand-ins for the platform under limpetspur, with fault switches.
//!
//! They serve the state machines of [`limpet_platform::embedded`] over HTTP,
//! so that the daemons of a test or a tour meet a platform in a process of
//! its own, which can fail in every way that the system must bear. [`cell`]
//! starts such daemons.

pub mod caller;
pub mod cell;
pub mod platform;
pub mod runner;
pub mod user_platform;
