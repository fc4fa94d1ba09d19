//! One checker for each promise that must always hold, used by tests and
//! benches alike.
//!
//! A checker is fed what was observed from outside the part under test and
//! keeps its own small reference model, so that a fault in the part can't
//! hide itself. Each one is shown able to fail by a test of its own.

mod violation;

pub use self::violation::Violation;
