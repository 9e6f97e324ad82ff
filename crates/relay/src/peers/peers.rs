//! Sends and receives datagrams between instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Span;
use endpoint::Position;
use seal::Authenticator;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::Error;
use crate::failover;
use crate::group::Appointment;
use crate::group::Group;
use crate::metrics::Rejection;
use crate::node::Node;
use crate::node::lock;
use crate::peers::Datagram;
use crate::peers::Payload;
use crate::peers::Release;
use crate::peers::Report;
use crate::peers::Update;
use crate::peers::View;
use crate::peers::report::offset;
use crate::task;

/// Separates this use of the fleet's secret from other uses.
const SEAL_PURPOSE: &[u8] = b"yuccamount relay 1";
/// Length of the authentication code; 128 bits can't be guessed.
const MAC_BYTES: usize = 16;
/// Maximum size of a datagram; it fits into one Ethernet frame.
const DATAGRAM_BYTES_MAX: usize = 1_400;
/// Queue capacity for the views of one query; a fleet has fewer reachable instances.
const VIEWS_MAX: usize = 64;
/// Maximum number of reports in a datagram.
const REPORTS_MAX: usize = 24;
/// Age up to which another instance's load counts for the mean.
const LOAD_AGE_MAX: Span = Span::from_secs(2);
/// Age up to which a proof of leadership is reported in a view.
const PROOF_AGE_MAX: Span = Span::from_millis(500);

/// The socket for datagrams between instances.
///
/// A datagram may be lost, duplicated or delayed; correctness depends on no single one.
pub struct Peers {
    socket: UdpSocket,
    /// Derived from the fleet's secret; until that is known, nothing is sent or accepted.
    seal: OnceLock<Authenticator>,
    next_query: AtomicU64,
    /// Outstanding queries for views, by number.
    queries: Mutex<BTreeMap<u64, mpsc::Sender<(SocketAddr, View)>>>,
    /// Outstanding requests to give up a leader lease, by number; the names of those that did.
    revocations: Mutex<BTreeMap<u64, mpsc::Sender<Release>>>,
    /// Outstanding requests to demote a primary, by number; its last position.
    demotions: Mutex<BTreeMap<u64, mpsc::Sender<Position>>>,
}

impl Peers {
    /// Binds the address at which other instances reach this one.
    ///
    /// Returns `Error::Setup` if the address can't be bound.
    pub async fn bind(address: SocketAddr) -> Result<Self, Error> {
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|cause| Error::Setup {
                step: "bind the address for peers",
                why: format!("{address}: {cause}"),
            })?;
        Ok(Self {
            socket,
            seal: OnceLock::new(),
            next_query: AtomicU64::new(1),
            queries: Mutex::default(),
            revocations: Mutex::default(),
            demotions: Mutex::default(),
        })
    }

    /// Sets the fleet's secret; only the first call has an effect.
    pub fn set_secret(&self, secret: &[u8]) {
        self.seal
            .get_or_init(|| Authenticator::open(secret, SEAL_PURPOSE, MAC_BYTES));
    }

    /// Sends a datagram; a failure is logged only.
    pub async fn send(&self, node: &Node, address: SocketAddr, payload: Payload) {
        let Some(seal) = self.seal.get() else {
            return;
        };
        let datagram = Datagram {
            from: Arc::clone(&node.options.name),
            payload,
        };
        let mut bytes = match datagram.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("event=datagram-send-failed to={address} why=\"{error}\"");
                return;
            }
        };
        seal.append_tag(&mut bytes);
        node.metrics.peer_bytes.inc_by(bytes.len() as u64);
        if let Err(error) = self.socket.send_to(&bytes, address).await {
            log::debug!("event=datagram-send-failed to={address} why=\"{error}\"");
        }
    }

    /// Queries all live instances for their view of a group and returns the views that arrive
    /// within `wait`, with the address of each instance.
    pub async fn query_views(
        &self,
        node: &Node,
        group: &Arc<str>,
        wait: Duration,
    ) -> Vec<(SocketAddr, View)> {
        let addresses = node.peer_addresses();
        let id = self.next_query.fetch_add(1, Ordering::Relaxed);
        let (sender, mut receiver) = mpsc::channel(VIEWS_MAX);
        lock(&self.queries).insert(id, sender);
        for address in addresses.values() {
            let payload = Payload::GetView {
                id,
                group: Arc::clone(group),
            };
            self.send(node, *address, payload).await;
        }
        let deadline = Instant::now() + wait;
        let mut views = Vec::new();
        while views.len() < addresses.len()
            && let Ok(Some(view)) = tokio::time::timeout_at(deadline, receiver.recv()).await
        {
            views.push(view);
        }
        lock(&self.queries).remove(&id);
        views
    }

    /// Asks instances to stop relying on a group's leader; returns those that confirmed it within
    /// `wait`, with the highest position of a commit acknowledged through each.
    pub async fn end_reliance(
        &self,
        node: &Node,
        group: &Arc<str>,
        token: u64,
        instances: &BTreeMap<Arc<str>, SocketAddr>,
        wait: Duration,
    ) -> Vec<Release> {
        let id = self.next_query.fetch_add(1, Ordering::Relaxed);
        let (sender, mut receiver) = mpsc::channel(instances.len().max(1));
        lock(&self.revocations).insert(id, sender);
        for address in instances.values() {
            let payload = Payload::EndReliance {
                id,
                group: Arc::clone(group),
                token,
            };
            self.send(node, *address, payload).await;
        }
        let deadline = Instant::now() + wait;
        let mut given_up = Vec::new();
        while given_up.len() < instances.len()
            && let Ok(Some(ended)) = tokio::time::timeout_at(deadline, receiver.recv()).await
        {
            given_up.push(ended);
        }
        lock(&self.revocations).remove(&id);
        given_up
    }

    /// Asks instances to demote a group's primary; returns its last position as soon as one of them
    /// did, `None` if none did within `wait`.
    pub async fn demote_leader(
        &self,
        node: &Node,
        group: &Arc<str>,
        server: &Arc<str>,
        term: u64,
        instances: &[SocketAddr],
        wait: Duration,
    ) -> Option<Position> {
        let id = self.next_query.fetch_add(1, Ordering::Relaxed);
        let (sender, mut receiver) = mpsc::channel(instances.len().max(1));
        lock(&self.demotions).insert(id, sender);
        for address in instances {
            let payload = Payload::DemoteLeader {
                id,
                group: Arc::clone(group),
                server: Arc::clone(server),
                term,
            };
            self.send(node, *address, payload).await;
        }
        let demoted = tokio::time::timeout(wait, receiver.recv()).await;
        lock(&self.demotions).remove(&id);
        demoted.ok().flatten()
    }
}

/// Receives and handles datagrams until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut buffer = [0; DATAGRAM_BYTES_MAX];
    loop {
        let (length, address) = match node.peers.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("event=datagram-receive-failed why=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let seal = node.peers.seal.get();
        let Some(bytes) = seal.and_then(|seal| seal.verify(&buffer[..length])) else {
            node.metrics.datagram_rejected(Rejection::Unauthenticated);
            node.logger
                .info(format_args!("event=datagram-refused from={address}"));
            continue;
        };
        match Datagram::decode(bytes) {
            Ok((datagram, version)) => {
                node.metrics.datagram_received(version);
                handle(&node, address, datagram).await;
            }
            // During an upgrade this may be a message that only later builds know.
            Err(error) => {
                node.metrics.datagram_rejected(Rejection::Unknown);
                node.logger.info(format_args!(
                    "event=datagram-malformed from={address} why=\"{error}\""
                ));
            }
        }
    }
}

async fn handle(node: &Arc<Node>, address: SocketAddr, datagram: Datagram) {
    match datagram.payload {
        Payload::Rate(message) => {
            let (sends, is_urgent) = {
                let mut limiter = lock(&node.limiter);
                let sends = limiter.on_message(node.now(), &datagram.from, message);
                (sends, limiter.is_urgent())
            };
            node.tokens_received.notify_waiters();
            if is_urgent {
                node.limiter_due.notify_one();
            }
            for send in sends {
                node.peers
                    .send(node, address, Payload::Rate(send.message))
                    .await;
            }
        }
        Payload::GetView { id, group } => {
            if let Some(group) = node.group(&group) {
                // The sender is about to replace the leader.
                lock(&group.recheck).on_replacement(node.now());
                let view = view(node, &group);
                log_view(node, &group, &datagram.from);
                node.peers
                    .send(node, address, Payload::View { id, view })
                    .await;
            }
        }
        Payload::Load(load) => {
            lock(&node.shares).on_report(node.now(), &datagram.from, load);
        }
        Payload::GetConfirmation { id, topic } => {
            lock(node.confirmations.get(topic)).on_query(node.now(), address, id);
        }
        Payload::Confirmed {
            id,
            topic,
            revision,
            since_ms,
        } => {
            if lock(node.confirmations.get(topic)).on_response(id, revision, since_ms) {
                node.confirmed.get(topic).notify_one();
            }
        }
        Payload::RevokeLeaderLease { id, group, token } => {
            if let Some(group) = node.group(&group) {
                group.revoke_leader_lease(token);
            }
            let payload = Payload::LeaderLeaseRevoked { id };
            node.peers.send(node, address, payload).await;
        }
        // The answer of an earlier build, which acknowledges commits all the same.
        Payload::LeaderLeaseRevoked { .. } => {
            log::debug!("event=revocation-ignored from={address}");
        }
        Payload::EndReliance { id, group, token } => {
            // An instance that has yet to open the group must not confirm.
            if let Some(group) = node.group(&group) {
                if group.is_in_failover.load(Ordering::Relaxed) {
                    log::info!(
                        "event=newer-replacement group={} from={} token={token} newest_token={}",
                        group.name,
                        datagram.from,
                        node.leases.newest_token(&group.name)
                    );
                }
                group.revoke_leader_lease(token);
                let tenures = &node.leases.tenures;
                tenures.on_token(&group.name, token);
                if !tenures.is_older_running(&group.name, token) {
                    confirm_end(node, &group, address, id).await;
                    return;
                }
                let node = Arc::clone(node);
                tokio::spawn(async move {
                    // Its orders and commands must not follow those of the sender.
                    let tenures = &node.leases.tenures;
                    tenures.wait_for_end(&group.name, token).await;
                    confirm_end(&node, &group, address, id).await;
                });
            }
        }
        Payload::ReplacementSettled {
            group,
            token,
            leader,
            reign,
            end,
        } => {
            if let Some(group) = node.group(&group) {
                group.on_appointment_announced(Appointment {
                    token,
                    leader,
                    is_settled: true,
                    reign,
                    end,
                });
                node.leader_appointed.notify_one();
            }
        }
        Payload::RelianceEnded { id, acknowledged } => {
            let sender = lock(&node.peers.revocations).get(&id).cloned();
            let ended = Release {
                instance: datagram.from,
                acknowledged,
            };
            let is_taken = sender.is_some_and(|sender| sender.try_send(ended).is_ok());
            if !is_taken {
                log::debug!("event=reliance-end-late from={address}");
            }
        }
        Payload::GetReports { id, load } => {
            let received = node.now();
            let mean_load = {
                let own = lock(&node.load).per_second();
                let mut reports = lock(&node.reports);
                reports.on_load(received, address, load);
                reports.mean_load(received, own, LOAD_AGE_MAX)
            };
            let reports = node.leader_reports(received);
            let mut parts: Vec<&[Report]> = reports.chunks(REPORTS_MAX).collect();
            if parts.is_empty() {
                parts.push(&[]);
            }
            for part in parts {
                let payload = Payload::Reports {
                    id,
                    mean_load,
                    reports: part.to_vec(),
                };
                node.peers.send(node, address, payload).await;
            }
            if let Some(counts) = node.fleet_loads(received, Some(address)) {
                let payload = Payload::FleetLoads { id, counts };
                node.peers.send(node, address, payload).await;
            }
        }
        Payload::ServerLoads(counts) => {
            let now = node.now();
            lock(&node.reports)
                .server_loads
                .on_report(now, address, counts);
            if let Some(counts) = node.fleet_loads(now, None) {
                node.apply_loads(now, &counts);
            }
        }
        Payload::FleetLoads { id, counts } => {
            let sent = lock(&node.reports).sent(id);
            if let Some(sent) = sent {
                node.apply_loads(sent, &counts);
            }
        }
        Payload::Reports {
            id,
            mean_load,
            reports,
        } => {
            let Some(sent) = lock(&node.reports).on_response(id) else {
                return;
            };
            lock(&node.shares).on_mean(node.now(), mean_load);
            for report in reports {
                if let Some(group) = node.group(&report.group) {
                    let at = offset(sent, report.since_ms);
                    group.on_report(at, &report.server, report.position);
                }
            }
            node.reported.notify_one();
        }
        Payload::NewLeader { group, server } => {
            let Some(group) = node.group(&group) else {
                return;
            };
            node.leader_appointed.notify_one();
            if node.has_reports.load(Ordering::Relaxed) {
                group.on_other_leader(&server);
            } else if let Some(server) = group.server(&server) {
                let node = Arc::clone(node);
                tokio::spawn(async move { task::leader::probe(&node, &group, &server).await });
            }
        }
        Payload::View { id, view } => {
            let sender = lock(&node.peers.queries).get(&id).cloned();
            let is_taken = sender.is_some_and(|sender| sender.try_send((address, view)).is_ok());
            if !is_taken {
                log::debug!("event=view-late from={}", datagram.from);
            }
        }
        Payload::GetEntries { id, known } => {
            let parts = lock(&node.catalog).answer(id, known);
            for part in parts {
                node.peers.send(node, address, part).await;
            }
        }
        Payload::Entries {
            id,
            part,
            count,
            version,
            digest,
            is_full,
            changes,
        } => {
            let update = Update {
                version,
                digest,
                is_full,
                changes,
            };
            if lock(&node.transfer).on_part(id, part, count, update) {
                node.transferred.notify_one();
            }
        }
        Payload::DemoteLeader {
            id,
            group,
            server,
            term,
        } => {
            let group = node.group(&group);
            let known = group.and_then(|group| Some((group.server(&server)?, group)));
            if let Some((server, group)) = known {
                let node = Arc::clone(node);
                tokio::spawn(async move {
                    let received = failover::demote(&node, &group, &server, term).await;
                    if let Some(received) = received {
                        let payload = Payload::LeaderDemoted { id, received };
                        node.peers.send(&node, address, payload).await;
                    }
                });
            }
        }
        Payload::LeaderDemoted { id, received } => {
            let sender = lock(&node.peers.demotions).get(&id).cloned();
            let is_taken = sender.is_some_and(|sender| sender.try_send(received).is_ok());
            if !is_taken {
                log::debug!("event=demotion-late from={address}");
            }
        }
    }
}

/// Confirms that this instance relies on a group's leader no more.
async fn confirm_end(node: &Node, group: &Group, address: SocketAddr, id: u64) {
    let acknowledged = lock(&group.leadership).acknowledged();
    let payload = Payload::RelianceEnded { id, acknowledged };
    node.peers.send(node, address, payload).await;
}

/// Logs what a view rests on; it names a leader only if the newest proof is recent.
fn log_view(node: &Node, group: &Group, from: &Arc<str>) {
    let leadership = lock(&group.leadership).clone();
    let now = node.now();
    let commits = group
        .leader()
        .map_or(0, |leader| lock(&leader.health).outstanding_commits());
    log::info!(
        "event=view-given group={} to={from} leader={} proof_age_ms={} commit_age_ms={} commits_in_flight={commits}",
        group.name,
        leadership.server().map_or("-", |server| server),
        now.since(leadership.proven_at()).as_millis(),
        now.since(leadership.committed_at()).as_millis()
    );
}

fn view(node: &Node, group: &Group) -> View {
    let leadership = lock(&group.leadership);
    let is_recent = leadership.proven_at() + PROOF_AGE_MAX >= node.now();
    View {
        is_prober: !node.has_reports.load(Ordering::Relaxed),
        leader: leadership.server().filter(|_| is_recent).cloned(),
        term: leadership.term(),
        token: node.leases.newest_token(&group.name),
        acknowledged: leadership.acknowledged(),
        commit_age_ms: node.now().since(leadership.committed_at()).as_millis(),
    }
}
