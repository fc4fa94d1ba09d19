//! What an instance knows of the owner from its answers on the link, and how
//! soon it takes over for that.
//!
//! The link only tells when to try. A takeover is a write under a condition,
//! and the fences keep an owner that lives on from doing harm.

use limpet_core::TimeMs;

/// Without a sign on the link, the owner's row has to stand unchanged for so
/// long before another instance takes over: three renewals, and what a slow
/// store adds to each.
const LEASE_MS: u64 = 1_500;
/// The same with an owner that is silent on the link too: a renewal and
/// three quarters of one.
const SILENT_LEASE_MS: u64 = 700;
/// The same with an owner to which the store is lost. It says within this
/// time if the store has returned.
const STORE_LOST_LEASE_MS: u64 = 300;
/// The same with an owner whose process is gone. A new owner's row is seen a
/// little before its process knows that it owns the cell.
const GONE_LEASE_MS: u64 = 200;

/// How the owner answered last.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OwnerView {
    /// Nothing is known yet.
    #[default]
    Unknown,
    /// The store answered the owner at this time.
    StoreAnswers(TimeMs),
    /// The store is lost to the owner.
    StoreLost,
    /// The owner gave no answer in time.
    Silent,
    /// The owner's machine answers, and the owner isn't there.
    Gone,
}

impl OwnerView {
    /// Returns how long the owner's row has to stand unchanged before
    /// another instance takes over.
    pub fn lease_ms(self) -> u64 {
        match self {
            OwnerView::Unknown | OwnerView::StoreAnswers(_) => LEASE_MS,
            OwnerView::Silent => SILENT_LEASE_MS,
            OwnerView::StoreLost => STORE_LOST_LEASE_MS,
            OwnerView::Gone => GONE_LEASE_MS,
        }
    }

    /// Says whether another instance may have to take over soon.
    pub fn is_doubtful(self) -> bool {
        !matches!(self, OwnerView::Unknown | OwnerView::StoreAnswers(_))
    }
}
