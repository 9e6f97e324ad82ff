//! The order in which waiting requests are served.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::schedule::Entry;

/// Weight of a priority against the next less urgent one. On the measured deployment the worth of
/// a millisecond of server time falls by 5 to 7 from one priority to the next; 4 leaves the least
/// urgent of three a twentieth of the server.
const PRIORITY_WEIGHT: u64 = 4;
/// Priorities from this one on have the same weight.
const PRIORITY_MAX: u32 = 6;
/// A request that has used up its wait is charged this much less to its kind, as if the kind were a
/// priority more urgent.
const URGENCY_WEIGHT: u64 = PRIORITY_WEIGHT;
/// Steps between the weight of a request that has just arrived and that of one whose wait ends.
const URGENCY_STEPS: u64 = 64;
/// Expected server time before the first measurement.
const COST_PRIOR: Span = Span::from_millis(20);
/// Weight of the former average of an account's server time against one measurement.
const COST_WEIGHT: u64 = 15;

/// Server time received, by start-time fair queueing: who has received the least goes first, and
/// what was not asked for in time is not saved up.
#[derive(Clone, Debug)]
struct Shares<K> {
    received: BTreeMap<K, u64>,
    /// What the one served last had received before.
    floor: u64,
}

impl<K: Ord + Clone> Shares<K> {
    fn open() -> Self {
        Self {
            received: BTreeMap::new(),
            floor: 0,
        }
    }

    fn get(&self, key: &K) -> u64 {
        let received = self.received.get(key).copied().unwrap_or_default();
        received.max(self.floor)
    }

    fn charge(&mut self, key: &K, cost: u64) {
        let start = self.get(key);
        self.floor = start;
        self.received
            .insert(key.clone(), start.saturating_add(cost));
        self.received.retain(|_, received| *received > start);
    }
}

/// The order in which waiting requests are served.
///
/// The kinds, which are the priorities, share the server by weight, so none starves. Within a kind
/// the accounts share its server time evenly, whatever their number of waiting requests. Requests
/// of an account and kind keep their order. With one kind and one account the order is that of
/// arrival.
#[derive(Clone, Debug)]
pub struct Order {
    kinds: Shares<u32>,
    accounts: BTreeMap<u32, Shares<Arc<str>>>,
    /// Moving average of the server time of a statement, by account.
    costs: BTreeMap<Arc<str>, Span>,
}

impl Order {
    /// Opens an order in which nothing was served yet.
    pub fn open() -> Self {
        Self {
            kinds: Shares::open(),
            accounts: BTreeMap::new(),
            costs: BTreeMap::new(),
        }
    }

    /// Records for how long a statement of an account used the server.
    pub fn on_served(&mut self, account: &Arc<str>, used: Span) {
        let sum = self.cost(account).saturating_mul(COST_WEIGHT);
        let average = sum.saturating_add(used.as_micros()) / (COST_WEIGHT + 1);
        self.costs
            .insert(Arc::clone(account), Span::from_micros(average));
    }

    /// Returns the waiting request to serve next; the requests come in the order of arrival within
    /// each kind.
    pub fn next<'a>(&self, waiting: impl Iterator<Item = Entry<'a>>) -> Option<u64> {
        // The first request of each kind, and what its account has received.
        let mut kinds: BTreeMap<u32, (Entry<'a>, u64)> = BTreeMap::new();
        for entry in waiting {
            let received = self.received(entry.priority, entry.account);
            match kinds.get_mut(&entry.priority) {
                None => {
                    kinds.insert(entry.priority, (entry, received));
                }
                Some((best, least)) => {
                    if received < *least {
                        *least = received;
                        *best = entry;
                    }
                }
            }
        }
        // At equal shares the more urgent kind goes first.
        let share = |(priority, _): &(u32, (Entry<'a>, u64))| (self.kinds.get(priority), *priority);
        let (_, (entry, _)) = kinds.into_iter().min_by_key(share)?;
        Some(entry.sequence)
    }

    /// Charges a request that is served now to its kind and its account.
    pub fn on_granted(&mut self, now: Time, entry: &Entry<'_>) {
        let cost = self.cost(entry.account);
        self.kinds
            .charge(&entry.priority, scaled(cost) / weight(now, entry));
        self.accounts
            .entry(entry.priority)
            .or_insert_with(Shares::open)
            .charge(entry.account, cost);
    }

    /// Returns the server time of the waiting requests that go before a new one.
    pub fn work_ahead<'a>(
        &self,
        now: Time,
        waiting: impl Iterator<Item = Entry<'a>>,
        new: &Entry<'_>,
    ) -> Span {
        let mut own = 0_u64;
        let mut others: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
        let mut kinds: BTreeMap<u32, (Entry<'a>, u64)> = BTreeMap::new();
        for entry in waiting {
            let cost = self.cost(entry.account);
            if entry.priority != new.priority {
                let (_, sum) = kinds.entry(entry.priority).or_insert((entry, 0));
                *sum = sum.saturating_add(cost);
            } else if *entry.account == *new.account {
                own = own.saturating_add(cost);
            } else {
                let sum = others.entry(entry.account).or_default();
                *sum = sum.saturating_add(cost);
            }
        }
        // Another account goes first until it has received as much as the own one then will have.
        let until = self.received(new.priority, new.account).saturating_add(own);
        let mut work = own;
        for (account, sum) in others {
            let received = self.received(new.priority, account);
            if received <= until {
                let part = (until - received).saturating_add(self.cost(account));
                work = work.saturating_add(part.min(sum));
            }
        }
        // So does another kind, by weight.
        let until = self.kinds.get(&new.priority);
        let until = until.saturating_add(scaled(work) / weight(now, new));
        let mut total = work;
        for (priority, (oldest, sum)) in kinds {
            let received = self.kinds.get(&priority);
            if received < until || (received == until && priority < new.priority) {
                let weight = weight(now, &oldest);
                let part = (until - received) / (scaled(1) / weight);
                let part = part.saturating_add(self.cost(oldest.account));
                total = total.saturating_add(part.min(sum));
            }
        }
        Span::from_micros(total)
    }

    fn received(&self, priority: u32, account: &Arc<str>) -> u64 {
        let shares = self.accounts.get(&priority);
        shares.map_or(0, |shares| shares.get(account))
    }

    fn cost(&self, account: &Arc<str>) -> u64 {
        let cost = self.costs.get(account).copied().unwrap_or(COST_PRIOR);
        cost.as_micros().max(1)
    }
}

/// Returns the weight of a kind whose request `entry` is served.
fn weight(now: Time, entry: &Entry<'_>) -> u64 {
    let steps = PRIORITY_MAX - entry.priority.min(PRIORITY_MAX);
    let waited = now.since(entry.since).as_micros();
    let part = waited.saturating_mul(URGENCY_STEPS) / entry.max_wait.as_micros().max(1);
    let urgency = URGENCY_STEPS + part.min(URGENCY_STEPS) * (URGENCY_WEIGHT - 1);
    PRIORITY_WEIGHT.pow(steps) * urgency
}

/// Returns a cost in units in which the division by the largest weight loses nothing that matters.
fn scaled(micros: u64) -> u64 {
    let largest = PRIORITY_WEIGHT.pow(PRIORITY_MAX) * URGENCY_STEPS * URGENCY_WEIGHT;
    micros.saturating_mul(largest)
}
