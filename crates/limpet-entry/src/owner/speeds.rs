//! Keeps the learnt speeds of machines in the store, so that the next owner
//! need not learn them anew.
//!
//! Losing them costs only the time to learn, so writes are neither repeated
//! nor waited for.

use std::rc::Rc;

use limpet_adapter::{RowExpectation, RowWrite, Transaction};
use limpet_workflow::MachineSpeed;
use slog::info;

use super::{Owner, table_reader::TableReader};
use crate::{
    clock,
    rows::{SPEEDS_TABLE, SpeedsRecord, decode, encode, speeds_row},
};

/// The time between two writes.
const WRITE_PERIOD_MS: u64 = 5_000;
/// The time between two log lines.
const LOG_PERIOD_MS: u64 = 10_000;
/// The number of machines in a row, which takes some 20 bytes for each.
const MACHINES_PER_ROW: usize = 2_000;
/// The time-out of a call of the store.
const CALL_TIMEOUT_MS: u64 = 700;

impl Owner {
    /// Reads the speeds that earlier owners learnt. Returns `None` if the
    /// ownership ended.
    pub(super) async fn load_speeds(
        &self,
        reader: &TableReader<'_>,
    ) -> Option<()> {
        if !self.node.settings.scheduling.worker_speeds {
            return Some(());
        }
        reader
            .read(SPEEDS_TABLE, "", |rows| {
                for row in rows {
                    let record: Option<SpeedsRecord> =
                        row.value.as_deref().and_then(decode);
                    if let Some(record) = record {
                        let mut engine = self.engine.borrow_mut();
                        engine.restore_speeds(&record.speeds);
                    }
                }
            })
            .await?;
        Some(())
    }

    /// Writes the learnt speeds and logs the bands periodically, until the
    /// ownership ends.
    pub(super) async fn report_speeds(self: Rc<Owner>) {
        let mut written = Vec::new();
        let mut logged_at = clock::now();
        while self.alive.get() {
            clock::pause(WRITE_PERIOD_MS).await;
            let speeds = self.engine.borrow().machine_speeds();
            if speeds != written && self.alive.get() {
                self.write_speeds(&speeds).await;
                written = speeds;
            }
            if clock::now().ms_since(logged_at) >= LOG_PERIOD_MS {
                logged_at = clock::now();
                self.log_bands(written.len());
            }
        }
    }

    /// Writes speeds to their rows, on the condition that no later owner has.
    async fn write_speeds(&self, speeds: &[MachineSpeed]) {
        for (number, speeds) in speeds.chunks(MACHINES_PER_ROW).enumerate() {
            let name = speeds_row(number);
            let row = self.node.store.read_row(&name, CALL_TIMEOUT_MS).await;
            let Ok(row) = row else { return };
            let known: Option<SpeedsRecord> =
                row.value.as_deref().and_then(decode);
            if known.is_some_and(|known| known.term > self.term) {
                return;
            }
            let record =
                SpeedsRecord { term: self.term, speeds: speeds.to_vec() };
            let transaction = Transaction {
                expect: vec![RowExpectation {
                    name: name.clone(),
                    version: row.version,
                }],
                writes: vec![RowWrite { name, value: encode(&record) }],
                removes: Vec::new(),
            };
            let store = &self.node.store;
            store.transact(&transaction, CALL_TIMEOUT_MS).await.ok();
        }
    }

    fn log_bands(&self, machines: usize) {
        let bands = self.engine.borrow().speed_bands();
        let counts: Vec<String> = bands
            .iter()
            .map(|(band, count)| format!("{band} {count}"))
            .collect();
        info!(self.node.log, "speeds: learnt"; "term" => self.term,
            "machines" => machines, "bands" => counts.join(", "));
    }
}
