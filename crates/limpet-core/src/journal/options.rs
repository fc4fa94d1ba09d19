/// The limits and intervals of a [`Journal`](super::Journal).
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct JournalOptions {
    /// The shortest time between sending two segments, in milliseconds. A
    /// record for which a submitter or an operator waits is sent at this
    /// interval.
    pub flush_ms: u64,
    /// The mean time between two segments, in milliseconds, while only
    /// records of task starts and ends are waiting.
    pub batch_ms: u64,
    /// The number of segments by which the journal may exceed that mean rate
    /// after a pause.
    pub burst_segments: u64,
    /// The largest number of records in one segment.
    pub segment_records: usize,
    /// The largest size of one segment, in bytes of JSON text.
    pub segment_bytes: usize,
    /// The number of bytes that may wait while the table is unavailable.
    /// From this many on, the journal refuses new work.
    pub waiting_bytes: usize,
}

impl JournalOptions {
    /// Returns the default options: segments of at most 1,000 records and
    /// 256 KiB, sent at intervals of at least 60 ms, and up to 16 MiB of
    /// waiting records.
    pub const fn new() -> JournalOptions {
        JournalOptions {
            flush_ms: 60,
            batch_ms: 60,
            burst_segments: 8,
            segment_records: 1_000,
            segment_bytes: 256 * 1024,
            waiting_bytes: 16 * 1024 * 1024,
        }
    }
}

impl Default for JournalOptions {
    fn default() -> JournalOptions {
        JournalOptions::new()
    }
}
