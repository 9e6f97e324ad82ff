//! The log's lines about single requests, bounded in number.

use std::fmt::Arguments;
use std::sync::Arc;
use std::sync::Mutex;

use clock::Clock;
use clock::Span;
use clock::Time;

use crate::node::lock;

/// Lines about requests in a second; more are counted and named in one line.
const LINES_PER_SECOND: u32 = 50;

#[derive(Default)]
struct Window {
    start: Time,
    lines: u32,
    dropped: u64,
}

/// The log's lines about single requests, bounded in number.
pub struct Journal {
    clock: Arc<dyn Clock>,
    window: Mutex<Window>,
}

impl Journal {
    /// Opens the journal.
    pub fn open(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            window: Mutex::default(),
        }
    }

    /// Writes a line, unless there were too many in this second.
    pub fn info(&self, line: Arguments<'_>) {
        if self.admits() {
            log::info!("{line}");
        }
    }

    /// Returns whether one more line may be written in this second.
    pub fn admits(&self) -> bool {
        let now = self.clock.now();
        let mut window = lock(&self.window);
        if now >= window.start + Span::from_secs(1) {
            if window.dropped > 0 {
                log::info!("event=lines-dropped count={}", window.dropped);
            }
            *window = Window {
                start: now,
                ..Window::default()
            };
        }
        window.lines += 1;
        let is_admitted = window.lines <= LINES_PER_SECOND;
        window.dropped += u64::from(!is_admitted);
        is_admitted
    }
}
