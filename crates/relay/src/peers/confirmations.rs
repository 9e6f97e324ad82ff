//! Questions between instances whether the settings are still the newest.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use clock::Span;
use clock::Time;

use crate::peers::Payload;

/// A question of another instance that waits for the store's next answer.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    id: u64,
    received: Time,
}

/// A question of this instance.
#[derive(Clone, Copy, Debug)]
struct Open {
    id: u64,
    asked: Time,
}

/// That the store held a revision as its newest at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The moment, by this instance's clock; never later than it truly was.
    pub at: Time,
    /// The revision.
    pub revision: u64,
}

/// Questions whether the settings are still the newest, to and from other instances.
///
/// A question is answered when the store next answers the instance that was asked. The answer says
/// how long before or after the question came the store's call had begun, so that a message that
/// is late makes the confirmation older and never newer.
#[derive(Clone, Debug, Default)]
pub struct Confirmations {
    next: u64,
    waiting: BTreeMap<SocketAddr, Waiting>,
    open: Option<Open>,
    answer: Option<Confirmation>,
}

impl Confirmations {
    /// Begins a question and returns its number; an earlier one is given up.
    pub fn ask(&mut self, now: Time) -> u64 {
        self.next += 1;
        self.open = Some(Open {
            id: self.next,
            asked: now,
        });
        self.answer = None;
        self.next
    }

    /// Takes in the answer to a question; `false` if it is not open.
    pub fn on_answer(&mut self, id: u64, revision: u64, since_ms: i64) -> bool {
        let Some(open) = self.open.take_if(|open| open.id == id) else {
            return false;
        };
        let span = Span::from_millis(since_ms.unsigned_abs());
        let at = if since_ms < 0 {
            open.asked - span
        } else {
            open.asked + span
        };
        self.answer = Some(Confirmation { at, revision });
        true
    }

    /// Returns the answer to the last question, once.
    pub fn take_answer(&mut self) -> Option<Confirmation> {
        self.answer.take()
    }

    /// Takes in a question of another instance.
    pub fn on_question(&mut self, now: Time, from: SocketAddr, id: u64) {
        let waiting = Waiting { id, received: now };
        self.waiting.insert(from, waiting);
    }

    /// Answers all questions once the store has confirmed `revision` by a call begun at `begun`.
    pub fn on_confirmed(&mut self, begun: Time, revision: u64) -> Vec<(SocketAddr, Payload)> {
        std::mem::take(&mut self.waiting)
            .into_iter()
            .map(|(address, waiting)| {
                let answer = Payload::Confirmed {
                    id: waiting.id,
                    revision,
                    since_ms: signed_ms(waiting.received, begun),
                };
                (address, answer)
            })
            .collect()
    }
}

/// Returns the milliseconds from `from` to `to`, rounded down.
fn signed_ms(from: Time, to: Time) -> i64 {
    let ms = |span: Span| i64::try_from(span.as_millis()).unwrap_or(i64::MAX);
    if to >= from {
        ms(to.since(from))
    } else {
        -ms(from.since(to)) - 1
    }
}
