//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a run; each line begins with the milliseconds since its start.
pub struct Record {
    file: Mutex<File>,
    begun: Instant,
}

impl Record {
    /// Opens the record in a new file.
    pub fn open(path: &str) -> Self {
        Record {
            file: Mutex::new(File::create(path).expect("the record can be written")),
            begun: Instant::now(),
        }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let written = writeln!(file, "{:7} {text}", self.now_ms());
        written.expect("the record can be written");
    }
}

/// Shows control characters of a message.
pub fn visible(text: &str) -> String {
    text.replace('\r', "\\r").replace('\n', "\\n")
}
