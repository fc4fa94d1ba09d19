//! Checks of a configuration as it is written, and its differences from the
//! version in force. `docs/design/config-check.md` describes the design.
//!
//! The checks work on a [`ConfigDraft`] and not on a
//! [`CellConfig`](crate::CellConfig), whose defaults and conversions hide
//! faults, for example an attempt limit of 0 that is raised to 1.

mod checks;
mod differences;
mod draft;
mod finding;
mod numbers;

pub use self::{
    checks::check_config,
    differences::{ChangeKind, Difference, FieldChange, config_differences},
    draft::{
        AdviceDraft, ConfigDraft, QueueDraft, ResourcesDraft, ServiceDraft,
        TeamDraft, WrittenNumber,
    },
    finding::{EntryKind, Field, Finding, FindingKind, Place, Severity},
};
