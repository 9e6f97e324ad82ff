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

    /// Returns how long an unused connection is kept if `uses` statements or transactions used the
    /// server within `window`; `None` if it is kept without limit.
    ///
    /// Where fewer connections than instances exist, an instance that keeps each connection for
    /// `share / rate` after its use has as many open as its share, on average. All instances
    /// together then stay within the server's limit without asking each other.
    pub fn idle_timeout(self, uses: u64, window: Span) -> Option<Span> {
        if !self.is_scarce() {
            return None;
        }
        let micros = self.milli * window.as_micros() / (MILLI * uses.max(1));
        // Connections in use and uneven arrivals take the other half.
        let idle = Span::from_micros(micros / 2);
        Some(idle.clamp(IDLE_MIN, IDLE_MAX))
    }

    /// Returns whether there are fewer than two connections for each instance.
    pub fn is_scarce(self) -> bool {
        self.even_milli < SCARCE_SHARE
    }
}
