//! The own slices over time: reads, renewals, promises and takeovers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use store::Error;
use store::Outcome;

use crate::rate::Action;
use crate::rate::Answer;
use crate::rate::Hold;
use crate::rate::Member;
use crate::rate::Message;
use crate::rate::Policy;
use crate::rate::Row;
use crate::rate::Schedule;
use crate::rate::Send;
use crate::rate::Take;
use crate::rate::hash::hash;
use crate::rate::slices::elector::Elector;
use crate::rate::slices::plan::Plan;
use crate::rate::slices::plan::Takeover;
use crate::rate::slices::plan::plan;
use crate::rate::slices::requests::Requests;
use crate::rate::slices::tenure::Known;
use crate::rate::slices::tenure::Tenure;
use crate::rate::slices::transaction::Transaction;
use crate::rate::slices::view::Holder;
use crate::rate::slices::view::View;

/// How long a change of owners takes at the table, about.
const CONFLICT_TURN: Span = Span::from_millis(4);

/// The table call that is under way; there is at most one.
#[derive(Clone, Debug)]
struct Call {
    id: u64,
    started: Time,
    /// Whether it deletes the own row for a planned stop.
    removal: bool,
}

/// The own slices over time.
#[derive(Clone, Debug)]
pub(crate) struct Share {
    me: Member,
    key: Arc<str>,
    address: SocketAddr,
    policy: Policy,
    view: View,
    tenure: Tenure,
    elector: Elector,
    call: Option<Call>,
    next_read: Time,
    next_hold: Time,
    next_take: Time,
    /// When the last renewal that took effect was started.
    renewed: Time,
    requests: Requests,
    leaving: bool,
    left: bool,
}

impl Share {
    /// Opens the state of a member that holds nothing; `address` is where it listens already.
    pub fn open(me: Member, address: SocketAddr, policy: Policy) -> Self {
        Self {
            key: me.key(),
            tenure: Tenure::open(me.clone()),
            me,
            address,
            policy,
            view: View::default(),
            elector: Elector::default(),
            call: None,
            next_read: Time::ZERO,
            next_hold: Time::ZERO,
            next_take: Time::ZERO,
            renewed: Time::ZERO,
            requests: Requests::default(),
            leaving: false,
            left: false,
        }
    }

    /// Returns how many slices may be used, and until when.
    pub fn schedule(&mut self, now: Time) -> Schedule {
        self.tenure.schedule(now, &self.policy)
    }

    /// Returns the other live members, as of the last read.
    pub fn members(&self) -> &BTreeMap<Arc<str>, Holder> {
        &self.view.live
    }

    /// Returns when the rows were last read.
    pub fn last_read(&self) -> Option<Time> {
        self.view.read_at()
    }

    /// Gives all slices back, for a planned stop.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether all slices were given back.
    pub fn left(&self) -> bool {
        self.left
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.elector.tick(now);
        self.requests
            .tick(now, self.policy.promise, &self.view.rows);
        // What was tried stays in doubt; a later answer is ignored.
        self.call
            .take_if(|call| now >= call.started + self.policy.call);
        if self.call.is_none() && now >= self.next_read && !self.left {
            let is_alone = self.view.rows.is_empty();
            let every = if is_alone {
                self.policy.first_read_interval
            } else {
                self.for_fleet(self.policy.read_interval)
            };
            self.next_read = now + every;
            let id = self.begin(now, false);
            actions.push(Action::Read { id });
        }
        if now >= self.next_hold {
            actions.extend(self.hold(now));
        }
        if now >= self.next_take && self.view.is_recent(now, &self.policy) {
            self.next_take = now + self.for_fleet(self.policy.read_interval);
            actions.extend(self.take(now));
        }
        actions
    }

    /// Takes in the answer to a read of all rows; `Err` whenever there was none in time.
    pub fn on_read(
        &mut self,
        now: Time,
        id: u64,
        result: Result<Vec<store::Row>, Error>,
    ) -> Vec<Action> {
        if self.end(id).is_none() {
            return Vec::new();
        }
        let Ok(rows) = result else {
            return Vec::new();
        };
        if !self.view.on_read(now, &self.policy, &rows) {
            return Vec::new();
        }
        self.view.live.remove(&self.me.name);
        let found = self.view.rows.remove(&self.key).map(|seen| Known {
            version: seen.version,
            row: seen.row,
        });
        self.tenure.on_read(now, &self.policy, found);
        self.write(now).into_iter().collect()
    }

    /// Takes in the answer to a transaction; `Err` whenever there was none in time.
    pub fn on_commit(&mut self, now: Time, id: u64, result: Result<Outcome, Error>) {
        let Some(call) = self.end(id) else {
            return;
        };
        match result {
            Ok(Outcome::Committed { .. }) if call.removal => {
                self.tenure.stop();
                self.left = true;
            }
            Ok(Outcome::Committed { version }) => {
                let started = call.started;
                self.tenure
                    .on_committed(now, &self.policy, started, version);
                self.renewed = started;
            }
            // A conflict may be with the same write, sent twice by the transport, so only the
            // next read tells whether it took effect.
            Ok(Outcome::Conflict { .. }) | Err(Error::Unknown { .. }) => {
                self.next_read = now + self.conflict_pause();
            }
            Err(Error::Refused { .. }) => self.tenure.on_refused(),
        }
    }

    /// Returns a pause that differs among members who take slices at the same time, so that they
    /// don't meet again.
    fn conflict_pause(&self) -> Span {
        let members = self.view.rows.len() as u64 + 1;
        let turn = hash((&self.me, self.tenure.next_serial())) % members;
        Span::from_micros(CONFLICT_TURN.as_micros() * turn)
    }

    /// Decides about another member's hold.
    pub fn on_hold(&mut self, now: Time, hold: Hold) -> Option<Message> {
        if hold.elector != self.me.life || hold.row == self.key {
            return None;
        }
        let granted = self.elector.on_hold(now, &self.policy, &hold);
        Some(Message::Promise(Answer {
            id: hold.id,
            row: hold.row,
            elector: self.me.life,
            granted,
        }))
    }

    /// Decides about another member's takeover of a row.
    pub fn on_take(&mut self, now: Time, take: Take) -> Option<Message> {
        // The own row is never given up this way: this member counts on its own promise.
        if take.elector != self.me.life || take.row == self.key {
            return None;
        }
        let granted = self.elector.on_take(now, &self.policy, &take);
        Some(Message::Consent(Answer {
            id: take.id,
            row: take.row,
            elector: self.me.life,
            granted,
        }))
    }

    /// Takes in an elector's promise.
    pub fn on_promise(&mut self, from: &str, answer: &Answer) {
        if let Some(request) = self.requests.granted(from, answer) {
            self.tenure
                .on_promise(&self.policy, request.started, request.elector);
        }
    }

    /// Takes in an elector's consent.
    pub fn on_consent(&mut self, from: &str, answer: &Answer) {
        if let Some(request) = self.requests.granted(from, answer) {
            self.requests
                .on_consent(&answer.row, request.version, request.elector);
        }
    }

    /// Asks the electors for promises when the row was not renewed for a while.
    fn hold(&mut self, now: Time) -> Vec<Action> {
        let late =
            self.renewed + self.for_fleet(self.policy.renew_interval) + self.policy.ask_promise;
        let Some(known) = self.tenure.known.clone().filter(|_| now >= late) else {
            return Vec::new();
        };
        self.next_hold = now + self.policy.ask_promise;
        let mut actions = Vec::new();
        let me = self.me.clone();
        for elector in known.row.electors.iter().filter(|e| **e != me) {
            let id = self.requests.open(now, elector, None);
            let message = Message::Hold(Hold {
                id,
                row: Arc::clone(&self.key),
                serial: known.row.serial,
                elector: elector.life,
            });
            actions.push(send(elector, message));
        }
        actions
    }

    /// Asks the electors of lapsed rows for their consent to a takeover.
    fn take(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let policy = self.policy;
        let rows = std::mem::take(&mut self.view.rows);
        let lapsed = rows
            .iter()
            .filter(|(_, seen)| seen.row.mobile != 0 && seen.lapsed(now, &policy));
        for (key, seen) in lapsed {
            for elector in self.requests.missing(key, seen) {
                let take = Take {
                    id: self.requests.open(now, &elector, Some(seen.version)),
                    row: Arc::clone(key),
                    serial: seen.row.serial,
                    elector: elector.life,
                };
                if elector != self.me {
                    actions.push(send(&elector, Message::Take(take)));
                } else if self.elector.on_take(now, &policy, &take) {
                    self.requests.on_consent(key, Some(seen.version), elector);
                }
            }
        }
        self.view.rows = rows;
        actions
    }

    /// Writes the own row if it is due or should change.
    fn write(&mut self, now: Time) -> Option<Action> {
        let own = self.tenure.known.as_ref().map(|known| &known.row);
        if self.leaving {
            return self.remove(now);
        }
        let takeovers = self.takeovers(now);
        let plan = plan(now, &self.policy, &self.me, own, &self.view.rows, takeovers);
        let same = own.is_some_and(|row| {
            !row.lapsed
                && row.pinned == plan.pinned
                && row.mobile == plan.mobile
                && row.electors == plan.electors
        });
        let due = now >= self.renewed + self.for_fleet(self.policy.renew_interval);
        if same && !due && plan.takeovers.is_empty() {
            return None;
        }
        Some(self.commit(now, plan))
    }

    /// Returns the rows that can be taken over now.
    fn takeovers(&self, now: Time) -> BTreeMap<Arc<str>, Takeover> {
        let mut takeovers = BTreeMap::new();
        for (key, seen) in &self.view.rows {
            let row = &seen.row;
            // Only one process at a time listens on an address, and this one does.
            let succeeded = row.address == self.address && row.member.name == self.me.name;
            let empty = row.slices() == 0 && seen.lapsed(now, &self.policy);
            if succeeded || empty || seen.ended(now, &self.policy) {
                takeovers.insert(Arc::clone(key), Takeover::All);
                continue;
            }
            let agreed = self.policy.skip_consent || self.requests.agreed(key, seen);
            if row.mobile != 0 && agreed && seen.lapsed(now, &self.policy) {
                takeovers.insert(Arc::clone(key), Takeover::Mobile);
            }
        }
        takeovers
    }

    /// Sends the transaction of a plan.
    fn commit(&mut self, now: Time, plan: Plan) -> Action {
        let known = self.tenure.known.as_ref();
        let row = Row {
            member: self.me.clone(),
            address: self.address,
            serial: self.tenure.next_serial(),
            lapsed: false,
            lease_ms: self.for_fleet(self.policy.lease).as_millis(),
            pinned: plan.pinned,
            mobile: plan.mobile,
            electors: plan.electors,
        };
        let transaction = Transaction::renew(&self.key, known, &row, &self.view, &plan.takeovers);
        self.tenure.on_try(row);
        self.begin_commit(now, transaction, false)
    }

    /// Deletes the own row.
    fn remove(&mut self, now: Time) -> Option<Action> {
        let Some(known) = self.tenure.known.clone() else {
            self.left = true;
            return None;
        };
        let transaction = Transaction::remove(&self.key, &known, &self.view);
        let row = Row {
            serial: self.tenure.next_serial(),
            pinned: 0,
            mobile: 0,
            ..known.row
        };
        self.tenure.on_try(row);
        Some(self.begin_commit(now, transaction, true))
    }

    fn begin_commit(&mut self, now: Time, transaction: Transaction, removal: bool) -> Action {
        let id = self.begin(now, removal);
        Action::Commit {
            id,
            conditions: transaction.conditions,
            writes: transaction.writes,
        }
    }

    fn for_fleet(&self, span: Span) -> Span {
        self.policy.for_fleet(span, self.view.rows.len())
    }

    fn begin(&mut self, now: Time, removal: bool) -> u64 {
        let id = self.requests.next_id();
        self.call = Some(Call {
            id,
            started: now,
            removal,
        });
        id
    }

    fn end(&mut self, id: u64) -> Option<Call> {
        self.call.take_if(|call| call.id == id)
    }
}

fn send(to: &Member, message: Message) -> Action {
    Action::Send(Send {
        to: Arc::clone(&to.name),
        message,
    })
}
