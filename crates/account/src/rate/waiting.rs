//! The requests of one account that wait for tokens at one instance.

use std::collections::BTreeMap;

use clock::Time;

use crate::rate::Amount;

/// The cost of the requests that wait for tokens, by the time until which they may wait.
///
/// The earliest deadline is served first. Otherwise the requests of a route with a long target
/// would fill the wait, and all requests of a route with a short one would be refused.
#[derive(Clone, Debug, Default)]
pub(super) struct Waiting {
    costs: BTreeMap<Time, Amount>,
    total: Amount,
}

impl Waiting {
    /// Adds a request that waits until `deadline`.
    pub fn add(&mut self, deadline: Time, cost: Amount) {
        let sum = self.costs.entry(deadline).or_default();
        *sum = sum.saturating_add(cost);
        self.total = self.total.saturating_add(cost);
    }

    /// Removes a request that waits until `deadline`; one that has expired is not counted any more.
    pub fn remove(&mut self, deadline: Time, cost: Amount) {
        let Some(sum) = self.costs.get_mut(&deadline) else {
            return;
        };
        let part = cost.min(*sum);
        *sum = sum.saturating_sub(part);
        if *sum == Amount::ZERO {
            self.costs.remove(&deadline);
        }
        self.total = self.total.saturating_sub(part);
    }

    /// Removes requests of the given cost, those with the latest deadlines first.
    pub fn remove_latest(&mut self, cost: Amount) {
        let mut rest = cost;
        while rest > Amount::ZERO
            && let Some((deadline, sum)) = self.costs.last_key_value()
        {
            let (deadline, part) = (*deadline, rest.min(*sum));
            rest = rest.saturating_sub(part);
            self.remove(deadline, part);
        }
    }

    /// Forgets requests whose deadline has passed: their callers have left.
    pub fn expire(&mut self, now: Time) {
        while let Some((deadline, sum)) = self.costs.first_key_value()
            && *deadline < now
        {
            let (deadline, sum) = (*deadline, *sum);
            self.remove(deadline, sum);
        }
    }

    /// Returns the cost of the requests that go before one with this deadline; of those with the
    /// same deadline, a new one goes last.
    pub fn ahead(&self, deadline: Time, is_new: bool) -> Amount {
        let earlier = self.costs.range(..deadline);
        let mut sum = earlier.fold(Amount::ZERO, |sum, (_, cost)| sum.saturating_add(*cost));
        if is_new && let Some(cost) = self.costs.get(&deadline) {
            sum = sum.saturating_add(*cost);
        }
        sum
    }

    /// Returns the cost of all waiting requests.
    pub fn total(&self) -> Amount {
        self.total
    }
}
