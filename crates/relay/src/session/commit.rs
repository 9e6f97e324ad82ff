//! A write or commit from its sending to its acknowledgement.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Time;
use endpoint::Position;
use endpoint::Role;
use futures::future::join_all;

use crate::failover;
use crate::group::Acknowledgement;
use crate::group::Group;
use crate::group::Server;
use crate::message::Code;
use crate::message::Failure;
use crate::node::lock;
use crate::session::Job;

/// Maximum wait between two checks whether a commit may be acknowledged.
const CHECK_PERIOD: Duration = Duration::from_millis(25);

/// A write or commit from its sending to its acknowledgement.
pub struct Commit<'a> {
    job: &'a Job<'a>,
    /// The group, whose route may have changed since the transaction began.
    group: &'a Arc<Group>,
    server: Arc<str>,
    /// The server's address, which identifies its log; `None` if the server is gone.
    address: Option<SocketAddr>,
    sent: Time,
    /// The token of the latest replacement of the group's primary when the commit was sent.
    token: Option<u64>,
}

impl<'a> Commit<'a> {
    /// Opens a commit that is about to be sent to a server.
    pub fn open(job: &'a Job<'a>, group: &'a Arc<Group>, server: &Arc<str>) -> Self {
        let known = group.server(server);
        Self {
            job,
            group,
            server: Arc::clone(server),
            address: known.map(|server| lock(&server.entry).address),
            sent: job.node.now(),
            token: group.replacement_token(),
        }
    }

    /// Waits until the commit may be acknowledged, which the server has acknowledged at `position`.
    ///
    /// Fails if the commit may be missing in the log of a server that was promoted meanwhile, or if
    /// the statement's deadline passes before that is known.
    pub async fn acknowledge(&self, position: Position) -> Result<(), Failure> {
        let mut waits_for = None;
        loop {
            let acknowledgement = self
                .group
                .acknowledgement(self.token, self.address, position);
            let is_safe = match acknowledgement {
                Acknowledgement::Safe => true,
                Acknowledgement::Unproven => self.is_replicated(position).await,
                Acknowledgement::Undecided => false,
                Acknowledgement::Doubtful => return Err(self.doubt(acknowledgement, position)),
            };
            if is_safe {
                break;
            }
            if self.job.is_expired() {
                return Err(self.doubt(acknowledgement, position));
            }
            waits_for = Some(acknowledgement);
            self.job.wait_for_change(CHECK_PERIOD).await;
        }
        if let Some(reason) = waits_for {
            self.log("commit-delayed", reason, position);
        }
        self.group.on_commit(self.sent, &self.server, position);
        Ok(())
    }

    /// Returns whether all replicas that this instance knows hold the commit and follow its primary.
    ///
    /// A replacement pauses those that it surveys, and a server that was promoted raises their term.
    async fn is_replicated(&self, position: Position) -> bool {
        let servers = self.group.servers();
        let replicas: Vec<&Arc<Server>> = servers
            .iter()
            .filter(|server| server.name != self.server)
            .collect();
        if replicas.is_empty() {
            return false;
        }
        let statuses = replicas
            .iter()
            .map(|server| failover::status(self.job.node, server));
        join_all(statuses).await.iter().all(|status| {
            status.as_ref().is_some_and(|status| {
                status.role == Role::Replica
                    && status.paused_term == 0
                    && status.term == position.term
                    && status.received >= position
            })
        })
    }

    /// Returns the failure of a commit that may be lost.
    fn doubt(&self, reason: Acknowledgement, position: Position) -> Failure {
        self.job.node.metrics.commits_in_doubt.inc();
        self.log("commit-doubtful", reason, position);
        let text = "the primary was replaced and may have lost the commit";
        Failure::new(Code::InDoubt, text)
    }

    fn log(&self, event: &str, reason: Acknowledgement, position: Position) {
        self.job.node.logger.info(format_args!(
            "event={event} id={} group={} server={} position={position} reason={reason} ms={}",
            self.job.id,
            self.group.name,
            self.server,
            self.job.node.now().since(self.sent).as_millis()
        ));
    }
}
