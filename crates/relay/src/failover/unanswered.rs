//! Orders that got no answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use clock::Span;
use clock::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::node::lock;

/// How long after the last order that got no answer no other server is promoted. The platform may
/// carry such an order out "seconds later" and names no bound.
const EXECUTION_TIME: Span = Span::from_secs(5);

/// An order that got no answer, so that the platform may still carry it out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unanswered {
    /// The server to be promoted.
    pub server: Arc<str>,
    /// The fencing token of the order.
    pub token: u64,
    /// The number of orders with this token that got no answer.
    pub count: u64,
}

/// Tracks since when the newest unanswered order of each group is known to this instance.
///
/// Clocks of different instances can't be compared, so each one counts from when it has learned of
/// the order, which is after it was given.
#[derive(Debug, Default)]
pub struct Tracker {
    learned: Mutex<BTreeMap<Arc<str>, (Unanswered, Time)>>,
}

impl Tracker {
    /// Records an order that this instance has learned of at `now`, in its own row or another's.
    pub fn on_order(&self, now: Time, group: &Arc<str>, order: &Unanswered) {
        let mut learned = lock(&self.learned);
        let is_known = learned.get(group).is_some_and(|(known, _)| known == order);
        if !is_known {
            learned.insert(Arc::clone(group), (order.clone(), now));
        }
    }

    /// Returns whether an order may still be carried out at `now`; one that is not known may be.
    pub fn is_pending(&self, now: Time, group: &str, order: &Unanswered) -> bool {
        let learned = lock(&self.learned);
        let known = learned.get(group).filter(|(known, _)| known == order);
        known.is_none_or(|(_, at)| now < *at + EXECUTION_TIME)
    }
}
