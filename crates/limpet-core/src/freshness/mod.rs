//! Whether what an instance knows of keys and owners is fresh enough to act
//! on.
//!
//! A withdrawal is accepted by a write to the table. Knowledge is fresh if
//! the table confirmed it lately, or if every member that could have
//! accepted a withdrawal since has granted that it won't for a moment, or
//! not without saying so. The grants are short leases between instances;
//! nobody votes, and one member that is silent is enough to withhold them.
//! `docs/DEGRADED.md` works the rule out and weighs it against others.

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
