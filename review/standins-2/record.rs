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
    /// The most lines of one second; the others are left out.
    lines_max: u32,
    /// The last second with lines, and their number.
    second: Arc<Mutex<(u64, u32)>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            begun: Instant::now(),
            lines_max: u32::MAX,
            second: Arc::default(),
        })
    }

    /// Returns the same record for callers with many statements, of which it leaves most out.
    pub fn quiet(&self) -> Self {
        Self {
            lines_max: 10,
            second: Arc::default(),
            ..self.clone()
        }
    }

    pub fn line(&self, text: &str) {
        let now = self.begun.elapsed().as_secs();
        let mut second = self.second.lock().expect("not poisoned");
        if second.0 != now {
            *second = (now, 0);
        }
        second.1 += 1;
        if second.1 > self.lines_max {
            return;
        }
        drop(second);
        let ms = self.begun.elapsed().as_millis();
        let mut file = self.file.lock().expect("not poisoned");
        // A full disk must not end the run.
        let _written = writeln!(file, "{ms:>7} {text}");
    }
}
