//! Retry budgets per account and per group.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::retry::Budget;

/// Parameters of the retry budgets and of the retry backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Maximum retries that an account can accumulate at a group.
    pub account_max: u32,
    /// Maximum retries that all accounts together can accumulate at a group.
    pub group_max: u32,
    /// Retries earned per 1000 requests.
    pub per_mille: u32,
    /// Maximum delay before the first retry; doubles with each further retry.
    pub first_delay: Span,
    /// Upper bound of the doubled delay.
    pub max_delay: Span,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            account_max: 10,
            group_max: 30,
            per_mille: 100,
            first_delay: Span::from_millis(20),
            max_delay: Span::from_millis(500),
        }
    }
}

/// Retry budgets per account and per group at one instance.
#[derive(Clone, Debug)]
pub struct Budgets {
    policy: Policy,
    groups: BTreeMap<Arc<str>, Group>,
}

#[derive(Clone, Debug)]
struct Group {
    /// Shared by all accounts at the group.
    shared: Budget,
    accounts: BTreeMap<Arc<str>, Budget>,
}

impl Budgets {
    /// Opens the budgets; a new account or group starts with a full budget.
    pub fn open(policy: Policy) -> Self {
        Self {
            policy,
            groups: BTreeMap::new(),
        }
    }

    /// Counts the first attempt of a request.
    pub fn on_request(&mut self, account: &Arc<str>, group: &Arc<str>) {
        let per_mille = self.policy.per_mille;
        let (shared, own) = self.budgets(account, group);
        shared.on_request(per_mille);
        own.on_request(per_mille);
    }

    /// Returns when retry number `attempt` (from 1) may run, or `None` if the budget of the account
    /// or of the group is exhausted and the request must fail without a retry.
    ///
    /// `jitter` is a uniform random value; it spreads the delay evenly between half and all of the
    /// maximum delay of this attempt.
    pub fn retry(
        &mut self,
        now: Time,
        account: &Arc<str>,
        group: &Arc<str>,
        attempt: u32,
        jitter: u32,
    ) -> Option<Time> {
        let policy = self.policy;
        let (shared, own) = self.budgets(account, group);
        if !shared.has_retry() || !own.has_retry() {
            return None;
        }
        shared.spend();
        own.spend();
        let doubled = policy.first_delay.as_micros() << attempt.saturating_sub(1).min(16);
        let max_micros = doubled.min(policy.max_delay.as_micros());
        let half = max_micros / 2;
        let extra = (half * u64::from(jitter)) >> u32::BITS;
        Some(now + Span::from_micros(half + extra))
    }

    fn budgets(&mut self, account: &Arc<str>, group: &Arc<str>) -> (&mut Budget, &mut Budget) {
        let policy = self.policy;
        let group = self
            .groups
            .entry(Arc::clone(group))
            .or_insert_with(|| Group {
                shared: Budget::open(policy.group_max),
                accounts: BTreeMap::new(),
            });
        let own = group
            .accounts
            .entry(Arc::clone(account))
            .or_insert_with(|| Budget::open(policy.account_max));
        (&mut group.shared, own)
    }
}
