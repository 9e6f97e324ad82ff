//! Rate-limited logging of single requests.

use std::fmt::Arguments;
use std::sync::Arc;
use std::sync::Mutex;

use clock::Clock;
use clock::Span;
use clock::Time;

use crate::node::lock;

/// Lines per second; the lines above that are dropped and reported as a count.
const LINES_PER_SECOND_MAX: u32 = 50;

#[derive(Default)]
struct Window {
    start: Time,
    lines: u32,
    dropped: u64,
}

/// A logger for single requests that limits its lines per second.
pub struct Logger {
    clock: Arc<dyn Clock>,
    window: Mutex<Window>,
}

impl Logger {
    /// Opens the logger.
    pub fn open(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            window: Mutex::default(),
        }
    }

    /// Logs a line unless the limit of this second is reached.
    pub fn info(&self, line: Arguments<'_>) {
        if self.admit() {
            log::info!("{line}");
        }
    }

    /// Counts a line and returns whether it is within the limit of this second.
    pub fn admit(&self) -> bool {
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
        let is_admitted = window.lines <= LINES_PER_SECOND_MAX;
        window.dropped += u64::from(!is_admitted);
        is_admitted
    }
}
