//! Acquires, renews and releases the slices of this instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use store::Error;
use store::Outcome;

use crate::rate::Action;
use crate::rate::Answer;
use crate::rate::Claim;
use crate::rate::Extension;
use crate::rate::Member;
use crate::rate::Message;
use crate::rate::Policy;
use crate::rate::Registration;
use crate::rate::Row;
use crate::rate::Schedule;
use crate::rate::Send;
use crate::rate::hash::hash;
use crate::rate::slices::elector::Elector;
use crate::rate::slices::lease::Confirmed;
use crate::rate::slices::lease::Lease;
use crate::rate::slices::plan::Plan;
use crate::rate::slices::plan::Takeover;
use crate::rate::slices::plan::plan;
use crate::rate::slices::requests::Requests;
use crate::rate::slices::transaction::Transaction;
use crate::rate::slices::view::Holder;
use crate::rate::slices::view::View;

/// Backoff step after a conflict; about the duration of one transaction at the table.
const CONFLICT_BACKOFF_STEP: Span = Span::from_millis(4);

/// The pending table call; there is at most one.
#[derive(Clone, Debug)]
struct Call {
    id: u64,
    started: Time,
    /// Whether it deletes the own row for a planned stop.
    is_removal: bool,
}

/// Acquires, renews and releases the slices of this instance.
///
/// The instance reads the rows of all members, renews its own row, requests promises from electors
/// while it cannot renew, and takes over slices of lapsed members.
#[derive(Clone, Debug)]
pub(crate) struct Manager {
    local: Member,
    key: Arc<str>,
    address: SocketAddr,
    /// The zone that the own row names.
    zone: Option<Arc<str>>,
    policy: Policy,
    view: View,
    lease: Lease,
    elector: Elector,
    call: Option<Call>,
    next_read: Time,
    next_extension: Time,
    next_claim: Time,
    /// Start time of the last committed renewal.
    renewed_at: Time,
    requests: Requests,
    /// When the own row was first committed since it last lapsed.
    registered_since: Time,
    /// When the own row was first committed.
    registered_at: Option<Time>,
    /// When free slices may be acquired for the first time, once it is known.
    acquire_at: Option<Time>,
    is_leaving: bool,
    has_left: bool,
}

impl Manager {
    /// Opens the state of a member without slices, which already listens on `address`.
    pub fn open(local: Member, address: SocketAddr, policy: Policy) -> Self {
        Self {
            key: local.key(),
            lease: Lease::open(local.clone()),
            local,
            address,
            zone: None,
            policy,
            view: View::default(),
            elector: Elector::default(),
            call: None,
            next_read: Time::ZERO,
            next_extension: Time::ZERO,
            next_claim: Time::ZERO,
            renewed_at: Time::ZERO,
            requests: Requests::default(),
            registered_since: Time::ZERO,
            registered_at: None,
            acquire_at: None,
            is_leaving: false,
            has_left: false,
        }
    }

    /// Sets the zone that the own row names from its next write on.
    pub fn set_zone(&mut self, zone: &Arc<str>) {
        self.zone = Some(Arc::clone(zone));
    }

    /// Returns the slices that may be used, and until when.
    pub fn schedule(&mut self, now: Time) -> Schedule {
        self.lease.schedule(now, &self.policy)
    }

    /// Returns the other members whose leases had not lapsed at the last read, by name.
    pub fn members(&self) -> &BTreeMap<Arc<str>, Holder> {
        &self.view.holders
    }

    /// Returns when the rows were last read.
    pub fn last_read(&self) -> Option<Time> {
        self.view.read_at()
    }

    /// Returns for which time the own row is sure to be in the table.
    pub fn registration(&self) -> Registration {
        let confirmed = self.lease.confirmed.as_ref();
        confirmed.map_or(Registration::default(), |confirmed| Registration {
            since: self.registered_since,
            until: self.renewed_at + Span::from_millis(confirmed.row.lease_ms),
        })
    }

    /// Starts to release all slices for a planned stop.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether all slices have been released.
    pub fn has_left(&self) -> bool {
        self.has_left
    }

    /// Performs due work and returns the resulting actions.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.elector.tick(now);
        self.requests
            .tick(now, self.policy.promise, &self.view.rows);
        // After a timeout the write stays in doubt, and a later answer is ignored.
        self.call
            .take_if(|call| now >= call.started + self.policy.call_timeout);
        if self.call.is_none() && now >= self.next_read && !self.has_left {
            let is_alone = self.view.rows.is_empty();
            let interval = if is_alone {
                self.policy.first_read_interval
            } else {
                self.scale_to_fleet(self.policy.read_interval)
            };
            self.next_read = now + interval;
            let id = self.begin_call(now, false);
            actions.push(Action::Read { id });
        }
        if now >= self.next_extension {
            actions.extend(self.request_extensions(now));
        }
        if now >= self.next_claim && self.view.is_recent(now, &self.policy) {
            self.next_claim = now + self.scale_to_fleet(self.policy.read_interval);
            actions.extend(self.request_consents(now));
        }
        actions
    }

    /// Handles the result of a read of all rows; `Err` if there was no answer in time.
    pub fn on_read(
        &mut self,
        now: Time,
        id: u64,
        result: Result<Vec<store::Row>, Error>,
    ) -> Vec<Action> {
        if self.end_call(id).is_none() {
            return Vec::new();
        }
        let Ok(rows) = result else {
            return Vec::new();
        };
        if !self.view.on_read(now, &self.policy, &rows) {
            return Vec::new();
        }
        self.view.holders.remove(&self.local.name);
        let confirmed = self.view.rows.remove(&self.key).map(|observed| Confirmed {
            version: observed.version,
            row: observed.row,
        });
        self.lease.on_read(now, &self.policy, confirmed);
        self.schedule_acquisition(now);
        self.write(now).into_iter().collect()
    }

    /// Handles the result of a transaction; `Err` if it was refused or not answered in time.
    pub fn on_commit(&mut self, now: Time, id: u64, result: Result<Outcome, Error>) {
        let Some(call) = self.end_call(id) else {
            return;
        };
        match result {
            Ok(Outcome::Committed { .. }) if call.is_removal => {
                self.lease.clear();
                self.has_left = true;
            }
            Ok(Outcome::Committed { version }) => {
                let started = call.started;
                if self.registration().until <= now {
                    self.registered_since = now;
                }
                self.lease.on_committed(now, &self.policy, started, version);
                self.renewed_at = started;
                if self.registered_at.is_none() {
                    self.registered_at = Some(now);
                    self.next_read = self.next_read.min(now + self.policy.join_delay);
                }
            }
            // The conflict may be with a duplicate of the same write sent by the transport, so only
            // the next read shows whether the write was committed.
            Ok(Outcome::Conflict { .. }) | Err(Error::Unknown { .. }) => {
                self.next_read = now + self.conflict_backoff();
            }
            Err(Error::Refused { .. }) => self.lease.on_refused(),
        }
    }

    /// Returns a backoff that differs between members that conflicted over slices, so that their
    /// next attempts do not coincide.
    fn conflict_backoff(&self) -> Span {
        let members = self.view.rows.len() as u64 + 1;
        let slot = hash((&self.local, self.lease.next_serial())) % members;
        Span::from_micros(CONFLICT_BACKOFF_STEP.as_micros() * slot)
    }

    /// Answers another member's extension request.
    pub fn on_extension(&mut self, now: Time, extension: Extension) -> Option<Message> {
        if extension.elector_life != self.local.life || extension.row == self.key {
            return None;
        }
        let is_granted = self.elector.on_extension(now, &self.policy, &extension);
        Some(Message::Promise(Answer {
            id: extension.id,
            row: extension.row,
            elector_life: self.local.life,
            is_granted,
        }))
    }

    /// Answers another member's claim to a row.
    pub fn on_claim(&mut self, now: Time, claim: Claim) -> Option<Message> {
        // Never consents to a takeover of the own row: this member relies on its own promise.
        if claim.elector_life != self.local.life || claim.row == self.key {
            return None;
        }
        let is_granted = self.elector.on_claim(now, &self.policy, &claim);
        Some(Message::Consent(Answer {
            id: claim.id,
            row: claim.row,
            elector_life: self.local.life,
            is_granted,
        }))
    }

    /// Handles an elector's answer to an extension.
    pub fn on_promise(&mut self, from: &str, answer: &Answer) {
        if let Some(request) = self.requests.take_granted(from, answer) {
            self.lease
                .on_promise(&self.policy, request.sent_at, request.elector);
        }
    }

    /// Handles an elector's answer to a claim.
    pub fn on_consent(&mut self, from: &str, answer: &Answer) {
        if let Some(request) = self.requests.take_granted(from, answer) {
            self.requests
                .on_consent(&answer.row, request.version, request.elector);
        }
    }

    /// Requests promises from the electors when a renewal of the own row is overdue.
    fn request_extensions(&mut self, now: Time) -> Vec<Action> {
        let overdue_at = self.renewed_at
            + self.scale_to_fleet(self.policy.renew_interval)
            + self.policy.promise_interval;
        let Some(confirmed) = self.lease.confirmed.clone().filter(|_| now >= overdue_at) else {
            return Vec::new();
        };
        self.next_extension = now + self.policy.promise_interval;
        let mut actions = Vec::new();
        let local = self.local.clone();
        for elector in confirmed.row.electors.iter().filter(|e| **e != local) {
            let id = self.requests.open(now, elector, None);
            let message = Message::Extension(Extension {
                id,
                row: Arc::clone(&self.key),
                serial: confirmed.row.serial,
                elector_life: elector.life,
            });
            actions.push(send(elector, message));
        }
        actions
    }

    /// Requests consents to a takeover from the electors of lapsed rows.
    fn request_consents(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let policy = self.policy;
        let rows = std::mem::take(&mut self.view.rows);
        let lapsed = rows
            .iter()
            .filter(|(_, observed)| observed.row.mobile != 0 && observed.has_lapsed(now, &policy));
        for (key, observed) in lapsed {
            for elector in self.requests.pending_electors(key, observed) {
                let claim = Claim {
                    id: self.requests.open(now, &elector, Some(observed.version)),
                    row: Arc::clone(key),
                    serial: observed.row.serial,
                    elector_life: elector.life,
                };
                if elector != self.local {
                    actions.push(send(&elector, Message::Claim(claim)));
                } else if self.elector.on_claim(now, &policy, &claim) {
                    self.requests
                        .on_consent(key, Some(observed.version), elector);
                }
            }
        }
        self.view.rows = rows;
        actions
    }

    /// Sets when this member first acquires free slices, so that members that start together do it
    /// one after another.
    fn schedule_acquisition(&mut self, now: Time) {
        let is_settled = self
            .registered_at
            .is_some_and(|at| now >= at + self.policy.join_delay);
        if self.acquire_at.is_some() || !is_settled {
            return;
        }
        let members = self.view.rows.values();
        let before = members
            .filter(|observed| observed.row.member < self.local)
            .count() as u64;
        let at = now + Span::from_micros(self.policy.join_spacing.as_micros() * before);
        self.acquire_at = Some(at);
        self.next_read = self.next_read.min(at);
    }

    /// Returns whether free slices may be acquired.
    fn may_acquire(&self, now: Time) -> bool {
        self.policy.join_delay == Span::ZERO || self.acquire_at.is_some_and(|at| now >= at)
    }

    /// Writes the own row if its renewal is due or its content changes.
    fn write(&mut self, now: Time) -> Option<Action> {
        let own = self
            .lease
            .confirmed
            .as_ref()
            .map(|confirmed| &confirmed.row);
        if self.is_leaving {
            return self.remove(now);
        }
        let takeovers = self.takeovers(now);
        let may_acquire = self.may_acquire(now) || !takeovers.is_empty();
        let plan = plan(
            now,
            &self.policy,
            &self.local,
            own,
            &self.view.rows,
            takeovers,
            may_acquire,
        );
        let is_unchanged = own.is_some_and(|row| {
            !row.lapsed
                && row.pinned == plan.pinned
                && row.mobile == plan.mobile
                && row.electors == plan.electors
        });
        let is_due = now >= self.renewed_at + self.scale_to_fleet(self.policy.renew_interval);
        if is_unchanged && !is_due && plan.takeovers.is_empty() {
            return None;
        }
        Some(self.commit(now, plan))
    }

    /// Returns the rows that can be taken over now.
    fn takeovers(&self, now: Time) -> BTreeMap<Arc<str>, Takeover> {
        let mut takeovers = BTreeMap::new();
        for (key, observed) in &self.view.rows {
            let row = &observed.row;
            // This process listens on the address, so the earlier life with it has ended.
            let is_earlier_life = row.address == self.address && row.member.name == self.local.name;
            let is_empty = row.slices() == 0 && observed.has_lapsed(now, &self.policy);
            if is_earlier_life || is_empty || observed.has_long_lease_lapsed(now, &self.policy) {
                takeovers.insert(Arc::clone(key), Takeover::All);
                continue;
            }
            let has_consent = self.policy.skip_consent || self.requests.has_majority(key, observed);
            if row.mobile != 0 && has_consent && observed.has_lapsed(now, &self.policy) {
                takeovers.insert(Arc::clone(key), Takeover::Mobile);
            }
        }
        takeovers
    }

    /// Starts the transaction that carries out a plan.
    fn commit(&mut self, now: Time, plan: Plan) -> Action {
        let confirmed = self.lease.confirmed.as_ref();
        let row = Row {
            member: self.local.clone(),
            address: self.address,
            serial: self.lease.next_serial(),
            lapsed: false,
            lease_ms: self.scale_to_fleet(self.policy.lease).as_millis(),
            pinned: plan.pinned,
            mobile: plan.mobile,
            electors: plan.electors,
            zone: self.zone.clone(),
        };
        let transaction =
            Transaction::renew(&self.key, confirmed, &row, &self.view, &plan.takeovers);
        self.lease.on_write_sent(row);
        self.begin_commit(now, transaction, false)
    }

    /// Deletes the own row.
    fn remove(&mut self, now: Time) -> Option<Action> {
        let Some(confirmed) = self.lease.confirmed.clone() else {
            self.has_left = true;
            return None;
        };
        let transaction = Transaction::remove(&self.key, &confirmed, &self.view);
        let row = Row {
            serial: self.lease.next_serial(),
            pinned: 0,
            mobile: 0,
            ..confirmed.row
        };
        self.lease.on_write_sent(row);
        Some(self.begin_commit(now, transaction, true))
    }

    fn begin_commit(&mut self, now: Time, transaction: Transaction, is_removal: bool) -> Action {
        let id = self.begin_call(now, is_removal);
        Action::Commit {
            id,
            conditions: transaction.conditions,
            writes: transaction.writes,
        }
    }

    fn scale_to_fleet(&self, span: Span) -> Span {
        self.policy.scale_to_fleet(span, self.view.rows.len())
    }

    fn begin_call(&mut self, now: Time, is_removal: bool) -> u64 {
        let id = self.requests.next_id();
        self.call = Some(Call {
            id,
            started: now,
            is_removal,
        });
        id
    }

    fn end_call(&mut self, id: u64) -> Option<Call> {
        self.call.take_if(|call| call.id == id)
    }
}

fn send(to: &Member, message: Message) -> Action {
    Action::Send(Send {
        to: Arc::clone(&to.name),
        message,
    })
}
