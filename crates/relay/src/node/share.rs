//! One instance's share of the connections to a server.

use clock::Span;

/// Thousandths of a connection in one.
pub(super) const MILLI: u64 = 1_000;
/// Connections that an instance may open at a time if its share is smaller; the time for which it
/// keeps them keeps their mean number within the share.
const SCARCE_CONNECTIONS: usize = 3;
/// Connections are scarce if an even share is below this number.
const SCARCE_SHARE: u64 = 2 * MILLI;
/// Bounds of the time for which an unused connection is kept where connections are scarce.
const IDLE_MIN: Span = Span::from_millis(20);
const IDLE_MAX: Span = Span::from_secs(5);

/// One instance's share of the connections to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// The share in thousandths of a connection.
    pub milli: u64,
    /// The even share in thousandths of a connection.
    pub even_milli: u64,
}

impl Share {
    /// Returns the maximum number of connections.
    pub fn connections(self) -> usize {
        let connections = usize::try_from(self.milli / MILLI).unwrap_or(usize::MAX);
        if self.is_scarce() {
            connections.max(SCARCE_CONNECTIONS)
        } else {
            connections.max(1)
        }
    }

    /// Returns how long an unused connection is kept if `uses` statements or transactions of
    /// `accounts` accounts used the server within `window`; `None` if it is kept without limit.
    ///
    /// Where fewer connections than instances exist, each instance keeps connections for so short
    /// a time that it has as many open as its share, on average. All instances together then stay
    /// within the server's limit without asking each other.
    pub fn idle_timeout(self, uses: u64, accounts: usize, window: Span) -> Option<Span> {
        if !self.is_scarce() {
            return None;
        }
        // Connections in use and uneven arrivals take the other half.
        // CAST: shares, accounts and uses are far below 2^53.
        let idle = self.milli as f64 / MILLI as f64 / 2.0;
        let accounts = accounts.max(1) as f64;
        if idle >= accounts {
            return Some(IDLE_MAX);
        }
        // An account that uses the server `uses / accounts` times a window, at random times, finds
        // its connection open with probability 1 - exp(-kept * uses / accounts).
        let windows = -accounts * (1.0 - idle / accounts).ln() / uses.max(1) as f64;
        // CAST: a float-to-integer cast saturates.
        let kept = Span::from_micros((windows * window.as_micros() as f64) as u64);
        Some(kept.clamp(IDLE_MIN, IDLE_MAX))
    }

    /// Returns whether an even share is too small to keep a connection for each of `accounts` accounts.
    pub fn is_below(self, accounts: usize) -> bool {
        self.even_milli < MILLI.saturating_mul(accounts as u64)
    }

    /// Returns whether there are fewer than two connections for each instance.
    pub fn is_scarce(self) -> bool {
        self.even_milli < SCARCE_SHARE
    }
}
