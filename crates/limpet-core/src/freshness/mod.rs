//! Whether an instance's knowledge of keys and shard owners is fresh enough
//! to act on.
//!
//! The withdrawal of a key is accepted by a write to the table. An
//! instance's knowledge is fresh if the table confirmed it recently, or if
//! every member that could have accepted a withdrawal since then has granted
//! not to do so for a short time. A grant is a short lease between two
//! instances. There is no vote: a single member that doesn't answer is
//! enough to prevent freshness by grants. `docs/DEGRADED.md` derives the
//! rule and compares it with others.

mod grant;
mod granter;
mod holder;
mod options;

pub use self::{
    grant::{Grant, GrantRequest, OwnedShard},
    granter::Granter,
    holder::Freshness,
    options::FreshnessOptions,
};
