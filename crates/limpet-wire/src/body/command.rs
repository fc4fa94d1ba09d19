//! The answer to a command. It is defined in `limpet-core`, which evaluates
//! commands without a transport.

pub use limpet_core::command::{CommandAnswer, TableCell};
