//! What every request of a session needs.

use std::sync::Arc;
use std::time::Duration;

use account::queue::Class;
use clock::Span;
use clock::Time;
use endpoint::Error;
use front::Refusal;
use group::Ack;
use session::Bootstrap;
use session::Floors;
use session::Router;
use settings::Effective;
use tokio::time::timeout;

use super::cancel::Slot;
use super::refuse;
use crate::group::Handle;
use crate::group::Link;
use crate::node::Entry;
use crate::node::Node;

/// How long a read waits for a replica before it goes to the primary.
const READ_PATIENCE: Span = Span::from_millis(10);

/// The interval of looks whether a server still answers.
pub(super) const LOOK_EVERY: Span = Span::from_millis(20);

/// The state of a session between requests.
pub(super) struct Context {
    pub(super) node: Arc<Node>,
    pub(super) entry: Arc<Entry>,
    pub(super) group: Arc<str>,
    pub(super) slot: Arc<Slot>,
    /// What the session has seen; no floor ever falls.
    pub(super) floors: Floors,
    /// `None` once the session's floor is known.
    pub(super) roaming: Option<Bootstrap>,
    /// The idempotency key set for the statements to come.
    pub(super) idempotency_key: Option<Arc<str>>,
    /// Whether the floors moved since the token was last reported.
    pub(super) has_moved: bool,
}

/// One request: its group, its settings and its deadlines.
pub(super) struct Work {
    pub(super) handle: Arc<Handle>,
    pub(super) effective: Effective,
    pub(super) started: Time,
    /// When the request is given up.
    pub(super) deadline: Time,
    /// When it is refused if it could not be sent by then.
    pub(super) queue_deadline: Time,
}

/// Why a connection could not be had.
pub(super) enum Denial {
    /// The account's own requests are too many; this is the final answer.
    Queue(Refusal),
    /// The server gave none; another try may follow.
    Server(Error),
}

impl Context {
    /// Looks up what is in force for the next request.
    pub(super) fn work(&self) -> Result<Work, Refusal> {
        let retry = Span::from_millis(500);
        let held = self.node.held();
        let held = held.ok_or_else(|| refuse::unavailable(&self.group, retry))?;
        let account = Some(&*self.entry.account);
        let effective = held
            .tree
            .resolve(&self.entry.service, &self.entry.route, account)
            .ok_or_else(|| refuse::invalid("3D000", "the route was removed"))?;
        if !self.node.has_usable_settings(&effective) {
            return Err(refuse::unavailable(&self.group, retry));
        }
        let handle = self.node.group(&self.group);
        let handle = handle.ok_or_else(|| refuse::unavailable(&self.group, retry))?;
        let started = self.node.now();
        let deadline = started + Span::from_millis(effective.deadline_ms);
        let queue_deadline = started + Span::from_millis(effective.queue_ms);
        Ok(Work {
            handle,
            started,
            deadline,
            queue_deadline: deadline.min(queue_deadline),
            effective,
        })
    }

    /// Returns the router of this instance.
    pub(super) fn router(&self, work: &Work) -> Router {
        let zone = Arc::clone(&self.node.options.zone);
        Router::open(
            zone,
            READ_PATIENCE,
            Span::from_millis(work.effective.poll_ms),
        )
    }

    /// Takes a connection to a server before the request's queue deadline.
    ///
    /// Accounts take turns by weight, so that none keeps the others waiting.
    pub(super) async fn acquire(
        &self,
        work: &Work,
        server: &str,
        class: Class,
    ) -> Result<Link, Denial> {
        let refused = |why: &str| {
            Denial::Server(Error::NotSent {
                step: "acquire",
                peer: Arc::from(server),
                why: why.to_owned(),
            })
        };
        let line = work.handle.line(server);
        let turn = line
            .enter(&self.entry.account, class, work.queue_deadline)
            .await
            .map_err(|retry| Denial::Queue(refuse::busy(&self.group, retry)))?;
        let left = self.left(work.queue_deadline);
        match timeout(left, work.handle.pool.acquire(server)).await {
            Ok(Ok(lease)) => Ok(Link::open(lease, turn)),
            Ok(Err(error)) => Err(Denial::Server(error)),
            Err(_) => Err(refused("no connection was free in time")),
        }
    }

    /// Waits until `is_lost` holds, looking again after each news of the group.
    pub(super) async fn wait_until(&self, work: &Work, is_lost: impl Fn() -> bool) {
        let mut changes = work.handle.changes();
        loop {
            changes.borrow_and_update();
            if is_lost() {
                return;
            }
            // Silence is no news, so it is looked for at intervals.
            let next = self.node.now() + LOOK_EVERY;
            work.handle.changed(&mut changes, next).await;
        }
    }

    /// Returns the time left until a deadline.
    pub(super) fn left(&self, deadline: Time) -> Duration {
        deadline.since(self.node.clock.now()).into()
    }

    /// Raises the session's floor and remembers that the token is to be reported.
    pub(super) fn raise(&mut self, position: endpoint::Position) {
        self.has_moved |= self.floors.raise(&self.group, position);
        self.roaming = None;
    }

    /// Waits until a write that committed at `position` may be acknowledged.
    ///
    /// Returns `Wait` if that was not known before the deadline.
    pub(super) async fn prove(&self, work: &Work, position: endpoint::Position) -> Ack {
        loop {
            let handle = self.handle(work);
            let mut changes = handle.changes();
            let ack = handle.proof(position);
            match ack {
                Ack::Replaced => return ack,
                // Seen again here, since this task may have been paused in between.
                Ack::Proven { until } if self.node.now() < until => return ack,
                Ack::Proven { .. } | Ack::Wait => {}
            }
            if self.node.now() >= work.deadline {
                return Ack::Wait;
            }
            crate::group::hasten(&self.node, &handle);
            // A handle that is replaced has no further inputs.
            let next = work.deadline.min(self.node.now() + LOOK_EVERY);
            handle.changed(&mut changes, next).await;
        }
    }

    /// Returns the group as it is in force now.
    ///
    /// The handle with which a request began proves nothing once the settings replaced it.
    pub(super) fn handle(&self, work: &Work) -> Arc<Handle> {
        let current = self.node.group(&self.group);
        current.unwrap_or_else(|| Arc::clone(&work.handle))
    }
}
