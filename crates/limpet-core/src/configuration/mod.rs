//! How a change of configuration is accepted and spreads.
//!
//! The whole configuration is one row, changed by compare-and-set together
//! with a small row that instances poll and with a row of the change
//! itself, which nobody overwrites and which settles a lost answer. What is
//! in force at an instance only moves to higher revisions, whoever brings
//! them and in whichever order.

mod proposal;
mod store;

pub use self::{
    proposal::{ConfigUpdate, Proposal},
    store::{CELL_KEY, ConfigStore, REVISION_KEY, RevisionStep},
};
