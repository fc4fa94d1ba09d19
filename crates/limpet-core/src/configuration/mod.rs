//! How a change to the configuration is committed and distributed.
//!
//! A change is one transaction on three rows of the table, conditional on
//! the version that it is based on:
//!
//! * the complete configuration ([`CELL_KEY`]);
//! * the revision, a small row that instances poll ([`REVISION_KEY`]);
//! * the change itself, under a key of its own. No later change overwrites
//!   this row, so reading it tells whether a commit whose reply was lost took
//!   effect.
//!
//! The configuration in force at an instance only moves to higher revisions,
//! regardless of who delivers an update and in which order updates arrive.

mod proposal;
mod store;

pub use self::{
    proposal::{ConfigUpdate, Proposal},
    store::{CELL_KEY, ConfigStore, REVISION_KEY, RevisionStep},
};
