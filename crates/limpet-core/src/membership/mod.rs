//! Membership of instances in the cell, and the health of peers.
//!
//! A member has two rows in the table. The member row is written when the
//! member joins and when it is fenced; what the member does to the cell is
//! conditioned on the version of this row. The heartbeat row is rewritten at
//! regular intervals. Members are only ever added or fenced, so that the
//! knowledge of several instances can be merged in any order.
//! `docs/DEGRADED.md` describes the guarantees that depend on this.

mod health;
mod member;
mod row;
mod set;

pub use self::{
    health::{Health, PeerHealth},
    member::{Membership, MembershipEffect, MembershipOptions},
    row::{MemberRow, heartbeat_key, member_key, member_prefix},
    set::MemberSet,
};
