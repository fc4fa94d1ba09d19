/// The bounds of a journal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct JournalOptions {
    /// The shortest time between the departures of two segments when
    /// somebody waits for an answer.
    pub flush_ms: u64,
    /// The mean time between two segments when only claims and ends of
    /// tasks wait.
    pub batch_ms: u64,
    /// How many segments may run ahead of that mean after a quiet time.
    pub burst_segments: u64,
    /// The most records that one segment holds.
    pub segment_records: usize,
    /// The most bytes of JSON text that one segment holds.
    pub segment_bytes: usize,
    /// The most bytes that wait while the store is away, beyond which the
    /// journal takes nothing more that it could refuse.
    pub waiting_bytes: usize,
}

impl JournalOptions {
    /// Returns segments of at most 1,000 records and 256 KB, sent at most
    /// every 60 ms, and 16 MB that may wait.
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
