//! The answer to a command, which the core defines because it evaluates
//! commands without any transport.

pub use limpet_core::command::{CommandAnswer, TableCell};
