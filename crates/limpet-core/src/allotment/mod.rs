//! Division of a team's upper limit among the shards.
//!
//! Each team has one row with the allotments of all shards. A transaction
//! may either leave the sum of the allotments at or below the limit, or
//! reduce the sum; and the owner of a shard starts work only within the
//! shard's allotment. The limit therefore holds under any race between
//! owners and while any of them is cut off. This is the escrow method
//! (O'Neil 1986).

mod plan;
mod row;
mod steps;

pub use self::{
    plan::{Demand, PlanOptions, plan},
    row::{AllotmentRow, allotment_key, allotment_prefix},
    steps::{Allotment, AllotmentStep},
};
