//! Where a link listens, where it leads, and between which zones it runs.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

/// The zone of callers outside the platform.
pub const CLIENT: &str = "client";
/// The zone of those who connect from an IP number that no `Zone` names.
pub const UNKNOWN: &str = "unknown";

/// One forwarder, written `LISTEN=TO,FROM,ZONE`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The address to forward to.
    pub to: SocketAddr,
    /// The zone of those who connect; `None` (written `*`) tells it from their IP number.
    pub from_zone: Option<Arc<str>>,
    /// The zone of the target.
    pub to_zone: Arc<str>,
}

impl FromStr for Route {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || format!("{text:?} is not LISTEN=TO,FROM-ZONE,TO-ZONE");
        let (listen, rest) = text.split_once('=').ok_or_else(wrong)?;
        let parts: Vec<&str> = rest.split(',').collect();
        let [to, from, zone] = parts.as_slice() else {
            return Err(wrong());
        };
        Ok(Self {
            listen: listen.parse().map_err(|_| wrong())?,
            to: to.parse().map_err(|_| wrong())?,
            from_zone: (*from != "*").then(|| Arc::from(*from)),
            to_zone: Arc::from(*zone),
        })
    }
}

/// The IP numbers of one zone, written `NAME=IP,IP`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// The zone's name.
    pub name: Arc<str>,
    /// The hosts in it.
    pub hosts: Vec<IpAddr>,
}

impl FromStr for Zone {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || format!("{text:?} is not NAME=IP,IP");
        let (name, hosts) = text.split_once('=').ok_or_else(wrong)?;
        let hosts: Result<Vec<IpAddr>, _> = hosts.split(',').map(str::parse).collect();
        Ok(Self {
            name: Arc::from(name),
            hosts: hosts.map_err(|_| wrong())?,
        })
    }
}
