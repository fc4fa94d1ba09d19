//! The keys of the rows that the control thread keeps in the table.

/// The row that counts the changes to the configuration.
pub(super) const CONFIG_REVISION: &str = "config/revision";
/// The row that holds the configuration.
pub(super) const CONFIG_CELL: &str = "config/cell";
