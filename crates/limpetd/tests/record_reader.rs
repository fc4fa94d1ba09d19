//! Reads of a shard's records in which calls fail.

use std::{cell::Cell, rc::Rc};

use futures::FutureExt;
use limpet_core::{
    ShardId,
    journal::SegmentKey,
    recovery::{Snapshot, snapshot_name},
};
use limpet_platform::{
    Clock, Platform, PortError, Transaction, Write,
    embedded::{self, EmbeddedOptions},
};
use limpetd::RecordReader;

/// The segments of the shard.
const SEGMENTS: u64 = 1_000;

fn shard() -> ShardId {
    ShardId::new(1)
}

/// Returns a platform with a snapshot and segments of the shard.
fn platform() -> Platform {
    let options = EmbeddedOptions::new();
    let platform = embedded::platform(&options, Clock::monotonic());
    let snapshot = Snapshot::default();
    let name = snapshot_name(shard(), snapshot.through);
    platform.objects().put(&name, snapshot.to_bytes().into());
    let mut segments = Transaction::new("segments");
    for sequence in 1..=SEGMENTS {
        let key = SegmentKey { sequence, ..SegmentKey::default() };
        let key = key.row_key(shard());
        segments.writes.push(Write { key, value: Some("[]".to_owned()) });
    }
    platform.table().commit(&segments);
    platform.ports()
}

/// Guards against a read that starts anew after a failed page: pages fail
/// every second time, and the snapshot and each row may arrive only once.
#[actix_rt::test]
async fn pages_lost() {
    let mut platform = platform();
    let (scans, rows_read, gets) =
        (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let scan = Rc::clone(&platform.table.scan);
    let (calls, rows) = (Rc::clone(&scans), Rc::clone(&rows_read));
    platform.table.scan = Rc::new(move |prefix, after, limit| {
        calls.set(calls.get() + 1);
        if calls.get() % 2 == 0 {
            let err = PortError::Unknown("cut off".to_owned());
            return async { Err(err) }.boxed_local();
        }
        let (page, rows) = (scan(prefix, after, limit), Rc::clone(&rows));
        async move {
            let page = page.await?;
            rows.set(rows.get() + page.len());
            Ok(page)
        }
        .boxed_local()
    });
    let get = Rc::clone(&platform.objects.get);
    let calls = Rc::clone(&gets);
    platform.objects.get = Rc::new(move |name| {
        calls.set(calls.get() + 1);
        get(name)
    });
    let mut reader = RecordReader::new(&platform, shard());
    let segments = loop {
        assert!(scans.get() < 5_000, "{} rows", reader.segment_count());
        if let Ok((_, segments)) = reader.read().await {
            break segments;
        }
    };
    assert_eq!(segments.len() as u64, SEGMENTS);
    assert_eq!(rows_read.get() as u64, SEGMENTS);
    assert_eq!(gets.get(), 1);
}
