//! How a team's upper limit is divided among the shards.
//!
//! Each team has one row with the allotment of every shard. A transaction
//! may leave the sum at or below the limit, or make it smaller, and nothing
//! else; an owner starts work only within its shard's allotment. So the
//! limit holds whoever races and whoever is cut off (escrow, O'Neil 1986).

mod plan;
mod row;
mod steps;

pub use self::{
    plan::{Demand, PlanOptions, plan},
    row::{AllotmentRow, allotment_key, allotment_prefix},
    steps::{Allotment, AllotmentStep},
};
