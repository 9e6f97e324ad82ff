//! One complete revision of the settings.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use account::rate::Limit;
use clock::Span;

/// The consistency level of a route's reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Reads see every commit acknowledged before them.
    Latest,
    /// Reads see every commit acknowledged longer ago than the staleness bound.
    Bounded {
        /// The maximum age of a commit that a read may miss.
        staleness: Span,
    },
    /// As `Bounded`; in addition, reads see all commits of their own session.
    ReadYourWrites {
        /// The maximum age of a commit that a read may miss.
        staleness: Span,
    },
}

/// The route of the statements for one database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The database group.
    pub group: Arc<str>,
    /// The consistency level of reads.
    pub freshness: Freshness,
    /// The time limit of one statement.
    pub statement_timeout: Span,
    /// The target latency of an operation.
    pub target_latency: Span,
    /// The queueing priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// A database group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Connections that one server accepts from all instances together.
    pub max_connections: usize,
    /// Replicas that must hold a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// How long a server is cold after its start or the evacuation of its zone; zero if it never is.
    pub warmup: Span,
    /// Requests a second, in thousandths, to a cold server from all instances together; zero means
    /// no limit.
    pub warmup_rate_milli: u64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The valid keys.
    pub keys: BTreeSet<Arc<str>>,
    /// The rate limit of operations over all instances together.
    pub limit: Limit,
}

/// One revision of the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Revision {
    /// The revision number, which grows with each change.
    pub number: u64,
    /// The routes, by database.
    pub routes: BTreeMap<Arc<str>, Arc<Route>>,
    /// The database groups.
    pub groups: BTreeMap<Arc<str>, Group>,
    /// The client accounts.
    pub accounts: BTreeMap<Arc<str>, Account>,
    /// How long a transaction may stay idle before it is aborted; zero means no limit.
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
