//! How often an instance uses a server.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::node::Share;

/// The time over which uses are counted.
const WINDOW: Span = Span::from_secs(2);

/// Counts the uses of a server in windows of two seconds.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Uses in the current window.
    current: u64,
    /// When the current window began.
    begun: Time,
    /// Uses in the window before.
    last: u64,
    /// The accounts of the uses in the current window.
    accounts: BTreeSet<Arc<str>>,
    /// The number of accounts, or of connections if there were more, in the window before.
    last_accounts: usize,
    /// The most connections that were open at a use in the current window.
    connections: usize,
}

impl Usage {
    /// Counts one use by an account while `connections` are open.
    pub fn on_use(&mut self, account: &Arc<str>, connections: usize) {
        self.current += 1;
        self.connections = self.connections.max(connections);
        if !self.accounts.contains(account) {
            self.accounts.insert(Arc::clone(account));
        }
    }

    /// Returns how long an unused connection is kept under a share of the server's connections.
    ///
    /// An account with several connections at a time counts as several accounts, as each of them
    /// stays open.
    pub fn idle_timeout(&mut self, now: Time, share: Share) -> Option<Span> {
        if now >= self.begun + WINDOW {
            self.last = self.current;
            self.last_accounts = self.accounts.len().max(self.connections);
            self.current = 0;
            self.accounts.clear();
            self.connections = 0;
            self.begun = now;
        }
        let accounts = self.accounts.len().max(self.connections);
        let accounts = accounts.max(self.last_accounts);
        share.idle_timeout(self.last.max(self.current), accounts, WINDOW)
    }
}
