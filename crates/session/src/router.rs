//! Chooses the server of a read.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use group::Source;

use crate::Floor;

/// When a caller whose read was refused is told to come back.
const RETRY_AFTER: Span = Span::from_millis(500);

/// A server that a read may go to, with the work that it has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// What is known of its data.
    pub source: Source,
    /// The number of statements that run or wait for it at this instance.
    pub load: u32,
}

/// What a read asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// When the read came in.
    pub started: Time,
    /// When its caller gives up.
    pub deadline: Time,
    /// What the read must see.
    pub floor: Floor,
    /// How old the data may be; `None` leaves it to the floor.
    pub max_age: Option<Span>,
}

/// Where a read goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// To this replica.
    Replica(Arc<str>),
    /// Nowhere yet; decide again at this point or after the next status.
    WaitUntil(Time),
    /// To this primary.
    Primary(Arc<str>),
    /// Nowhere; the read is not run.
    Refuse {
        /// When to come back.
        retry_after: Span,
    },
}

/// Chooses the server of each read for one instance.
#[derive(Clone, Debug)]
pub struct Router {
    zone: Arc<str>,
    /// How long a read waits for a replica before it goes to the primary.
    replica_wait: Span,
    /// The period of status queries.
    poll_interval: Span,
}

impl Router {
    /// Opens a router for an instance in `zone`.
    pub fn open(zone: Arc<str>, replica_wait: Span, poll_interval: Span) -> Self {
        Self {
            zone,
            replica_wait,
            poll_interval,
        }
    }

    /// Chooses where a read goes.
    ///
    /// A group without any server that answers is refused at once; otherwise the read waits for
    /// one that serves it, until its deadline.
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

    /// Orders candidates: less work first, then the instance's own zone, then by name.
    fn rank<'a>(&self, candidate: &'a Candidate) -> (u32, bool, &'a str) {
        let source = &candidate.source;
        (candidate.load, source.zone != self.zone, &source.endpoint)
    }
}

/// Says whether a read at `source` that starts now sees what the request asks for.
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
