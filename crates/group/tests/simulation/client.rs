//! Clients and their requests to instances.

use clock::Span;
use clock::Time;
use endpoint::Position;
use endpoint::Role;
use group::Ack;
use rand::Rng;
use session::Bootstrap;
use session::Candidate;
use session::Floor;
use session::Floors;
use session::Request;
use session::Route;
use session::Step;

use super::Simulation;
use super::simulation::MS;
use super::simulation::endpoint;
use super::simulation::index;

const WRITE_TIMEOUT: u64 = 2_000 * MS;
const READ_TIMEOUT: u64 = 1_000 * MS;

/// A write in progress.
pub struct Write {
    id: u64,
    session: usize,
    deadline: u64,
    sent: bool,
    committed: Option<Position>,
    /// When the proof expires under which the response is being sent.
    sending_until: Option<Time>,
}

/// A read in progress.
pub struct Read {
    id: u64,
    session: usize,
    started: u64,
    roaming: Option<Bootstrap>,
    max_age: Option<Span>,
    required: Vec<u64>,
    sent: bool,
    /// What the server was known to show when the read was routed to it.
    shown: Position,
}

impl Simulation {
    /// Begins a write, and sometimes a read, of one session at random instances.
    pub fn client(&mut self) {
        let id = self.next_id;
        self.next_id += 2;
        let session = self.rng.random_range(0..self.history.sessions.len());
        let at = self.rng.random_range(0..self.instances.len());
        let write = Write {
            id,
            session,
            deadline: self.now + WRITE_TIMEOUT,
            sent: false,
            committed: None,
            sending_until: None,
        };
        let life = self.instances[at].life;
        self.input(at, life, move |w| w.instances[at].writes.push(write));
        if self.rng.random_bool(0.4) {
            self.begin_read(id + 1, session);
        }
        let gap = self.rng.random_range(MS..self.client_gap);
        self.after(gap, Self::client);
    }

    fn begin_read(&mut self, id: u64, session: usize) {
        let at = self.rng.random_range(0..self.instances.len());
        let arrived = self.local(at, self.now);
        let age = self.rng.random_range(100..500) * MS;
        let max_age = self.rng.random_bool(0.3).then_some(age);
        let oldest = max_age.map(|age| self.now.saturating_sub(age));
        let roams = max_age.is_none() && self.rng.random_bool(0.3);
        let roaming = roams.then(|| Bootstrap::open(arrived));
        let read = Read {
            id,
            session,
            started: self.now,
            roaming,
            max_age: max_age.map(Span::from_micros),
            required: self.history.required(session, oldest),
            sent: false,
            shown: Position::default(),
        };
        let life = self.instances[at].life;
        self.input(at, life, move |w| w.instances[at].reads.push(read));
    }

    /// Advances the requests of an instance as far as possible.
    pub fn serve(&mut self, at: usize) {
        let now = self.now;
        let before = self.instances[at].writes.len();
        self.instances[at]
            .writes
            .retain(|write| write.deadline > now);
        self.history.given_up += before - self.instances[at].writes.len();
        let ids: Vec<u64> = self.instances[at].writes.iter().map(|w| w.id).collect();
        for id in ids {
            self.advance(at, id);
        }
        let reads = &mut self.instances[at].reads;
        reads.retain(|read| read.started + READ_TIMEOUT > now);
        for place in 0..reads.len() {
            self.route(at, place);
        }
    }

    fn write(&mut self, at: usize, id: u64) -> Option<&mut Write> {
        self.instances[at].writes.iter_mut().find(|w| w.id == id)
    }

    fn advance(&mut self, at: usize, id: u64) {
        match self.write(at, id) {
            Some(write) if !write.sent => self.send_write(at, id),
            Some(Write {
                committed: Some(position),
                sending_until: None,
                ..
            }) => {
                let position = *position;
                self.prove(at, id, position);
            }
            _ => {}
        }
    }

    fn send_write(&mut self, at: usize, id: u64) {
        let (view, now) = self.view(at);
        let primary = view
            .primary(now)
            .filter(|_| view.may_send_write(now).is_ok());
        let Some((primary, _)) = primary else {
            return;
        };
        if let Some(write) = self.write(at, id) {
            write.sent = true;
        }
        let server = index(&primary);
        let work = move |w: &mut Self| {
            let target = &mut w.servers[server];
            let leads = target.role == Role::Primary;
            leads.then(|| (target.write(id), target.status()))
        };
        self.call_server(at, server, work, move |w, (position, status)| {
            let (view, _) = w.view(at);
            view.on_status(now, now, &endpoint(server), status);
            if let Some(write) = w.write(at, id) {
                write.committed = Some(position);
            }
        });
    }

    /// Acknowledges a proven write, now or after a delay before the response is sent.
    fn prove(&mut self, at: usize, id: u64, position: Position) {
        let (view, now) = self.view(at);
        match view.proof(now, position) {
            Ack::Wait => {}
            Ack::Replaced => {
                self.history.given_up += 1;
                self.instances[at].writes.retain(|write| write.id != id);
            }
            Ack::Proven { until } => {
                if let Some(write) = self.write(at, id) {
                    write.sending_until = Some(until);
                }
                if self.rng.random_bool(0.8) {
                    self.send_response(at, id);
                    return;
                }
                let (delay, life) = (self.rng.random_range(0..50 * MS), self.instances[at].life);
                self.after(delay, move |w| {
                    w.input(at, life, move |w| w.send_response(at, id))
                });
            }
        }
    }

    /// Sends the response to a write if its proof is still valid.
    fn send_response(&mut self, at: usize, id: u64) {
        let (_, local) = self.view(at);
        let Some(write) = self.write(at, id) else {
            return;
        };
        if write
            .sending_until
            .take()
            .is_none_or(|until| local >= until)
        {
            return;
        }
        let (session, position) = (write.session, write.committed.unwrap_or_default());
        self.instances[at].writes.retain(|write| write.id != id);
        let (now, servers) = (self.now, &self.servers);
        self.history
            .acknowledge(now, id, session, position, servers);
    }

    /// Sends a read to the server that the router selects.
    fn route(&mut self, at: usize, place: usize) {
        let (_, now) = self.view(at);
        let started = self.local(at, self.instances[at].reads[place].started);
        let instance = &mut self.instances[at];
        let read = &mut instance.reads[place];
        let known = match read.max_age {
            None => self.history.sessions[read.session].floors.get("orders"),
            Some(_) => Floor::default(),
        };
        let floor = read.roaming.as_mut().map_or(Some(known), |roaming| {
            if let Some((begun, position)) = instance.view.confirmed(now) {
                roaming.on_confirmed(begun, position);
            }
            floor_of(roaming)
        });
        let Some(floor) = floor.filter(|_| !read.sent) else {
            return;
        };
        let (deadline, max_age) = (started + Span::from_micros(READ_TIMEOUT), read.max_age);
        let request = Request {
            started,
            deadline,
            floor,
            max_age,
        };
        let candidate = |source| Candidate { source, load: 0 };
        let replicas: Vec<_> = instance
            .view
            .replicas(now)
            .into_iter()
            .map(candidate)
            .collect();
        let primary = instance.view.primary_source(now).map(candidate);
        let route = instance
            .router
            .decide(now, &request, &replicas, primary.as_ref());
        let (server, replica) = match route {
            Route::Replica(endpoint) => (index(&endpoint), true),
            Route::Primary(endpoint) => (index(&endpoint), false),
            Route::WaitUntil(_) | Route::Refuse { .. } => return,
        };
        read.sent = true;
        read.shown = replicas
            .iter()
            .find(|candidate| candidate.source.endpoint == endpoint(server))
            .map(|candidate| candidate.source.applied)
            .unwrap_or_default();
        let (id, required) = (read.id, read.required.clone());
        let work = move |w: &mut Self| {
            let target = &w.servers[server];
            let missing = required.into_iter().find(|id| !target.shows(*id));
            Some((missing, target.status().applied))
        };
        self.call_server(at, server, work, move |w, (missing, after)| {
            w.on_read_response(at, id, server, after, missing, replica);
        });
    }

    /// Applies a server's response to a read, which is dropped if it is behind the floor.
    fn on_read_response(
        &mut self,
        at: usize,
        id: u64,
        server: usize,
        after: Position,
        missing: Option<u64>,
        replica: bool,
    ) {
        let reads = &mut self.instances[at].reads;
        let Some(place) = reads.iter().position(|read| read.id == id) else {
            return;
        };
        let read = reads.remove(place);
        // The server restarted in between, so what it showed before says nothing of the answer.
        if after < read.shown {
            return;
        }
        // A read without a token has a floor of its own; a read with a maximum age has none.
        let mut own = Floors::default();
        let floors = match (read.roaming.as_ref().and_then(floor_of), read.max_age) {
            (Some(floor), _) => {
                own.raise("orders", floor.position());
                &mut own
            }
            (None, Some(_)) => &mut own,
            (None, None) => &mut self.history.sessions[read.session].floors,
        };
        if floors.observe("orders", "server", after).is_err() {
            return;
        }
        self.history.reads += 1;
        self.history.replica_reads += u64::from(replica);
        if let Some(missing) = missing {
            let (now, age) = (self.now, read.max_age);
            let what = format!("at {now}: read {id} of age {age:?} at {server} lacks {missing}");
            self.history.fail(what);
        }
    }
}

fn floor_of(roaming: &Bootstrap) -> Option<Floor> {
    match roaming.step() {
        Step::Ready(floor) => Some(floor),
        Step::QueryPrimary => None,
    }
}
