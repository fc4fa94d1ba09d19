//! The row that names the owner of the cell.

use crate::rows::decode_extended;

/// The encoding of the fields that rows of earlier versions lack: a capacity
/// of 0 and no successor.
const APPENDED_DEFAULTS: [u8; 2] = [0, 0];

/// The row that names the owner of the cell.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct OwnerRecord {
    /// The number of the ownership, which grows with each takeover; also the
    /// fencing token of the owner's orders.
    pub term: u64,
    /// The name of the owning instance.
    pub holder: String,
    /// Distinguishes the processes of the instance.
    pub incarnation: u64,
    /// The address of the owner's link.
    pub link_address: String,
    /// Whether the owner has released the cell.
    pub released: bool,
    /// The capacity of the owning instance, or that of a larger successor; 0
    /// if unknown.
    pub capacity_milli: u64,
    /// The name of the instance that is to take a released cell over; empty if
    /// any may.
    pub successor: String,
}

impl OwnerRecord {
    /// Decodes a row, also one of an earlier version; `None` if it is invalid.
    pub fn decode(bytes: &[u8]) -> Option<OwnerRecord> {
        decode_extended(bytes, &APPENDED_DEFAULTS)
    }
}
