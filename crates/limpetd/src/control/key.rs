//! The table keys of the configuration and of recorded changes.

use limpet_core::{Revision, TimeMs};

/// The key of the row with the configuration's revision.
pub(super) const CONFIG_REVISION: &str = "config/revision";
/// The key of the row with the configuration.
pub(super) const CONFIG_CELL: &str = "config/cell";
/// The prefix of the keys of recorded changes to the configuration.
pub(super) const CONFIG_CHANGE_PREFIX: &str = "config/change/";
/// The prefix of the keys of recorded changes to jobs.
pub(super) const JOB_CHANGE_PREFIX: &str = "job-change/";

/// Returns the key of the recorded change that led to a revision.
pub(super) fn config_change(revision: Revision) -> String {
    format!("{CONFIG_CHANGE_PREFIX}{:012}", revision.get())
}

/// Returns the key of a recorded change to jobs. Keys sort by time.
pub(super) fn job_change(at: TimeMs, token: &str) -> String {
    format!("{JOB_CHANGE_PREFIX}{:015}/{token}", at.as_ms())
}
