//! Routes reads to replicas or to the primary.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use group::Source;

use crate::Floor;

/// The retry delay that a refused read is answered with.
const RETRY_AFTER: Span = Span::from_millis(500);

/// A server that a read may be routed to, with its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server's applied position and data age.
    pub source: Source,
    /// The number of this instance's statements that are running on the server or queued for it.
    pub load: u32,
}

/// The consistency and timing requirements of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// When the read was received.
    pub started: Time,
    /// When the caller times out.
    pub deadline: Time,
    /// The minimum position that the read must see.
    pub floor: Floor,
    /// The maximum age of the data; with `None` only the floor applies.
    pub max_age: Option<Span>,
}

/// A routing decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Run the read on this replica.
    Replica(Arc<str>),
    /// No server is eligible yet; decide again at this time or after the next status update.
    WaitUntil(Time),
    /// Run the read on this primary.
    Primary(Arc<str>),
    /// Refuse the read without running it.
    Refuse {
        /// How long the caller should wait before it retries.
        retry_after: Span,
    },
}

/// Routes the reads of one instance.
#[derive(Clone, Debug)]
pub struct Router {
    zone: Arc<str>,
    /// How long a read waits for an eligible replica before it falls back to the primary.
    replica_wait: Span,
    /// The interval between status queries.
    poll_interval: Span,
}

impl Router {
    /// Creates a router for an instance in `zone`.
    pub fn open(zone: Arc<str>, replica_wait: Span, poll_interval: Span) -> Self {
        Self {
            zone,
            replica_wait,
            poll_interval,
        }
    }

    /// Decides where a read is routed.
    ///
    /// If the group has neither a replica nor a primary that answers, the read is refused at once.
    /// Otherwise it waits for an eligible server until its deadline.
    pub fn decide(
        &self,
        now: Time,
        request: &Request,
        replicas: &[Candidate],
        primary: Option<&Candidate>,
    ) -> Route {
        let best = replicas
            .iter()
            .filter(|candidate| is_eligible(now, request, &candidate.source))
            .min_by_key(|candidate| self.rank(candidate));
        if let Some(candidate) = best {
            return Route::Replica(Arc::clone(&candidate.source.endpoint));
        }
        if replicas.is_empty() && primary.is_none() {
            return Route::Refuse {
                retry_after: RETRY_AFTER,
            };
        }
        let wait_until = request.deadline.min(request.started + self.replica_wait);
        if now < wait_until && !replicas.is_empty() {
            return Route::WaitUntil(wait_until.min(now + self.poll_interval));
        }
        match primary.filter(|candidate| is_eligible(now, request, &candidate.source)) {
            Some(candidate) => Route::Primary(Arc::clone(&candidate.source.endpoint)),
            None if now < request.deadline => {
                Route::WaitUntil(request.deadline.min(now + self.poll_interval))
            }
            None => Route::Refuse {
                retry_after: RETRY_AFTER,
            },
        }
    }

    /// Returns a candidate's sort key: lower load, then the instance's own zone, then the name.
    fn rank<'a>(&self, candidate: &'a Candidate) -> (u32, bool, &'a str) {
        let source = &candidate.source;
        (candidate.load, source.zone != self.zone, &source.endpoint)
    }
}

/// Returns whether a read that starts on `source` now meets the request's floor and maximum age.
fn is_eligible(now: Time, request: &Request, source: &Source) -> bool {
    if !request.floor.is_satisfied_by(source.applied) {
        return false;
    }
    let Some(max_age) = request.max_age else {
        return true;
    };
    source
        .fresh_at
        .is_some_and(|fresh_at| now.since(fresh_at) <= max_age)
}
