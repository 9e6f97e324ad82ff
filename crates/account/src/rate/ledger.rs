//! All accounts at one instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use store::Error;
use store::Outcome;

use crate::rate::Action;
use crate::rate::Amount;
use crate::rate::Ask;
use crate::rate::Decision;
use crate::rate::Holder;
use crate::rate::Limit;
use crate::rate::Member;
use crate::rate::Message;
use crate::rate::Policy;
use crate::rate::Schedule;
use crate::rate::Send;
use crate::rate::account::Account;
use crate::rate::slices::Share;

/// All accounts at one instance.
///
/// Every `now` must be read from the clock after the call's other arguments were received.
#[derive(Clone, Debug)]
pub struct Limiter {
    life: u64,
    policy: Policy,
    /// The settings revision of the limits; it never goes back.
    revision: u64,
    accounts: BTreeMap<Arc<str>, Account>,
    share: Share,
    /// All buckets are settled before this changes.
    schedule: Schedule,
    peers: Vec<Arc<str>>,
    next_ask: u64,
    urgent: bool,
}

impl Limiter {
    /// Opens a ledger that holds nothing yet.
    ///
    /// `life` is a number that no other life of the instance has. `address` is one IP number and
    /// port on which this process listens already: rows of earlier lives of the instance there
    /// are taken over at once, since no other process can listen on it.
    pub fn open(instance: &str, life: u64, address: SocketAddr, policy: Policy) -> Self {
        assert!(
            !address.ip().is_unspecified() && address.port() != 0,
            "the address names one process"
        );
        let me = Member {
            name: Arc::from(instance),
            life,
        };
        Self {
            life,
            policy,
            revision: 0,
            accounts: BTreeMap::new(),
            share: Share::open(me, address, policy),
            schedule: Schedule::default(),
            peers: Vec::new(),
            next_ask: 0,
            urgent: false,
        }
    }

    /// Puts the limits of a settings revision in force; an older revision changes nothing.
    ///
    /// An account that is not listed may use nothing.
    pub fn on_settings(&mut self, now: Time, revision: u64, limits: &BTreeMap<Arc<str>, Limit>) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        for (name, account) in &mut self.accounts {
            let limit = limits.get(name).copied().unwrap_or_default();
            account
                .bucket
                .set_limit(now, &self.schedule, limit, self.policy.spread);
        }
        for (name, limit) in limits {
            self.accounts.entry(Arc::clone(name)).or_insert_with(|| {
                let mut account = Account::open(now, name, *limit);
                account.lenders().set(&self.peers, self.share.members());
                account
            });
        }
    }

    /// Returns the other instances whose leases have not lapsed.
    pub fn members(&self) -> &BTreeMap<Arc<str>, Holder> {
        self.share.members()
    }

    /// Returns when the rows of all instances were last read.
    pub fn last_read(&self) -> Option<Time> {
        self.share.last_read()
    }

    /// Sets the instances that may be asked for loans, without this one.
    pub fn on_peers(&mut self, peers: Vec<Arc<str>>) {
        if peers == self.peers {
            return;
        }
        for account in self.accounts.values_mut() {
            account.lenders().set(&peers, self.share.members());
        }
        self.peers = peers;
    }

    /// Decides about a request of an account.
    ///
    /// `since` is `None` at the first call for a request. When that told it to wait, each further
    /// call passes the `now` of the first one.
    pub fn admit(&mut self, now: Time, account: &str, cost: u64, since: Option<Time>) -> Decision {
        let Some(account) = self.accounts.get_mut(account) else {
            let retry_after = Span::from_secs(1);
            return Decision::Refuse { retry_after };
        };
        let cost = Amount::from_tokens(cost);
        let decision = account.admit(now, &self.policy, &self.schedule, cost, since);
        if matches!(decision, Decision::Wait { .. }) && since.is_none() {
            self.urgent = true;
        }
        decision
    }

    /// Records that a request which was told to wait does not ask again.
    pub fn cancel(&mut self, account: &str, cost: u64) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.cancel(Amount::from_tokens(cost));
        }
    }

    /// Returns whether `tick` should be called at once.
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Does what is due; to be called every few milliseconds.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.urgent = false;
        let mut actions = self.share.tick(now);
        self.reschedule(now);
        for (name, account) in &mut self.accounts {
            for (to, amount) in account.tick(now, &self.policy, &self.schedule) {
                self.next_ask += 1;
                account.lenders().on_ask(now, self.next_ask, &to);
                let message = Message::Ask(Ask {
                    id: self.next_ask,
                    life: self.life,
                    account: Arc::clone(name),
                    limit: account.bucket.limit(),
                    amount,
                    urgent: account.is_short(),
                });
                actions.push(Action::Send(Send { to, message }));
            }
        }
        self.accounts.retain(|_, account| !account.is_over());
        actions
    }

    /// Takes in a message of another instance and returns the answers.
    pub fn on_message(&mut self, now: Time, from: &str, message: Message) -> Vec<Send> {
        let answer = match message {
            Message::Ask(ask) => self.on_ask(now, &ask),
            Message::Hold(hold) => self.share.on_hold(now, hold),
            Message::Take(take) => self.share.on_take(now, take),
            Message::Loan(loan) => {
                if loan.life == self.life
                    && let Some(account) = self.accounts.get_mut(&loan.account)
                {
                    account.on_loan(now, &self.policy, &self.schedule, from, &loan);
                    self.urgent |= account.is_short();
                }
                None
            }
            Message::Promise(answer) => {
                self.share.on_promise(from, &answer);
                self.reschedule(now);
                None
            }
            Message::Consent(answer) => {
                self.share.on_consent(from, &answer);
                None
            }
        };
        let to = Arc::from(from);
        answer
            .map(|message| Send { to, message })
            .into_iter()
            .collect()
    }

    /// Takes in the answer to a read.
    pub fn on_read(
        &mut self,
        now: Time,
        id: u64,
        result: Result<Vec<store::Row>, Error>,
    ) -> Vec<Action> {
        let before = self.share.members().clone();
        let actions = self.share.on_read(now, id, result);
        self.reschedule(now);
        if *self.share.members() != before {
            for account in self.accounts.values_mut() {
                account.lenders().set(&self.peers, self.share.members());
            }
        }
        actions
    }

    /// Takes in the answer to a transaction.
    pub fn on_commit(&mut self, now: Time, id: u64, result: Result<Outcome, Error>) {
        self.share.on_commit(now, id, result);
        self.reschedule(now);
    }

    /// Gives all slices back, for a planned stop; nothing more is granted.
    pub fn leave(&mut self, now: Time) {
        self.share.leave();
        self.reschedule(now);
    }

    /// Returns whether all slices were given back.
    pub fn has_left(&self) -> bool {
        self.share.left()
    }

    /// Returns the slices in use, for metrics.
    pub fn schedule(&self) -> Schedule {
        self.schedule
    }

    /// Returns the settings revision in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn on_ask(&mut self, now: Time, ask: &Ask) -> Option<Message> {
        let account = self.accounts.get_mut(&ask.account)?;
        let loan = account.lend(now, &self.policy, &self.schedule, ask);
        Some(Message::Loan(loan))
    }

    /// Takes over the share's schedule; what came before counts under the old one.
    fn reschedule(&mut self, now: Time) {
        let next = self.share.schedule(now);
        if next == self.schedule {
            return;
        }
        for account in self.accounts.values_mut() {
            account.bucket.settle(now, &self.schedule);
        }
        let gained = next.full & !self.schedule.full;
        self.schedule = next;
        for account in self.accounts.values_mut() {
            if self.policy.start_full {
                account.bucket.credit(gained);
            }
            account.bucket.settle(now, &self.schedule);
        }
    }
}
