//! Weighted deficit round robin over accounts, measured in slot time.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::queue::Class;
use crate::queue::Limiter;
use crate::queue::Policy;
use crate::queue::Reason;
use crate::queue::Shed;
use crate::queue::Ticket;
use crate::queue::flow::Flow;

/// Expected slot time of a request before the first measurement, in microseconds.
const INITIAL_SERVICE_MICROS: i64 = 2_000;

/// Weighted fair queue in front of the slots (connections) of one server.
///
/// In each round every account with queued requests receives slot time in proportion to its
/// weight. Within a round the writes of all accounts run before lookups. Writes therefore never
/// exceed their account's share, and lookups run in the same round as those of other accounts.
#[derive(Clone, Debug)]
pub struct Scheduler {
    policy: Policy,
    limiter: Limiter,
    flows: BTreeMap<Arc<str>, Flow>,
    weights: BTreeMap<Arc<str>, u32>,
    /// The account served last; the search for the next one starts after it in name order.
    last_account: Arc<str>,
    round: u64,
    /// Requests found past their deadline by `pop`; the next `expire` returns them.
    expired: Vec<Ticket>,
    /// Number of queued requests of all flows.
    queued: usize,
    /// Number of running requests of all flows.
    running: u32,
    /// Moving average of the slot time of all requests, in microseconds.
    service_micros: i64,
}

impl Scheduler {
    /// Opens an empty queue.
    pub fn open(policy: Policy) -> Self {
        Self {
            policy,
            limiter: Limiter::open(policy),
            flows: BTreeMap::new(),
            weights: BTreeMap::new(),
            last_account: Arc::from(""),
            round: 0,
            expired: Vec::new(),
            queued: 0,
            running: 0,
            service_micros: INITIAL_SERVICE_MICROS,
        }
    }

    /// Sets the accounts' weights; an account that is not listed has weight 1.
    pub fn set_weights(&mut self, weights: BTreeMap<Arc<str>, u32>) {
        for (name, flow) in &mut self.flows {
            flow.weight = weights.get(name).copied().unwrap_or(1).max(1);
        }
        self.weights = weights;
    }

    /// Sets the maximum number of occupied slots; running requests keep theirs.
    pub fn set_max_running(&mut self, max: u32) {
        self.limiter.set_max_running(max);
    }

    /// Queues a request and returns the requests that are shed, which may include it.
    pub fn push(&mut self, now: Time, ticket: Ticket) -> Vec<Shed> {
        let mut shed = self.expire(now);
        let name = Arc::clone(&ticket.account);
        self.activate(&name);
        let wait = self.expected_wait(&name, ticket.class);
        if now + wait >= ticket.deadline {
            shed.push(Shed {
                ticket,
                reason: Reason::Late,
                retry_after: wait,
            });
            return shed;
        }
        self.queued += 1;
        if let Some(flow) = self.flows.get_mut(&name) {
            flow.push(ticket);
        }
        if self.queued > self.policy.max_queued {
            shed.extend(self.shed_newest(&name));
        }
        shed
    }

    /// Assigns a free slot to the next request and returns it.
    ///
    /// Requests whose deadline has passed are skipped; the next `expire` returns them.
    pub fn pop(&mut self, now: Time) -> Option<Ticket> {
        while self.queued > 0 {
            if self.running >= self.limiter.limit() {
                self.limiter.on_saturated();
                return None;
            }
            let (name, class) = self.next_turn()?;
            let flow = self.flows.get_mut(&name)?;
            let ticket = flow.pop(class)?;
            self.queued -= 1;
            if now >= ticket.deadline {
                self.expired.push(ticket);
                continue;
            }
            flow.deficit -= flow.service_micros;
            flow.running += 1;
            if flow.queued() == 0 {
                // An account without queued requests accumulates no slot time.
                flow.deficit = flow.deficit.min(0);
            }
            self.running += 1;
            self.last_account = name;
            return Some(ticket);
        }
        None
    }

    /// Releases the slot of an account's request, which occupied it for `latency`.
    pub fn release(&mut self, account: &str, latency: Span) {
        self.limiter.on_latency(latency);
        let micros = i64::try_from(latency.as_micros()).unwrap_or(i64::MAX / 4);
        self.service_micros += (micros - self.service_micros) / 16;
        let Some(flow) = self.flows.get_mut(account) else {
            return;
        };
        assert!(flow.running > 0, "slot released twice");
        flow.running -= 1;
        self.running -= 1;
        // `pop` charged the expected slot time; this corrects the charge to the actual time.
        flow.deficit -= micros - flow.service_micros;
        flow.service_micros += (micros - flow.service_micros) / 8;
        if flow.is_idle() {
            self.flows.remove(account);
        }
    }

    /// Removes and returns all requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<Shed> {
        let mut expired = std::mem::take(&mut self.expired);
        let before = expired.len();
        for flow in self.flows.values_mut() {
            flow.expire(now, &mut expired);
        }
        self.queued -= expired.len() - before;
        let service = self.service_micros;
        expired
            .into_iter()
            .map(|ticket| Shed {
                ticket,
                reason: Reason::Expired,
                retry_after: span(service),
            })
            .collect()
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Returns the number of occupied slots.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> u32 {
        self.limiter.limit()
    }

    /// Opens an account's flow if needed. The quanta of rounds that an empty flow missed pay off a
    /// negative deficit.
    fn activate(&mut self, name: &Arc<str>) {
        let quantum = micros(self.policy.quantum);
        let weight = self.weights.get(name).copied().unwrap_or(1).max(1);
        let (round, service) = (self.round, self.service_micros);
        let flow = self
            .flows
            .entry(Arc::clone(name))
            .or_insert_with(|| Flow::open(round, service));
        flow.weight = weight;
        if flow.queued() == 0 {
            let missed = i64::try_from(round - flow.round).unwrap_or(i64::MAX);
            let gained = missed.saturating_mul(quantum * i64::from(weight));
            flow.deficit = flow.deficit.saturating_add(gained).min(0);
            flow.round = round;
        }
    }

    /// Returns the expected wait of a new request behind the account's own queued requests.
    fn expected_wait(&self, name: &str, class: Class) -> Span {
        let Some(flow) = self.flows.get(name) else {
            return Span::ZERO;
        };
        let mut ahead = flow.waiting(Class::Write);
        if class == Class::Lookup {
            ahead += flow.waiting(Class::Lookup);
        }
        let active_weight: u64 = self
            .flows
            .values()
            .filter(|other| other.queued() > 0 || other.running > 0)
            .map(|other| u64::from(other.weight))
            .sum();
        let weight = u64::from(flow.weight);
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX);
        let service = u64::try_from(flow.service_micros).unwrap_or(1);
        let share = weight * u64::from(self.limiter.limit());
        Span::from_micros(ahead.saturating_mul(service) * active_weight.max(weight) / share)
    }

    /// Sheds the newest request of the account with the most queued requests per weight.
    fn shed_newest(&mut self, incoming: &Arc<str>) -> Option<Shed> {
        let load = |flow: &Flow| u128::try_from(flow.queued()).unwrap_or(u128::MAX);
        let most_loaded = self.flows.iter().max_by(|(_, a), (_, b)| {
            let left = load(a) * u128::from(b.weight);
            left.cmp(&(load(b) * u128::from(a.weight)))
        });
        let mut name = Arc::clone(most_loaded?.0);
        if self.policy.shed_last {
            name = Arc::clone(incoming);
        }
        let retry_after = self.expected_wait(&name, Class::Lookup);
        let ticket = self.flows.get_mut(&name)?.pop_newest()?;
        self.queued -= 1;
        Some(Shed {
            ticket,
            reason: Reason::Full,
            retry_after,
        })
    }

    /// Returns the account and class to serve next, and begins new rounds if necessary.
    fn next_turn(&mut self) -> Option<(Arc<str>, Class)> {
        if let Some(found) = self.find_turn() {
            return Some(found);
        }
        self.begin_round()?;
        self.find_turn()
    }

    fn find_turn(&self) -> Option<(Arc<str>, Class)> {
        [Class::Write, Class::Lookup].into_iter().find_map(|class| {
            let ready =
                |(_, flow): &(&Arc<str>, &Flow)| flow.deficit > 0 && flow.waiting(class) > 0;
            let after = (
                std::ops::Bound::Excluded(&*self.last_account),
                std::ops::Bound::Unbounded,
            );
            let found = self.flows.range::<str, _>(after).find(ready);
            let found = found.or_else(|| self.flows.iter().find(ready));
            found.map(|(name, _)| (Arc::clone(name), class))
        })
    }

    /// Begins as many rounds as the first account needs to reach a positive deficit.
    fn begin_round(&mut self) -> Option<()> {
        let quantum = micros(self.policy.quantum);
        let waiting = self.flows.values().filter(|flow| flow.queued() > 0);
        let rounds = waiting
            .map(|flow| -flow.deficit / (quantum * i64::from(flow.weight)) + 1)
            .min()?
            .max(1);
        self.round += u64::try_from(rounds).unwrap_or(1);
        for flow in self.flows.values_mut().filter(|flow| flow.queued() > 0) {
            flow.deficit += rounds * quantum * i64::from(flow.weight);
            flow.round = self.round;
        }
        Some(())
    }
}

fn micros(span: Span) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX / 4)
}

fn span(micros: i64) -> Span {
    Span::from_micros(u64::try_from(micros).unwrap_or(0))
}
