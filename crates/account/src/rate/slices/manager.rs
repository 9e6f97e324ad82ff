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
use crate::rate::Query;
use crate::rate::Registration;
use crate::rate::Row;
use crate::rate::Schedule;
use crate::rate::Send;
use crate::rate::Version;
use crate::rate::Versions;
use crate::rate::hash::hash;
use crate::rate::hash::short_hash;
use crate::rate::layout::Layout;
use crate::rate::slices::elector::Elector;
use crate::rate::slices::holders;
use crate::rate::slices::holders::Candidate;
use crate::rate::slices::inquiry::Inquiry;
use crate::rate::slices::inquiry::Passed;
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

/// Minimum number of instances that read the rows for all; the others ask these.
const READERS_MIN: usize = 2;
/// One further instance reads the rows per this many instances.
const INSTANCES_PER_READER: usize = 16;
/// Maximum number of versions in a message, which must fit into a datagram of 1,400 bytes; one takes
/// at most 25 bytes up to a serial of 2^35.
const VERSIONS_MAX: usize = 44;

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
    /// The pending request for the rows' versions.
    inquiry: Option<Inquiry>,
    /// Whether the rows must be read from the table before the next write.
    must_read: bool,
    /// Whether the rows were updated by another instance's read and the own row was not yet
    /// compared with them.
    is_updated: bool,
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
            inquiry: None,
            must_read: true,
            is_updated: false,
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

    /// Returns the newest layout that the versions of all rows know.
    ///
    /// Lapsed rows count: an older version that was only paused goes on with its pinned slices.
    pub fn layout(&self) -> Layout {
        let rows = self.view.rows.values();
        rows.map(|observed| Layout::of_row(observed.row.version))
            .fold(Layout::NEWEST, Layout::min)
    }

    /// Returns how old the rows may be as any member knows them.
    pub fn view_age_max(&self) -> Span {
        let interval = self.scale_to_fleet(self.policy.read_interval);
        Span::from_micros(interval.as_micros() * 2).max(self.policy.max_settings_delay)
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
        self.lease.on_started(now, &self.policy);
        self.elector.tick(now);
        self.requests
            .tick(now, self.policy.promise, &self.view.rows);
        // After a timeout the write stays in doubt, and a later answer is ignored.
        self.call
            .take_if(|call| now >= call.started + self.policy.call_timeout);
        if std::mem::take(&mut self.is_updated) && self.call.is_none() && !self.must_read {
            actions.extend(self.renew(now));
        }
        let overdue = self
            .inquiry
            .take_if(|inquiry| now >= inquiry.sent_at() + self.policy.promise_interval);
        self.must_read |= overdue.is_some();
        let is_read_due = now >= self.next_read || overdue.is_some();
        if self.call.is_none() && self.inquiry.is_none() && is_read_due && !self.has_left {
            self.next_read = now + self.read_interval();
            actions.push(match self.choose_reader(now) {
                Some(reader) => self.inquire(now, &reader),
                None => self.read(now),
            });
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
        let Some(call) = self.end_call(id) else {
            return Vec::new();
        };
        let Ok(rows) = result else {
            // While the table does not answer, readers must not call it twice as often.
            let interval = self.scale_to_fleet(self.policy.read_interval);
            self.next_read = self.next_read.max(call.started + interval);
            return Vec::new();
        };
        if !self.view.on_read(now, &self.policy, call.started, &rows) {
            return Vec::new();
        }
        self.must_read = false;
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
                self.must_read = true;
                self.next_read = now + self.conflict_backoff();
            }
            Err(Error::Refused { .. }) => self.lease.on_refused(),
        }
    }

    /// Returns how often the rows are read, or requested from an instance that reads them.
    ///
    /// Where rows are passed on, they are at most as old as two of these intervals.
    fn read_interval(&self) -> Span {
        if self.view.rows.is_empty() {
            return self.policy.first_read_interval;
        }
        let interval = self.scale_to_fleet(self.policy.read_interval);
        // While a fleet starts, its size isn't known yet and the interval is shorter than later.
        match self.has_joined() && self.policy.passes_rows_on(self.view.rows.len()) {
            true => Span::from_micros(interval.as_micros() / 2),
            false => interval,
        }
    }

    /// Chooses an instance that reads the rows for others; `None` if this instance must read them
    /// itself.
    fn choose_reader(&self, now: Time) -> Option<Arc<str>> {
        let is_own_row_known = self.lease.confirmed.is_some() && !self.lease.has_doubt();
        // An instance to which nothing newer is passed on reads the rows. What is passed on may be as
        // old as the readers' interval, and is requested again after as long; half an interval more
        // allows for steps and delays.
        let age_max = Span::from_micros(self.read_interval().as_micros() * 5 / 2);
        let is_new = self
            .view
            .read_at()
            .is_some_and(|read_at| now < read_at + age_max);
        if self.must_read
            || self.is_leaving
            || !self.has_joined()
            || !is_own_row_known
            || !is_new
            || !self.policy.passes_rows_on(self.view.rows.len())
        {
            return None;
        }
        let names = self.view.holders.keys().chain([&self.local.name]);
        let mut ranked: Vec<(u64, &Arc<str>)> =
            names.map(|name| (hash(("reader", name)), name)).collect();
        ranked.sort_unstable();
        ranked.truncate(READERS_MIN + ranked.len() / INSTANCES_PER_READER);
        if ranked.iter().any(|(_, name)| **name == self.local.name) {
            return None;
        }
        // Successive requests go to different readers.
        let choice = hash((&self.local.name, now.as_micros())) % ranked.len() as u64;
        // CAST: below the number of readers.
        Some(Arc::clone(ranked[choice as usize].1))
    }

    /// Returns whether the rows were read since free slices may be acquired. Until then this member
    /// reads them itself, since members that start together acquire slices one after another.
    fn has_joined(&self) -> bool {
        let read_at = self.view.read_at();
        self.acquire_at
            .is_some_and(|at| read_at.is_some_and(|read_at| read_at >= at))
    }

    fn read(&mut self, now: Time) -> Action {
        let id = self.begin_call(now, false);
        Action::Read { id }
    }

    fn inquire(&mut self, now: Time, reader: &Arc<str>) -> Action {
        let id = self.requests.next_id();
        self.inquiry = Some(Inquiry::open(now, id, reader));
        let life = self.local.life;
        Action::Send(Send {
            to: Arc::clone(reader),
            message: Message::GetVersions(Query { id, life }),
        })
    }

    /// Answers another member's request for the versions of the rows, unless this member has not
    /// read them recently itself.
    pub fn on_query(&self, now: Time, query: Query) -> Vec<Message> {
        let Some(read_at) = self.view.own_read_at() else {
            return Vec::new();
        };
        let age = now.since(read_at);
        if age > self.scale_to_fleet(self.policy.read_interval) {
            return Vec::new();
        }
        let own = self.lease.confirmed.as_ref().map(|confirmed| Version {
            key: short_hash(&self.key),
            content: confirmed.row.content(),
            version: confirmed.version,
            serial: confirmed.row.serial,
        });
        let mut versions = self.view.versions();
        versions.extend(own);
        let parts = versions.chunks(VERSIONS_MAX);
        // CAST: a fleet has far fewer than 2^32 members.
        let count = parts.len() as u32;
        (0..count)
            .zip(parts)
            .map(|(part, versions)| {
                Message::Versions(Versions {
                    id: query.id,
                    life: query.life,
                    part,
                    count,
                    age_us: age.as_micros(),
                    epoch: self.view.epoch,
                    versions: versions.to_vec(),
                })
            })
            .collect()
    }

    /// Handles versions of the rows that another member read; the next tick renews the own row if
    /// that is due.
    pub fn on_versions(&mut self, now: Time, from: &str, part: Versions) {
        if part.life != self.local.life {
            return;
        }
        let passed = self
            .inquiry
            .as_mut()
            .and_then(|inquiry| inquiry.on_versions(from, part));
        let Some(mut passed) = passed else {
            return;
        };
        self.inquiry = None;
        // A call that is under way brings newer knowledge.
        if self.call.is_some() {
            return;
        }
        if self.view.read_at().is_some_and(|at| passed.read_at <= at) {
            self.is_updated = true;
            return;
        }
        if !self.is_own_row_current(&mut passed) || !self.view.on_passed(now, &self.policy, &passed)
        {
            self.must_read = true;
            self.next_read = now;
            return;
        }
        self.is_updated = true;
    }

    /// Removes the own row from the versions, and returns whether it is as confirmed, or was so
    /// before this member's last write.
    fn is_own_row_current(&self, passed: &mut Passed) -> bool {
        let key = short_hash(&self.key);
        let (own, others): (Vec<_>, Vec<_>) = std::mem::take(&mut passed.versions)
            .into_iter()
            .partition(|version| version.key == key);
        passed.versions = others;
        let confirmed = self.lease.confirmed.as_ref();
        confirmed.is_some_and(|confirmed| match own[..] {
            [version] => version.version <= confirmed.version,
            _ => false,
        })
    }

    /// Renews the own row if that is due, by what another member read; reads the rows first if
    /// anything but the renewal is to be written.
    fn renew(&mut self, now: Time) -> Option<Action> {
        let own = self.lease.confirmed.as_ref()?.row.clone();
        let plan = self.plan(now);
        let is_renewal = plan.takeovers.is_empty()
            && !own.lapsed
            && own.pinned == plan.pinned
            && own.mobile == plan.mobile
            && own.electors == plan.electors;
        if !is_renewal || self.is_leaving || self.lease.has_doubt() {
            self.must_read = true;
            self.next_read = now + self.read_interval();
            return Some(self.read(now));
        }
        self.is_renewal_due(now).then(|| self.commit(now, plan))
    }

    fn is_renewal_due(&self, now: Time) -> bool {
        now >= self.renewed_at + self.scale_to_fleet(self.policy.renew_interval)
    }

    /// Plans the own row by the rows as last read.
    fn plan(&self, now: Time) -> Plan {
        let takeovers = self.takeovers(now);
        let may_acquire = self.may_acquire(now) || !takeovers.is_empty();
        plan(
            now,
            &self.policy,
            &self.candidate(),
            self.lease
                .confirmed
                .as_ref()
                .map(|confirmed| &confirmed.row),
            &self.view.rows,
            takeovers,
            may_acquire,
        )
    }

    fn candidate(&self) -> Candidate<'_> {
        Candidate {
            member: &self.local,
            zone: self.zone.as_ref(),
        }
    }

    /// Returns whether this member should hold slices by the rows as last read.
    fn is_holder(&self, now: Time) -> bool {
        let rows = self.view.rows.values();
        let live = rows.filter(|observed| !observed.has_lapsed(now, &self.policy));
        let mut candidates: Vec<Candidate<'_>> =
            live.map(|observed| Candidate::of(&observed.row)).collect();
        candidates.push(self.candidate());
        holders::choose(&self.policy, &candidates).contains(&&self.local)
    }

    /// Returns whether this member is registered and should hold no slices.
    pub fn only_borrows(&self, now: Time) -> bool {
        self.registered_at.is_some() && !self.is_holder(now)
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
        if !self.is_holder(now) {
            return Vec::new();
        }
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
        let rows = self.view.rows.values();
        let mut candidates: Vec<Candidate<'_>> =
            rows.map(|observed| Candidate::of(&observed.row)).collect();
        candidates.push(self.candidate());
        // CAST: a fleet has few holders.
        let before = holders::choose(&self.policy, &candidates)
            .binary_search(&&self.local)
            .unwrap_or(0) as u64;
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
        let plan = self.plan(now);
        let is_unchanged = own.is_some_and(|row| {
            !row.lapsed
                && row.pinned == plan.pinned
                && row.mobile == plan.mobile
                && row.electors == plan.electors
        });
        if is_unchanged && !self.is_renewal_due(now) && plan.takeovers.is_empty() {
            return None;
        }
        Some(self.commit(now, plan))
    }

    /// Returns whether a row is that of an earlier life of this instance, which has ended, since this
    /// process listens on its address.
    fn is_earlier_life(&self, row: &Row) -> bool {
        row.address == self.address && row.member.name == self.local.name
    }

    /// Returns the rows that can be taken over now.
    fn takeovers(&self, now: Time) -> BTreeMap<Arc<str>, Takeover> {
        let mut takeovers = BTreeMap::new();
        let is_holder = self.is_holder(now);
        for (key, observed) in &self.view.rows {
            let row = &observed.row;
            if !is_holder && !self.is_earlier_life(row) {
                continue;
            }
            let is_empty = row.slices() == 0 && observed.has_lapsed(now, &self.policy);
            if self.is_earlier_life(row)
                || is_empty
                || observed.has_long_lease_lapsed(now, &self.policy)
            {
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
            version: Layout::row_version(),
        };
        let transaction =
            Transaction::renew(&self.key, confirmed, &row, &self.view, &plan.takeovers);
        let inherited = plan
            .takeovers
            .keys()
            .map(|key| &self.view.rows[key].row)
            .filter(|row| self.is_earlier_life(row))
            .fold(0, |slices, row| slices | row.slices());
        self.lease.on_write_sent(row, inherited);
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
        self.lease.on_write_sent(row, 0);
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
