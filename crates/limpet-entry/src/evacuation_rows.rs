//! The evacuated data centres, as the rows of the operators' table tell them.

use std::collections::{BTreeMap, BTreeSet};

use limpet_adapter::{Row, decode_evacuation_key};

/// The requests for evacuations that the operators' table holds.
///
/// Changes may arrive late or twice, as a read and the feed overlap. The
/// version of each row, and that of the latest full read for all others, tell
/// which change is newer.
#[derive(Clone, Debug, Default)]
pub struct EvacuationRows {
    /// The version of the latest full read.
    read_at: u64,
    /// The version of each changed row, and whether it exists, by data centre.
    rows: BTreeMap<String, (u64, bool)>,
}

/// The beginning or the end of an evacuation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationChange {
    /// The name of the data centre.
    pub data_centre: String,
    /// Whether it began.
    pub began: bool,
    /// The version of the store at which the row changed; for a row that a
    /// full read lacks, that of the read.
    pub store_version: u64,
}

impl EvacuationRows {
    /// Returns the evacuated data centres.
    pub fn data_centres(&self) -> BTreeSet<String> {
        let present = self.rows.iter().filter(|(_, (_, present))| *present);
        present.map(|(name, _)| name.clone()).collect()
    }

    /// Applies changed rows, and returns what they change. Other rows of the
    /// table are ignored.
    pub fn apply(&mut self, rows: &[Row]) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        for row in rows {
            let Some(data_centre) = data_centre(row) else { continue };
            let (known_at, was_present) = self
                .rows
                .get(data_centre)
                .copied()
                .unwrap_or((self.read_at, false));
            if row.version <= known_at {
                continue;
            }
            let began = row.value.is_some();
            self.rows.insert(data_centre.to_owned(), (row.version, began));
            if began != was_present {
                changes.push(EvacuationChange {
                    data_centre: data_centre.to_owned(),
                    began,
                    store_version: row.version,
                });
            }
        }
        changes
    }

    /// Replaces everything by the rows of a full read as of a version, and
    /// returns what that changes.
    pub fn replace(
        &mut self,
        rows: &[Row],
        version: u64,
    ) -> Vec<EvacuationChange> {
        let before = self.data_centres();
        self.read_at = version;
        self.rows = rows
            .iter()
            .filter(|row| row.value.is_some())
            .filter_map(|row| {
                let data_centre = data_centre(row)?;
                Some((data_centre.to_owned(), (row.version, true)))
            })
            .collect();
        let ended = before
            .iter()
            .filter(|name| !self.rows.contains_key(*name))
            .map(|name| EvacuationChange {
                data_centre: name.clone(),
                began: false,
                store_version: version,
            });
        let began =
            self.rows.iter().filter(|(name, _)| !before.contains(*name)).map(
                |(name, (row_version, _))| EvacuationChange {
                    data_centre: name.clone(),
                    began: true,
                    store_version: *row_version,
                },
            );
        ended.chain(began).collect()
    }
}

/// Returns the data centre of a row that requests an evacuation.
fn data_centre(row: &Row) -> Option<&str> {
    decode_evacuation_key(&row.name.key).filter(|_| row.name.part.is_empty())
}
