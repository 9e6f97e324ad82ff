//! One group as the tasks of this process use it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;

use clock::Clock;
use clock::Span;
use clock::Time;
use endpoint::Error;
use endpoint::Pool;
use endpoint::Position;
use endpoint::Status;
use group::Ack;
use group::Failure;
use group::Member;
use group::Row;
use group::View;
use session::Candidate;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::Line;
use crate::node::lock;

/// A group's view and connections.
pub struct Handle {
    /// The group's name.
    pub name: Arc<str>,
    /// Its servers.
    pub members: Vec<Member>,
    /// The connections to its servers.
    pub pool: Arc<Pool>,
    /// How many sessions keep a connection of their own.
    pub pinned: AtomicUsize,
    /// Ends the group's tasks.
    pub stop: CancellationToken,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    /// The queues in front of the servers, one for each member.
    lines: BTreeMap<Arc<str>, Arc<Line>>,
    /// Counts the inputs to the view.
    changes: watch::Sender<u64>,
}

struct State {
    view: View,
    /// The latest position of each term that was once proven; what was proven stays so.
    durable: BTreeMap<u64, u64>,
    statuses: BTreeMap<Arc<str>, (Time, Status)>,
    polls: BTreeMap<Arc<str>, Poll>,
}

/// The status queries to one server.
#[derive(Clone, Copy, Default)]
struct Poll {
    is_running: bool,
    begun: Time,
}

impl Handle {
    /// Opens a group.
    pub fn open(
        name: Arc<str>,
        members: Vec<Member>,
        view: View,
        pool: Arc<Pool>,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        let lines = members
            .iter()
            .map(|member| {
                let line = Line::open(Arc::clone(&clock));
                (Arc::clone(&member.endpoint), line)
            })
            .collect();
        Arc::new(Self {
            name,
            lines,
            members,
            pool,
            pinned: AtomicUsize::new(0),
            stop: CancellationToken::new(),
            clock,
            state: Mutex::new(State {
                view,
                durable: BTreeMap::new(),
                statuses: BTreeMap::new(),
                polls: BTreeMap::new(),
            }),
            changes: watch::channel(0).0,
        })
    }

    /// Asks the view something.
    pub fn view<R>(&self, ask: impl FnOnce(&View, Time) -> R) -> R {
        let now = self.clock.now();
        ask(&lock(&self.state).view, now)
    }

    /// Gives the view an input and wakes those that wait for one.
    pub fn input<R>(&self, tell: impl FnOnce(&mut View, Time) -> R) -> R {
        let result = self.tell(tell);
        self.changes.send_modify(|count| *count += 1);
        result
    }

    /// Gives the view an input without waking anyone.
    pub fn tell<R>(&self, tell: impl FnOnce(&mut View, Time) -> R) -> R {
        let now = self.clock.now();
        tell(&mut lock(&self.state).view, now)
    }

    /// Takes the result of a status query begun at `started`.
    pub fn on_status(&self, started: Time, server: &str, result: &Result<Status, Error>) {
        match result {
            Ok(status) => {
                let entry = (started, *status);
                lock(&self.state).statuses.insert(Arc::from(server), entry);
                self.input(|view, now| view.on_status(now, started, server, *status));
            }
            Err(error) => self.on_failure(server, error),
        }
    }

    /// Takes the group's row as it was in a read begun at `started`.
    pub fn on_row(&self, started: Time, row: Option<&store::Row>) {
        let Some(row) = row else {
            self.input(|view, now| view.on_no_row(now));
            return;
        };
        match Row::parse(&self.name, &row.value) {
            Ok(parsed) => {
                self.input(|view, now| view.on_row(now, started, parsed, row.version));
            }
            Err(error) => {
                log::error!("step=read-row group={} error={error:?}", self.name);
                self.input(|view, now| view.on_table_failed(now));
            }
        }
    }

    /// Takes note of a failed exchange with a server.
    pub fn on_failure(&self, server: &str, error: &Error) {
        match error {
            // Connections are scarce at this instance, which says nothing of the server.
            Error::NotSent {
                step: "acquire", ..
            } => {}
            Error::Server { code, .. } if !code.starts_with("57") => {
                self.tell(|view, now| view.on_answer(now, server));
            }
            Error::Unknown { .. } | Error::NotSent { .. } | Error::Server { .. } => {
                let is_silent = error.to_string().contains("timed out");
                let failure = if is_silent {
                    Failure::Silent
                } else {
                    Failure::Refused
                };
                self.input(|view, now| view.on_status_failed(now, server, failure));
            }
        }
    }

    /// Takes note that a server gave no answer in time.
    pub fn on_silence(&self, server: &str) {
        self.input(|view, now| view.on_status_failed(now, server, Failure::Silent));
    }

    /// Says whether a server answers and serves reads.
    pub fn is_up(&self, server: &str) -> bool {
        self.view(|view, now| {
            let is_replica = view
                .replicas(now)
                .iter()
                .any(|source| &*source.endpoint == server);
            let primary = view.primary_source(now);
            is_replica || primary.is_some_and(|source| &*source.endpoint == server)
        })
    }

    /// Says whether a server is the primary of a term, and that term the latest known.
    pub fn is_primary(&self, server: &str, term: u64) -> bool {
        let primary = self.view(|view, now| view.primary(now));
        primary.is_some_and(|(name, known)| &*name == server && known == term)
    }

    /// Returns the queue in front of a server.
    pub fn line(&self, server: &str) -> Arc<Line> {
        match self.lines.get(server) {
            Some(line) => Arc::clone(line),
            None => Line::open(Arc::clone(&self.clock)),
        }
    }

    /// Returns true if a status query of a server is under way or began within `spacing`.
    pub(super) fn is_polled(&self, server: &str, spacing: Span) -> bool {
        let now = self.clock.now();
        let poll = lock(&self.state).polls.get(server).copied();
        poll.is_some_and(|poll| poll.is_running || now < poll.begun + spacing)
    }

    /// Takes note that a status query begins; returns false if one is under way.
    pub(super) fn begin_poll(&self, server: &str) -> bool {
        let begun = self.clock.now();
        let mut state = lock(&self.state);
        let poll = state.polls.entry(Arc::from(server)).or_default();
        if poll.is_running {
            return false;
        }
        *poll = Poll {
            is_running: true,
            begun,
        };
        true
    }

    /// Takes note that a status query ended.
    pub(super) fn end_poll(&self, server: &str) {
        if let Some(poll) = lock(&self.state).polls.get_mut(server) {
            poll.is_running = false;
        }
    }

    /// Returns the latest status of a server and the start of its query.
    pub fn status(&self, server: &str) -> Option<(Time, Status)> {
        lock(&self.state).statuses.get(server).copied()
    }

    /// Says whether a write that committed at `position` may be acknowledged.
    pub fn proof(&self, position: Position) -> Ack {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let ack = state.view.proof(now, position);
        if let Ack::Proven { .. } = ack {
            let offset = state.durable.entry(position.term).or_default();
            *offset = position.offset.max(*offset);
        }
        ack
    }

    /// Says whether everything up to `position` is known to survive any promotion.
    pub fn is_durable(&self, position: Position) -> bool {
        let known = lock(&self.state).durable.get(&position.term).copied();
        if known.is_some_and(|offset| offset >= position.offset) {
            return true;
        }
        matches!(self.proof(position), Ack::Proven { .. })
    }

    /// Returns the replicas and the primary as targets of reads.
    pub fn candidates(&self) -> (Vec<Candidate>, Option<Candidate>) {
        let (replicas, primary) =
            self.view(|view, now| (view.replicas(now), view.primary_source(now)));
        let candidate = |source: group::Source| {
            let (used, _) = self.pool.usage(&source.endpoint);
            let load = u32::try_from(used).unwrap_or(u32::MAX);
            Candidate { source, load }
        };
        let replicas = replicas.into_iter().map(candidate).collect();
        (replicas, primary.map(candidate))
    }

    /// Returns a receiver that sees each input to the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Waits for the next input to the view, or until `deadline`.
    pub async fn changed(&self, changes: &mut watch::Receiver<u64>, deadline: Time) {
        let left: Span = deadline.since(self.clock.now());
        // An elapsed time or a closed channel both mean: look again.
        let _elapsed = timeout(left.into(), changes.changed()).await;
    }
}
