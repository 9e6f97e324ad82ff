//! The queued requests of one account and its deficit.

use std::collections::VecDeque;

use clock::Time;

use crate::queue::Class;
use crate::queue::Ticket;

/// The queued requests of one account and its deficit.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    /// The account's weight relative to other accounts; at least 1.
    pub weight: u32,
    /// Slot time that it may still use in this round, in microseconds. A request that took longer
    /// than expected can make it negative.
    pub deficit: i64,
    /// The last round whose quantum was added to the deficit.
    pub round: u64,
    /// Number of requests that occupy a slot.
    pub running: u32,
    /// Moving average of the slot time of its requests, in microseconds.
    pub service_micros: i64,
    writes: VecDeque<Ticket>,
    lookups: VecDeque<Ticket>,
}

impl Flow {
    /// Opens an empty flow.
    pub fn open(round: u64, service_micros: i64) -> Self {
        Self {
            weight: 1,
            deficit: 0,
            round,
            running: 0,
            service_micros,
            writes: VecDeque::new(),
            lookups: VecDeque::new(),
        }
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.writes.len() + self.lookups.len()
    }

    /// Returns whether no request is queued or running and the deficit is not negative.
    pub fn is_idle(&self) -> bool {
        self.queued() == 0 && self.running == 0 && self.deficit >= 0
    }

    /// Returns the number of queued requests of a class.
    pub fn waiting(&self, class: Class) -> usize {
        match class {
            Class::Write => self.writes.len(),
            Class::Lookup => self.lookups.len(),
        }
    }

    /// Appends a request to the queue of its class.
    pub fn push(&mut self, ticket: Ticket) {
        self.queue(ticket.class).push_back(ticket);
    }

    /// Removes the oldest request of a class.
    pub fn pop(&mut self, class: Class) -> Option<Ticket> {
        self.queue(class).pop_front()
    }

    /// Removes the newest lookup or, if there is none, the newest write.
    pub fn pop_newest(&mut self) -> Option<Ticket> {
        self.lookups.pop_back().or_else(|| self.writes.pop_back())
    }

    /// Moves all requests whose deadline has passed to `out`.
    pub fn expire(&mut self, now: Time, out: &mut Vec<Ticket>) {
        for queue in [&mut self.writes, &mut self.lookups] {
            if queue.iter().all(|ticket| now < ticket.deadline) {
                continue;
            }
            let (kept, expired) = queue.drain(..).partition(|ticket| now < ticket.deadline);
            *queue = kept;
            out.extend::<VecDeque<Ticket>>(expired);
        }
    }

    fn queue(&mut self, class: Class) -> &mut VecDeque<Ticket> {
        match class {
            Class::Write => &mut self.writes,
            Class::Lookup => &mut self.lookups,
        }
    }
}
