//! What a deployment consists of.

/// The names of the deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Name {
    /// Lumbrera Render Studio.
    Lumbrera,
    /// Tesfaye & Daughters Orienteering Entries.
    Tesfaye,
}

/// A deployment with its sizes and its work.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: Name,
    /// The first two numbers of all its addresses.
    pub network: &'static str,
    /// The availability zones.
    pub zones: &'static [&'static str],
    /// The zone of each instance, in the order of their names `i1`, `i2` and so on.
    pub instances: &'static [&'static str],
    /// Milliseconds one way between two zones.
    pub zone_delay_ms: f64,
    /// Milliseconds one way to clients.
    pub client_delay_ms: f64,
    /// The service that callers name.
    pub service: &'static str,
    /// The database groups, one a route.
    pub groups: &'static [Group],
    /// Servers of a group, one a zone.
    pub servers: usize,
    /// Statements at once on a server.
    pub slots: usize,
    /// Connections to a group.
    pub connections: usize,
    /// Milliseconds to open a connection.
    pub connect_ms: u64,
    /// Milliseconds from receiving to applying a record.
    pub lag_ms: u64,
    /// Milliseconds that a statement occupies its slot.
    pub work_ms: u64,
    /// The client accounts.
    pub accounts: &'static [Account],
    /// Milliseconds until a request is given up.
    pub deadline_ms: u64,
}

/// A database group and the route that leads to it.
#[derive(Clone, Copy, Debug)]
pub struct Group {
    /// Its name, which is the route's name as well.
    pub name: &'static str,
    /// The part of the callers on this route, by weight.
    pub weight: u32,
    /// What callers do on this route.
    pub roles: &'static [Role],
}

/// What a caller does.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    /// Its name.
    pub name: &'static str,
    /// The statement that it sends.
    pub kind: Kind,
    /// How often, by weight.
    pub weight: u32,
}

/// A kind of statement.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Inserts a row under an idempotency key.
    KeyedInsert,
    /// Inserts a row without one; it may not be repeated.
    Insert,
    /// Inserts two rows in one transaction.
    Transaction,
    /// Adds one to the caller's own row.
    Increment,
    /// Counts the caller's own rows.
    Count,
    /// Reads the caller's own row.
    Version,
}

impl Kind {
    /// Returns true if the statement returns rows.
    pub fn returns_rows(self) -> bool {
        matches!(self, Self::Increment | Self::Count | Self::Version)
    }

    /// Returns true if the statement changes data.
    pub fn is_write(self) -> bool {
        !matches!(self, Self::Count | Self::Version)
    }
}

/// A client account.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    /// Its name.
    pub name: &'static str,
    /// Its rate in requests a second over all instances.
    pub rate: u64,
    /// Its burst in requests over all instances.
    pub burst: u64,
}

/// A caller's place: its account, its route and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Route {
    /// Index of the account.
    pub account: usize,
    /// Index of the group.
    pub group: usize,
}

impl Deployment {
    /// Returns the name of an instance, counted from 0.
    pub fn instance(&self, index: usize) -> String {
        format!("i{}", index + 1)
    }

    /// Returns the name of a server of a group, both counted from 0.
    pub fn server(&self, group: usize, server: usize) -> String {
        format!("{}-{}", self.groups[group].name, server + 1)
    }

    /// Returns the zone of a server; the servers of a group are spread over the zones.
    pub fn server_zone(&self, group: usize, server: usize) -> &'static str {
        self.zones[(group + server) % self.zones.len()]
    }

    /// Returns the account that sends too much in a flood.
    pub fn flooding_account(&self) -> usize {
        1
    }

    /// Returns the account whose key is withdrawn.
    pub fn withdrawn_account(&self) -> usize {
        2
    }
}
