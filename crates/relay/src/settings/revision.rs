//! One revision of the settings, whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use account::rate::Limit;
use clock::Span;

/// How fresh the reads of a route are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Reads see every commit acknowledged before them.
    Latest,
    /// Reads see every commit acknowledged longer ago than this.
    Bounded {
        /// The largest age of what a read may miss.
        staleness: Span,
    },
    /// As `Bounded`; besides, reads see all commits of their own session.
    ReadYourWrites {
        /// The largest age of what a read may miss.
        staleness: Span,
    },
}

/// Where the statements for one database go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The database group.
    pub group: Arc<str>,
    /// How fresh reads are.
    pub freshness: Freshness,
    /// The longest time for one statement.
    pub statement_timeout: Span,
    /// The time within which an operation should end.
    pub target_latency: Span,
    /// 0 goes first.
    pub priority: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// A database group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Connections that one server takes, from all instances together.
    pub max_connections: usize,
    /// Replicas that hold a commit before it is acknowledged.
    pub sync_replicas: usize,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The keys in force.
    pub keys: BTreeSet<Arc<str>>,
    /// Operations over all instances together.
    pub limit: Limit,
}

/// One revision of the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Revision {
    /// Grows with each change.
    pub number: u64,
    /// The routes, by database.
    pub routes: BTreeMap<Arc<str>, Arc<Route>>,
    /// The database groups.
    pub groups: BTreeMap<Arc<str>, Group>,
    /// The client accounts.
    pub accounts: BTreeMap<Arc<str>, Account>,
    /// A transaction that rests longer may be ended.
    pub transaction_idle_timeout: Span,
}

impl Revision {
    /// Returns the account that holds a key.
    pub fn owner(&self, key: &str) -> Option<&Arc<str>> {
        self.accounts
            .iter()
            .find(|(_, account)| account.keys.contains(key))
            .map(|(name, _)| name)
    }
}
