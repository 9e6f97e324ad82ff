//! One instance's view of one group, and the actions that it takes.

mod choice;
mod input;
mod order;
mod promotion;
mod proof;
mod query;
mod stall;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;
use timeline::Event;
use timeline::Kind;
use timeline::event;

use crate::Action;
use crate::Member;
use crate::Phase;
use crate::Policy;
use crate::Row;
use crate::Votes;
use crate::freshness::Freshness;
use crate::lease::Lease;
use crate::server::Server;
use stall::Stall;

/// How long a commit may stay without a result before the step is retried.
const COMMIT_TIMEOUT: Span = Span::from_secs(2);

/// The interval between two inputs, in polls, above which the process counts as paused.
const PAUSE_POLLS: u64 = 4;

/// One instance's view of one group.
///
/// Call `tick` after every input and at least every few milliseconds.
pub struct View {
    instance: Arc<str>,
    group: Arc<str>,
    policy: Policy,
    servers: BTreeMap<Arc<str>, Server>,
    lease: Lease,
    freshness: Freshness,
    /// The highest term of any steady row or server status; it never decreases.
    term: u64,
    /// When `term` last increased.
    term_since: Time,
    stall: Option<Stall>,
    /// The highest position that this view proved for an acknowledgement.
    proven: Position,
    /// Whether another view has taken over the group; nothing is proven any more.
    is_closed: bool,
    /// The time of the last input or tick.
    last_run: Time,
    /// When this process started or resumed; server silence counts from here at the earliest.
    running_since: Time,
    leaving: BTreeSet<Arc<str>>,
    /// The endpoints of evacuated zones, with the time from which a primary among them gets
    /// nothing; none of them is promoted.
    evacuated: BTreeMap<Arc<str>, Time>,
    handover: Option<Handover>,
    votes: Option<(Time, Votes)>,
    /// The number of instances that promote before this one when several may do so.
    rank: u64,
    /// Since when a majority of the votes calls the primary dead.
    agreed_since: Option<Time>,
    promotion: Promotion,
    /// When the commit in flight was requested.
    pending: Option<Time>,
    /// The next step needs a read of the row that started after this time.
    reread_from: Time,
    asked_at: Time,
    polled_at: Time,
    /// Whether the servers are to be queried before the next regular poll.
    extra_poll: bool,
    read_at: Time,
    /// Whether the row is to be read before the next regular read.
    extra_read: bool,
    /// The last recorded reason for not promoting.
    obstacle: Option<&'static str>,
    actions: Vec<Action>,
}

/// A requested planned handover.
#[derive(Clone, Debug)]
struct Handover {
    asked_at: Time,
    why: Arc<str>,
    from: Arc<str>,
}

/// The progress of the promotion that this instance carries out, in addition to the row.
#[derive(Clone, Debug, Default)]
struct Promotion {
    /// The ordered term; the other fields belong to it.
    term: u64,
    /// The instances that may hold a table proof of an earlier term, once listed.
    instances: Option<BTreeSet<Arc<str>>>,
    /// The instances that confirmed that they gave up their proofs.
    acknowledged: BTreeSet<Arc<str>>,
    listed_at: Time,
    announced_at: Time,
    promoted_at: Time,
    /// When the last table proof of an earlier term had expired or been given up.
    expired_at: Option<Time>,
}

impl View {
    /// Opens the view of a group with these servers.
    pub fn open(
        now: Time,
        instance: Arc<str>,
        group: Arc<str>,
        members: Vec<Member>,
        policy: Policy,
    ) -> Self {
        assert!(policy.proof_lease > Span::ZERO, "proofs need a lease");
        let servers = members
            .into_iter()
            .map(|member| (member.endpoint, Server::new(member.zone)))
            .collect();
        Self {
            instance,
            group,
            policy,
            servers,
            lease: Lease::default(),
            freshness: Freshness::default(),
            term: 0,
            term_since: Time::ZERO,
            stall: None,
            proven: Position::default(),
            is_closed: false,
            last_run: now,
            running_since: now,
            leaving: BTreeSet::new(),
            evacuated: BTreeMap::new(),
            handover: None,
            votes: None,
            rank: 0,
            agreed_since: None,
            promotion: Promotion::default(),
            pending: None,
            reread_from: Time::ZERO,
            asked_at: Time::ZERO,
            polled_at: Time::ZERO,
            extra_poll: false,
            read_at: Time::ZERO,
            extra_read: false,
            obstacle: None,
            actions: Vec::new(),
        }
    }

    /// Advances to `now` and returns the requested actions.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.note_running(now);
        self.step(now);
        self.poll(now);
        std::mem::take(&mut self.actions)
    }

    /// Requests the extra queries that are due.
    ///
    /// Extra reads of the table are spaced further apart than extra queries of the servers, to
    /// limit the load on the table.
    fn poll(&mut self, now: Time) {
        if self.extra_read && now.since(self.read_at) >= self.policy.poll_interval {
            self.extra_read = false;
            self.extra_poll = false;
            self.read_at = now;
            self.polled_at = now;
            self.actions.push(Action::PollAll);
        }
        if self.extra_poll && now.since(self.polled_at) >= self.policy.extra_poll_interval {
            self.extra_poll = false;
            self.polled_at = now;
            self.actions.push(Action::PollServers);
        }
    }

    /// Records that the process is running; after a pause, earlier votes and silence are void.
    fn note_running(&mut self, now: Time) {
        let pause = times(self.policy.poll_interval, PAUSE_POLLS);
        if now.since(self.last_run) > pause {
            self.running_since = now;
            self.agreed_since = None;
            self.votes = None;
        }
        self.last_run = self.last_run.max(now);
    }

    /// Takes the next step of a promotion, if one is due.
    fn step(&mut self, now: Time) {
        if let Some(since) = self.pending {
            if now.since(since) < COMMIT_TIMEOUT {
                return;
            }
            self.pending = None;
            self.reread_from = now;
        }
        if self.lease.read_started <= self.reread_from {
            return;
        }
        let Some((row, version)) = self.lease.row.clone() else {
            return;
        };
        match row.phase {
            Phase::Steady => self.consider_order(now, &row, version),
            Phase::Ordered if row.promoter == self.instance => {
                self.drive_promotion(now, &row, version)
            }
            Phase::Ordered => self.consider_takeover(now, &row, version),
        }
    }

    /// Requests a conditional write of the row's next revision.
    fn commit(&mut self, now: Time, expected: u64, mut row: Row) {
        row.revision += 1;
        row.promoter = Arc::clone(&self.instance);
        self.pending = Some(now);
        self.actions.push(Action::Commit { expected, row });
    }

    /// Returns the number of servers that form a majority.
    fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// Returns true if a majority of the servers responds to this instance.
    fn sees_majority(&self, now: Time) -> bool {
        let answering = self
            .servers
            .values()
            .filter(|server| server.is_answering(now, &self.policy))
            .count();
        answering >= self.majority()
    }

    /// Returns true if a primary has not responded for too long, has become a replica, does not
    /// replicate to any other server, or is not one of the group's servers.
    fn is_suspect(&self, now: Time, primary: &str) -> bool {
        self.servers.get(primary).is_none_or(|server| {
            server.is_replica()
                || server.is_suspect(now, self.running_since, &self.policy)
                || self.is_stalled(now, primary)
        })
    }

    /// Records a timeline event of this group.
    fn record(&mut self, event: Event) {
        let event = event.with("group", &self.group);
        self.actions.push(Action::Event(event));
    }

    /// Records why no promotion takes place, unless the last recorded reason is the same.
    fn record_obstacle(&mut self, reason: &'static str) {
        if self.obstacle == Some(reason) {
            return;
        }
        self.obstacle = Some(reason);
        let obstacle = event(Kind::Group, "no-promotion")
            .with("term", self.term)
            .with("reason", reason);
        self.record(obstacle);
    }
}

/// Multiplies a span, saturating.
fn times(span: Span, count: u64) -> Span {
    Span::from_micros(span.as_micros().saturating_mul(count))
}
