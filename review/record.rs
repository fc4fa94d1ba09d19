//! The record of a case: what was sent, answered and run, with the time since
//! the begin of the case.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

pub struct Record {
    began: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn new(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt"));
        let file = file.expect("record.txt can be written");
        Record {
            began: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line of now.
    pub fn line(&self, text: &str) {
        self.line_at(self.now_ms(), text);
    }

    /// Writes a line about an earlier time.
    pub fn line_at(&self, at_ms: u64, text: &str) {
        let mut file = self.file.lock().unwrap();
        let (s, ms) = (at_ms / 1_000, at_ms % 1_000);
        writeln!(file, "{s:4}.{ms:03} s  {text}").ok();
        file.flush().ok();
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
