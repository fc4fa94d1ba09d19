//! Which instances belong to the cell.
//!
//! A member has two rows: one that is written when it joins and when it is
//! fenced, so that its acts can be conditioned on it, and one that it
//! rewrites as a heartbeat. Members are only ever added or fenced, so that
//! what is known of them can be merged in any order. `docs/DEGRADED.md`
//! says what rests on it.

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
