//! How often an instance uses a server.

use clock::Span;
use clock::Time;

use crate::node::Share;

/// The time over which uses are counted.
const WINDOW: Span = Span::from_secs(2);

/// Counts the uses of a server in windows of two seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Uses in the current window.
    current: u64,
    /// When the current window began.
    begun: Time,
    /// Uses in the window before.
    last: u64,
}

impl Usage {
    /// Counts one use.
    pub fn on_use(&mut self) {
        self.current += 1;
    }

    /// Returns how long an unused connection is kept under a share of the server's connections.
    pub fn idle_timeout(&mut self, now: Time, share: Share) -> Option<Span> {
        if now >= self.begun + WINDOW {
            self.last = self.current;
            self.current = 0;
            self.begun = now;
        }
        share.idle_timeout(self.last.max(self.current), WINDOW)
    }
}
