//! The keys of the rows that the control thread keeps in the table.

use limpet_core::{Revision, TimeMs};

/// The row that counts the changes to the configuration.
pub(super) const CONFIG_REVISION: &str = "config/revision";
/// The row that holds the configuration.
pub(super) const CONFIG_CELL: &str = "config/cell";
/// The prefix of the rows that say who changed the configuration.
pub(super) const CONFIG_CHANGE_PREFIX: &str = "config/change/";
/// The prefix of the rows that say who changed jobs.
pub(super) const JOB_CHANGE_PREFIX: &str = "job-change/";

/// Returns the key of the row of the change that led to a revision.
pub(super) fn config_change(revision: Revision) -> String {
    format!("{CONFIG_CHANGE_PREFIX}{:012}", revision.get())
}

/// Returns the key of the row of a change of jobs; keys sort by time.
pub(super) fn job_change(at: TimeMs, token: &str) -> String {
    format!("{JOB_CHANGE_PREFIX}{:015}/{token}", at.as_ms())
}
