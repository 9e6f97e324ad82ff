//! The checked settings of one process.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;

/// Everything that a process is told at its start.
#[derive(Clone)]
pub struct Options {
    /// The instance's name, unique in the fleet.
    pub name: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The IP number and port for callers.
    pub listen: Arc<str>,
    /// The IP number and port for other instances.
    pub peer: Arc<str>,
    /// The IP number and port for operators.
    pub admin: Arc<str>,
    /// The base address of the platform's service.
    pub platform: Arc<str>,
    /// The fleet's name.
    pub fleet: Arc<str>,
    /// The secret that the instances of the fleet share.
    pub fleet_secret: Arc<str>,
    /// The secret before the last rotation; tokens signed with it are still accepted.
    pub previous_fleet_secret: Option<Arc<str>>,
    /// The user at endpoints whose group names none.
    pub endpoint_user: Arc<str>,
    /// The password at endpoints.
    pub endpoint_password: Arc<str>,
    /// The operators' token for reading.
    pub admin_token_read: Arc<str>,
    /// The operators' token for reading and writing.
    pub admin_token_write: Arc<str>,
    /// The certificate chain and the key for TLS, in PEM files.
    pub tls: Option<(PathBuf, PathBuf)>,
    /// Where to connect instead, by the address that others announce.
    pub via: BTreeMap<Arc<str>, Arc<str>>,
    /// Peers' addresses to ask first, for starts while the platform is down.
    pub join: Vec<Arc<str>>,
    /// The most detailed level of log lines.
    pub log_level: log::LevelFilter,
}

impl Options {
    /// Returns the address by which this process reaches an announced address.
    pub fn reach(&self, address: &Arc<str>) -> Arc<str> {
        Arc::clone(self.via.get(address).unwrap_or(address))
    }
}

impl fmt::Debug for Options {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Secrets and tokens are left out.
        f.debug_struct("Options")
            .field("name", &self.name)
            .field("zone", &self.zone)
            .field("listen", &self.listen)
            .field("peer", &self.peer)
            .field("admin", &self.admin)
            .finish_non_exhaustive()
    }
}
