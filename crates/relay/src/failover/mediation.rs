//! Demotes a primary that this instance doesn't reach, through others that do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use endpoint::Position;

use crate::group::Group;
use crate::group::Server;
use crate::node::Node;
use crate::peers::View;

/// How many instances are asked; each opens or takes a connection to the primary.
const INSTANCES_MAX: usize = 3;
/// Maximum wait for a demotion through another instance: two round trips between zones and a turn at
/// the server.
const DEMOTION_TIMEOUT: Duration = Duration::from_millis(150);

/// The other instances that reach a primary.
///
/// A primary that some instances reach may acknowledge commits that the chosen server lacks, with the
/// help of a replica that joins or restarts after the survey. It can't once it is demoted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mediation {
    /// The addresses of the instances, those first that committed at the primary last.
    instances: Vec<SocketAddr>,
}

impl Mediation {
    /// Chooses the instances by their views; `old` is the primary.
    pub fn open(views: &[(SocketAddr, View)], old: Option<&Arc<str>>) -> Self {
        let mut reaching: Vec<&(SocketAddr, View)> = views
            .iter()
            .filter(|(_, view)| view.confirms(old))
            .collect();
        reaching.sort_by_key(|(_, view)| (view.commit_age_ms, !view.is_prober));
        let addresses = reaching.iter().map(|(address, _)| *address);
        Self {
            instances: addresses.take(INSTANCES_MAX).collect(),
        }
    }

    /// Returns the instances.
    pub fn instances(&self) -> &[SocketAddr] {
        &self.instances
    }

    /// Asks the instances to demote the primary; returns its last position if one of them did.
    pub async fn request(
        &self,
        node: &Node,
        group: &Group,
        server: &Server,
        term: u64,
    ) -> Option<Position> {
        let demoted = node
            .peers
            .demote_leader(
                node,
                &group.name,
                &server.name,
                term,
                &self.instances,
                DEMOTION_TIMEOUT,
            )
            .await;
        log::info!(
            "event=primary-demoted-by-others group={} server={} asked={} position=\"{demoted:?}\"",
            group.name,
            server.name,
            self.instances.len()
        );
        demoted
    }
}
