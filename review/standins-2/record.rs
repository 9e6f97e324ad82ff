//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a run, with the milliseconds since its start before each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            begun: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let ms = self.begun.elapsed().as_millis();
        let mut file = self.file.lock().expect("not poisoned");
        // A full disk must not end the run.
        let _written = writeln!(file, "{ms:>7} {text}");
    }
}
