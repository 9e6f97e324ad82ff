//! Queries between instances whether what they know of the store's rows is still the newest.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use clock::Time;

use crate::peers::Payload;
use crate::peers::Topic;
use crate::peers::report::offset;
use crate::peers::report::signed_ms;

/// Another instance's query, pending until the store's next reply.
#[derive(Clone, Copy, Debug)]
struct Pending {
    id: u64,
    received: Time,
}

/// This instance's own query that awaits a response.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    id: u64,
    sent: Time,
}

/// Evidence that a revision was the store's newest at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The moment by this instance's clock; never later than the actual one.
    pub at: Time,
    /// The revision.
    pub revision: u64,
}

/// Queries to and from other instances whether what they know of one topic is still the newest.
///
/// An instance responds to a query once the store next replies to it. The response says how long
/// before or after the query's arrival the call to the store began, so that a delayed datagram can
/// only make the confirmation older, never newer.
#[derive(Clone, Debug, Default)]
pub struct Confirmations {
    next_id: u64,
    pending: BTreeMap<SocketAddr, Pending>,
    outstanding: Option<Outstanding>,
    confirmation: Option<Confirmation>,
}

impl Confirmations {
    /// Opens the queries of one run of an instance.
    ///
    /// Their numbers start at the run's `incarnation`: an instance that confirms nothing for long
    /// may answer a query of an earlier run.
    pub fn open(incarnation: u64) -> Self {
        Self {
            next_id: incarnation,
            ..Self::default()
        }
    }

    /// Starts a query and returns its number; an earlier query is abandoned.
    pub fn query(&mut self, now: Time) -> u64 {
        self.next_id = self.next_id.wrapping_add(1);
        self.outstanding = Some(Outstanding {
            id: self.next_id,
            sent: now,
        });
        self.confirmation = None;
        self.next_id
    }

    /// Applies the response to a query; returns `false` if the query is not outstanding.
    ///
    /// `since_ms` is the time in milliseconds from the query's arrival to the start of the call to
    /// the store.
    pub fn on_response(&mut self, id: u64, revision: u64, since_ms: i64) -> bool {
        let Some(outstanding) = self.outstanding.take_if(|outstanding| outstanding.id == id) else {
            return false;
        };
        let at = offset(outstanding.sent, since_ms);
        self.confirmation = Some(Confirmation { at, revision });
        true
    }

    /// Takes the confirmation received for the last query, if any.
    pub fn take_confirmation(&mut self) -> Option<Confirmation> {
        self.confirmation.take()
    }

    /// Records a query of another instance.
    pub fn on_query(&mut self, now: Time, from: SocketAddr, id: u64) {
        let pending = Pending { id, received: now };
        self.pending.insert(from, pending);
    }

    /// Returns the responses to all pending queries once the store has confirmed `revision` by a
    /// call that began at `begun`.
    pub fn on_confirmed(
        &mut self,
        topic: Topic,
        begun: Time,
        revision: u64,
    ) -> Vec<(SocketAddr, Payload)> {
        std::mem::take(&mut self.pending)
            .into_iter()
            .map(|(address, pending)| {
                let response = Payload::Confirmed {
                    id: pending.id,
                    topic,
                    revision,
                    since_ms: signed_ms(pending.received, begun),
                };
                (address, response)
            })
            .collect()
    }
}
