//! Ends the other instances' reliance on a primary that is replaced.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use account::rate;
use account::rate::ROW_PREFIX;
use tokio::time::timeout;

use crate::failover::Bound;
use crate::failover::Revocation;
use crate::failover::bound::Source;
use crate::failover::row::TABLE_TIMEOUT;
use crate::group::COMMIT_LEASE;
use crate::group::Group;
use crate::group::LEADER_LEASE;
use crate::node::Fencing;
use crate::node::Node;

/// Maximum wait for other instances to give up their leader leases in one attempt.
const REVOCATION_TIMEOUT: Duration = Duration::from_millis(40);

/// The end of the other instances' reliance on a primary that is replaced.
pub struct Retirement {
    revocation: Revocation,
    /// The other instances registered in the table, by name.
    instances: BTreeMap<Arc<str>, SocketAddr>,
    /// The fencing token of the replacement.
    token: u64,
    /// The highest position of a commit acknowledged through an instance that gave its lease up.
    acknowledged: Bound,
}

impl Retirement {
    /// Gives up this instance's leader lease and finds out who else may hold one.
    ///
    /// The group's row must show the replacement with `token` already.
    pub async fn open(node: &Node, group: &Group, token: u64) -> Self {
        let recorded = node.now();
        group.revoke_leader_lease(token);
        let list = node.dependencies.table.list(ROW_PREFIX);
        let registered = match timeout(TABLE_TIMEOUT, list).await {
            Ok(Ok(rows)) => Some(rate::registered(&rows)),
            failed => {
                log::info!(
                    "event=instances-unread group={} why=\"{failed:?}\"",
                    group.name
                );
                None
            }
        };
        let others = registered.map(|mut registered| {
            registered.remove(&node.options.name);
            registered
        });
        let names = others
            .as_ref()
            .map(|others| others.keys().cloned().collect());
        let lease = match node.options.fencing {
            Fencing::Enforced => COMMIT_LEASE,
            // Reads rely on the leader, too.
            Fencing::Unchecked => LEADER_LEASE,
        };
        Self {
            revocation: Revocation::open(recorded, lease, names),
            instances: others.unwrap_or_default(),
            token,
            acknowledged: group.bound(),
        }
    }

    /// Asks the instances that may still rely on the primary to stop.
    pub async fn request(&mut self, node: &Node, group: &Group) {
        if self.has_ended(node) {
            return;
        }
        let mut awaited = self.instances.clone();
        awaited.retain(|name, _| self.revocation.awaited().contains(name));
        let given_up = node
            .peers
            .end_reliance(node, &group.name, self.token, &awaited, REVOCATION_TIMEOUT)
            .await;
        for release in given_up {
            self.revocation.on_given_up(&release.instance);
            let source = Source::Release(release.instance);
            self.acknowledged
                .raise(release.acknowledged, source, node.now());
        }
    }

    /// Returns the highest position of a commit known to have been acknowledged.
    pub fn acknowledged(&self) -> &Bound {
        &self.acknowledged
    }

    /// Returns whether no instance relies on the primary any more.
    pub fn has_ended(&self, node: &Node) -> bool {
        self.revocation.has_ended(node.now())
    }
}
