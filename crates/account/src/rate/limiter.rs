//! Rate limiter of one instance for all accounts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use store::Error;
use store::Outcome;

use crate::rate::Action;
use crate::rate::Amount;
use crate::rate::Attempt;
use crate::rate::Borrow;
use crate::rate::Decision;
use crate::rate::Holder;
use crate::rate::Limit;
use crate::rate::Member;
use crate::rate::Message;
use crate::rate::Policy;
use crate::rate::Registration;
use crate::rate::Schedule;
use crate::rate::Send;
use crate::rate::account::Account;
use crate::rate::layout::Layout;
use crate::rate::lenders::Directory;
use crate::rate::slices::Manager;

/// Rate limiter of one instance for all accounts.
///
/// Every `now` must be read from the clock after the other arguments of the call were received.
#[derive(Clone, Debug)]
pub struct Limiter {
    life: u64,
    policy: Policy,
    /// The settings revision of the limits; never decreases.
    revision: u64,
    /// The limits of the settings.
    limits: BTreeMap<Arc<str>, Limit>,
    /// The layout of all buckets.
    layout: Layout,
    accounts: BTreeMap<Arc<str>, Account>,
    slices: Manager,
    /// The slices that the buckets use; all buckets are settled before it changes.
    schedule: Schedule,
    peers: Vec<Arc<str>>,
    /// The peers with their slices, shared by the accounts.
    directory: Arc<Directory>,
    next_borrow_id: u64,
    is_urgent: bool,
}

impl Limiter {
    /// Opens a limiter without slices.
    ///
    /// `life` is unique among all lives of the instance. `address` is the IP address and port on
    /// which this process already listens: rows of earlier lives of the instance with that address
    /// are taken over at once, since no other process can listen on it.
    ///
    /// # Panics
    ///
    /// Panics if `address` has an unspecified IP address or port 0.
    pub fn open(instance: &str, life: u64, address: SocketAddr, policy: Policy) -> Self {
        assert!(
            !address.ip().is_unspecified() && address.port() != 0,
            "the address must have a specific IP address and port"
        );
        let local = Member {
            name: Arc::from(instance),
            life,
        };
        Self {
            life,
            policy,
            revision: 0,
            limits: BTreeMap::new(),
            layout: Layout::NEWEST,
            accounts: BTreeMap::new(),
            slices: Manager::open(local, address, policy),
            schedule: Schedule::default(),
            peers: Vec::new(),
            directory: Arc::default(),
            next_borrow_id: 0,
            is_urgent: false,
        }
    }

    /// Records in this instance's row that it runs statements for other instances of its zone.
    pub fn set_zone(&mut self, zone: &Arc<str>) {
        self.slices.set_zone(zone);
    }

    /// Applies the limits of a settings revision; a revision that is not newer is ignored.
    ///
    /// An account that is not listed is refused all requests.
    pub fn on_settings(&mut self, now: Time, revision: u64, limits: &BTreeMap<Arc<str>, Limit>) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        self.limits.clone_from(limits);
        self.apply_limits(now, self.policy.max_settings_delay);
        let quota = self.policy.quota;
        for (name, limit) in limits {
            self.accounts.entry(Arc::clone(name)).or_insert_with(|| {
                let limit = self.layout.bucket_limit(quota, *limit);
                let mut account = Account::open(now, name, self.layout, limit);
                account.lenders().set_directory(&self.directory);
                account
            });
        }
    }

    /// Applies the limits and the layout to all buckets; other instances may do so `max_delay` later.
    fn apply_limits(&mut self, now: Time, max_delay: Span) {
        for (name, account) in &mut self.accounts {
            let limit = self.limits.get(name).copied().unwrap_or_default();
            let limit = self.layout.bucket_limit(self.policy.quota, limit);
            account
                .bucket
                .set_limit(now, &self.schedule, self.layout, limit, max_delay);
        }
    }

    /// Uses the newest layout that the versions of all rows know.
    fn update_layout(&mut self, now: Time) {
        let layout = self.slices.layout();
        if layout == self.layout {
            return;
        }
        self.layout = layout;
        self.apply_limits(now, self.slices.view_age_max());
    }

    /// Returns the other instances whose leases have not lapsed, by name.
    pub fn members(&self) -> &BTreeMap<Arc<str>, Holder> {
        self.slices.members()
    }

    /// Returns when the rows of all instances were last read; `None` before the first read.
    pub fn last_read(&self) -> Option<Time> {
        self.slices.last_read()
    }

    /// Returns for which time the row that registers this instance is sure to be in the table.
    pub fn registration(&self) -> Registration {
        self.slices.registration()
    }

    /// Sets the peers that may lend tokens, without this instance.
    pub fn on_peers(&mut self, peers: Vec<Arc<str>>) {
        if peers == self.peers {
            return;
        }
        self.peers = peers;
        self.update_directory();
    }

    /// Tells all accounts which peers may lend and which slices they hold.
    fn update_directory(&mut self) {
        let members = self.slices.members();
        let directory = self.peers.iter().map(|name| {
            let holder = members.get(name);
            (Arc::clone(name), holder.map(|holder| holder.slices))
        });
        // Whoever holds no slices has nothing to lend.
        let lenders = directory.filter(|(_, slices)| *slices != Some(0));
        self.directory = Arc::new(lenders.collect());
        for account in self.accounts.values_mut() {
            account.lenders().set_directory(&self.directory);
        }
    }

    /// Admits, delays or refuses a request of an account that costs `cost` tokens.
    ///
    /// `since` is `None` at the first call for a request. After `Decision::Wait`, each further call
    /// passes the `now` of the first call.
    pub fn admit(&mut self, now: Time, account: &str, cost: u64, since: Option<Time>) -> Decision {
        let arrived = since.unwrap_or(now);
        let attempt = Attempt {
            cost,
            arrived,
            is_first: since.is_none(),
            deadline: arrived + self.policy.max_wait,
            salt: 0,
        };
        self.admit_by(now, account, &attempt)
    }

    /// Admits, delays or refuses a request of an account that may wait until its own deadline.
    pub fn admit_by(&mut self, now: Time, account: &str, attempt: &Attempt) -> Decision {
        let Some(account) = self.accounts.get_mut(account) else {
            let retry_after = Span::from_secs(1);
            return Decision::Refuse { retry_after };
        };
        let decision = account.admit(now, &self.policy, &self.schedule, attempt);
        if matches!(decision, Decision::Wait { .. }) {
            self.is_urgent |= attempt.is_first || account.lenders().is_overdue(now);
        }
        decision
    }

    /// Cancels a waiting request, for which `admit` will not be called again.
    pub fn cancel(&mut self, account: &str, cost: u64) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.cancel(Amount::from_tokens(cost));
        }
    }

    /// Returns whether `tick` should be called at once instead of at the next interval.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Performs due work and returns the resulting actions; to be called every few milliseconds.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.is_urgent = false;
        let mut actions = self.slices.tick(now);
        self.reschedule(now);
        for (name, account) in &mut self.accounts {
            for (to, amount) in account.tick(now, &self.policy, &self.schedule) {
                self.next_borrow_id += 1;
                account.lenders().on_borrow(now, self.next_borrow_id, &to);
                let message = Message::Borrow(Borrow {
                    id: self.next_borrow_id,
                    life: self.life,
                    account: Arc::clone(name),
                    limit: account.bucket.limit(),
                    amount,
                    is_urgent: account.is_short(),
                });
                actions.push(Action::Send(Send { to, message }));
            }
        }
        self.accounts.retain(|_, account| !account.is_removable());
        actions
    }

    /// Handles a message of another instance and returns the replies.
    pub fn on_message(&mut self, now: Time, from: &str, message: Message) -> Vec<Send> {
        let reply = match message {
            Message::Borrow(borrow) => self.on_borrow(now, &borrow),
            Message::Extension(extension) => self.slices.on_extension(now, extension),
            Message::Claim(claim) => self.slices.on_claim(now, claim),
            Message::Loan(loan) => {
                if loan.life == self.life
                    && let Some(account) = self.accounts.get_mut(&loan.account)
                {
                    account.on_loan(now, &self.policy, &self.schedule, from, &loan);
                    self.is_urgent |= account.is_short();
                }
                None
            }
            Message::Promise(answer) => {
                self.slices.on_promise(from, &answer);
                self.reschedule(now);
                None
            }
            Message::Consent(answer) => {
                self.slices.on_consent(from, &answer);
                None
            }
            Message::GetVersions(query) => {
                let to = Arc::<str>::from(from);
                let messages = self.slices.on_query(now, query).into_iter();
                return messages
                    .map(|message| Send {
                        to: Arc::clone(&to),
                        message,
                    })
                    .collect();
            }
            Message::Versions(versions) => {
                let before = self.slices.members().clone();
                self.slices.on_versions(now, from, versions);
                if *self.slices.members() != before {
                    self.update_directory();
                }
                None
            }
        };
        let to = Arc::from(from);
        reply
            .map(|message| Send { to, message })
            .into_iter()
            .collect()
    }

    /// Handles the result of `Action::Read`.
    pub fn on_read(
        &mut self,
        now: Time,
        id: u64,
        result: Result<Vec<store::Row>, Error>,
    ) -> Vec<Action> {
        let before = self.slices.members().clone();
        let actions = self.slices.on_read(now, id, result);
        self.update_layout(now);
        self.reschedule(now);
        if *self.slices.members() != before {
            self.update_directory();
        }
        actions
    }

    /// Handles the result of `Action::Commit`.
    pub fn on_commit(&mut self, now: Time, id: u64, result: Result<Outcome, Error>) {
        self.slices.on_commit(now, id, result);
        self.reschedule(now);
    }

    /// Returns whether this instance can grant requests: it has slices in use, or it should have none
    /// and knows an instance that has.
    pub fn can_grant(&self, now: Time) -> bool {
        let has_lender = self.directory.values().any(|slices| slices.is_some());
        self.schedule.slice_count(now) > 0 || (has_lender && self.slices.only_borrows(now))
    }

    /// Releases all slices for a planned stop, after which this instance grants nothing.
    pub fn leave(&mut self, now: Time) {
        self.slices.leave();
        self.reschedule(now);
    }

    /// Returns whether all slices have been released.
    pub fn has_left(&self) -> bool {
        self.slices.has_left()
    }

    /// Returns the slices in use, for metrics.
    pub fn schedule(&self) -> Schedule {
        self.schedule
    }

    /// Returns the settings revision of the limits.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn on_borrow(&mut self, now: Time, borrow: &Borrow) -> Option<Message> {
        let account = self.accounts.get_mut(&borrow.account)?;
        let loan = account.lend(now, &self.policy, &self.schedule, borrow);
        Some(Message::Loan(loan))
    }

    /// Applies the current schedule of the slices, after settling all buckets under the old one.
    fn reschedule(&mut self, now: Time) {
        let next = self.slices.schedule(now);
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
                account.bucket.fill(gained);
            }
            account.bucket.settle(now, &self.schedule);
        }
    }
}
