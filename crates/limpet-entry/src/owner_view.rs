//! What an instance knows about the owner from its replies on the link, and
//! how soon it takes over.
//!
//! This affects only when a takeover is tried, not whether it is safe: it is
//! a conditional write, and fencing tokens stop an owner that is still alive.

use limpet_core::TimeMs;

/// The lease of an owner that is not suspect: its row has to stay unchanged
/// for this long before another instance takes over. Covers three renewals
/// with a slow store.
const LEASE_MS: u64 = 1_500;
/// The lease of an owner that does not reply on the link. Covers two renewals,
/// so that a busy owner may be late with one of them.
const SILENT_LEASE_MS: u64 = 1_000;
/// The lease of an owner that has lost the store. It reports within this time
/// if the store answers again.
const STORE_LOST_LEASE_MS: u64 = 300;
/// The lease of an owner whose process is gone. Not zero, since the row of a
/// new owner is visible slightly before its process knows that it owns the
/// cell.
const GONE_LEASE_MS: u64 = 200;

/// What the latest reply on the link showed about the owner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OwnerView {
    /// There was no conclusive reply yet.
    #[default]
    Unknown,
    /// The owner replied at this time that it reaches the store.
    StoreAnswers(TimeMs),
    /// The owner has lost the store.
    StoreLost,
    /// The owner did not reply in time.
    Silent,
    /// Nobody listens at the owner's address, or another process that does not
    /// own the cell.
    Gone,
}

impl OwnerView {
    /// Returns how long the owner's row has to stay unchanged before another
    /// instance takes over.
    pub fn lease_ms(self) -> u64 {
        match self {
            OwnerView::Unknown | OwnerView::StoreAnswers(_) => LEASE_MS,
            OwnerView::Silent => SILENT_LEASE_MS,
            OwnerView::StoreLost => STORE_LOST_LEASE_MS,
            OwnerView::Gone => GONE_LEASE_MS,
        }
    }

    /// Returns whether the owner may have failed.
    pub fn is_suspect(self) -> bool {
        !matches!(self, OwnerView::Unknown | OwnerView::StoreAnswers(_))
    }
}
