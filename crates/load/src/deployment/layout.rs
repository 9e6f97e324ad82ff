//! The loopback addresses of a deployment.

use super::Deployment;

/// The user with which the proxy logs in to servers.
pub const ENDPOINT_USER: &str = "yucca";
/// The password of that user.
pub const ENDPOINT_PASSWORD: &str = "endpoint-password";
/// The database on every server.
pub const DATABASE: &str = "main";
/// The operator token that may change settings.
pub const WRITE_TOKEN: &str = "write-token-of-experiments";
/// The operator token that may only read.
pub const READ_TOKEN: &str = "read-token-of-experiments";
/// The secret that the instances share.
pub(super) const FLEET_SECRET: &str = "fleet-secret-of-the-experiments-1";

impl Deployment {
    fn address(&self, net: usize, host: usize, port: u16) -> String {
        format!("{}.{net}.{host}:{port}", self.network)
    }

    /// Returns the address at which an instance takes callers.
    pub fn listen(&self, instance: usize) -> String {
        self.address(10, instance + 1, 6432)
    }

    /// Returns the address at which an instance takes other instances.
    pub fn peer(&self, instance: usize) -> String {
        self.address(10, instance + 1, 7000)
    }

    /// Returns the address at which an instance takes operators.
    pub fn admin(&self, instance: usize) -> String {
        self.address(10, instance + 1, 8000)
    }

    /// Returns the address of the link through which clients reach an instance.
    pub fn client_link(&self, instance: usize) -> String {
        self.address(11, instance + 1, 6432)
    }

    /// Returns the address on which a server listens.
    pub fn server_address(&self, group: usize, server: usize) -> String {
        self.address(30 + group, server + 1, 5432)
    }

    /// Returns the address of the link through which an instance reaches a server.
    pub fn server_link(&self, instance: usize, group: usize, server: usize) -> String {
        self.address(100 + 4 * instance + group, server + 1, 5432)
    }

    /// Returns the address of the link through which an instance reaches another one.
    pub fn peer_link(&self, instance: usize, other: usize) -> String {
        self.address(150 + instance, other + 1, 7000)
    }

    /// Returns the address of the link through which a client reaches a server past the proxy.
    pub fn direct_link(&self, group: usize, server: usize) -> String {
        self.address(50 + group, server + 1, 5432)
    }

    /// Returns the control port of a group.
    pub fn group_control(&self, group: usize) -> String {
        self.address(30 + group, 100, 9100)
    }

    /// Returns the address of the platform's service.
    pub fn platform(&self) -> String {
        self.address(2, 1, 9000)
    }

    /// Returns the address of the link through which an instance reaches the platform.
    pub fn platform_link(&self, instance: usize) -> String {
        self.address(2, 10 + instance, 9000)
    }

    /// Returns the control port of the platform's service.
    pub fn platform_control(&self) -> String {
        self.address(2, 1, 9100)
    }

    /// Returns the control port of the links.
    pub fn link_control(&self) -> String {
        self.address(2, 2, 9100)
    }
}
