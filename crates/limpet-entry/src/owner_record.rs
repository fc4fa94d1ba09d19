//! The row that names the owner of the cell.

use limpet_workflow::SilentWorker;

use crate::rows::decode_extended;

/// The encodings of the fields that rows of earlier versions lack: no silent
/// workers known, before that also a capacity of 0 and no successor.
const APPENDED_DEFAULTS: [&[u8]; 2] = [&[0], &[0, 0, 0]];
/// The most silent workers that a row names. Their ids are keys of the store, of
/// at most 200 bytes, and the row stays below the 65,536 bytes that it takes.
const MAX_SILENT_WORKERS: usize = 250;

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
    /// The workers that the owner did not reach as it released the cell;
    /// `None` if it has not, or if they are unknown. It granted no lease after
    /// that.
    pub silent_workers: Option<Vec<SilentWorker>>,
}

impl OwnerRecord {
    /// Decodes a row, also one of an earlier version; `None` if it is invalid.
    pub fn decode(bytes: &[u8]) -> Option<OwnerRecord> {
        let [latest, first] = APPENDED_DEFAULTS;
        decode_extended(bytes, latest)
            .or_else(|| decode_extended(bytes, first))
    }

    /// Returns the record of a released cell.
    pub fn release(&self, silent: Option<Vec<SilentWorker>>) -> OwnerRecord {
        OwnerRecord {
            released: true,
            silent_workers: silent
                .filter(|silent| silent.len() <= MAX_SILENT_WORKERS),
            ..self.clone()
        }
    }

    /// Returns the silent workers that a released cell's record names.
    pub fn released_workers(&self) -> Option<&[SilentWorker]> {
        self.silent_workers.as_deref().filter(|_| self.released)
    }
}
