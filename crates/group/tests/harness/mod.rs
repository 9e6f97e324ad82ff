//! A harness that feeds a view of a group of three servers.
#![allow(dead_code, reason = "each test file uses a part of the harness")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;
use endpoint::Role;
use endpoint::Status;
use group::Action;
use group::Member;
use group::Outcome;
use group::Policy;
use group::Row;
use group::View;
use group::Votes;

/// A server's status response: its name, role, term and offset.
pub type Answer = (&'static str, Role, u64, u64);

/// A healthy group: `e0` is the primary of term 1 and the others are up to date.
pub const HEALTHY: [Answer; 3] = [
    ("e0", Role::Primary, 1, 10),
    ("e1", Role::Replica, 1, 10),
    ("e2", Role::Replica, 1, 10),
];

/// The time step of the harness.
const STEP: Span = Span::from_millis(10);

/// A view with the servers and the table that it observes.
pub struct Harness {
    pub view: View,
    pub now: Time,
    /// The servers that respond.
    pub servers: Vec<Answer>,
    /// The row and its version, if the table responds.
    pub table: Option<(Row, u64)>,
}

pub fn at(term: u64, offset: u64) -> Position {
    Position { term, offset }
}

pub fn ms(millis: u64) -> Span {
    Span::from_millis(millis)
}

impl Harness {
    /// Opens a harness in which every server and the table responded once.
    pub fn open() -> Self {
        Self::open_as("i1")
    }

    pub fn open_as(instance: &str) -> Self {
        let mut harness = Self::open_view(instance);
        harness.servers = HEALTHY.into();
        harness.table = Some((Row::first(1, Arc::from("e0")), 1));
        harness.feed();
        harness.view.tick(harness.now);
        harness
    }

    /// Opens a harness in which nothing has responded yet.
    pub fn open_empty() -> Self {
        Self::open_view("i1")
    }

    fn open_view(instance: &str) -> Self {
        let now = Time::from_micros(10_000_000);
        let members = ["e0", "e1", "e2"].map(|name| Member {
            endpoint: Arc::from(name),
            zone: Arc::from("z"),
        });
        let group = Arc::from("orders");
        let policy = Policy::default();
        let mut view = View::open(now, Arc::from(instance), group, members.into(), policy);
        view.on_registered(Time::ZERO, Time::NEVER);
        Self {
            view,
            now,
            servers: Vec::new(),
            table: None,
        }
    }

    /// Feeds the view the responses of the servers and the table at the current time.
    pub fn feed(&mut self) {
        for (name, role, term, offset) in self.servers.clone() {
            let received = at(term, offset);
            let applied = received;
            let status = Status {
                role,
                received,
                applied,
            };
            self.view.on_status(self.now, self.now, name, status);
        }
        if let Some((row, version)) = self.table.clone() {
            self.view.on_row(self.now, self.now, row, version);
        }
    }

    /// Advances the time, feeding the view at each step, and returns the requested actions.
    pub fn run(&mut self, span: Span) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = self.now + STEP;
            self.feed();
            actions.extend(self.view.tick(self.now));
        }
        actions
    }

    /// Applies a commit to the table and reports it, if the view requested one.
    pub fn commit(&mut self, actions: &[Action]) -> Option<Row> {
        let (expected, row) = actions.iter().find_map(commit_of)?;
        let (_, version) = self.table.clone()?;
        assert_eq!(
            version, expected,
            "the view expects the version that it read"
        );
        self.table = Some((row.clone(), version + 1));
        let version = version + 1;
        let outcome = Outcome::Committed { version };
        let row_written = row.clone();
        self.view
            .on_commit_result(self.now, self.now, row_written, outcome);
        Some(row)
    }

    /// Feeds the view the peers' votes on the primary of `term`.
    pub fn vote(&mut self, term: u64, answers: &[(&str, Option<bool>)]) {
        let answers: BTreeMap<Arc<str>, _> = answers
            .iter()
            .map(|(name, vote)| (Arc::from(*name), *vote))
            .collect();
        let votes = Votes {
            term,
            peers: 2,
            answers,
        };
        self.view.on_votes(self.now, votes);
    }

    /// Stops the primary, lets the peers agree, and returns the row that orders the promotion.
    pub fn order(&mut self) -> Row {
        self.servers.retain(|(_, role, ..)| *role == Role::Replica);
        let actions = self.run(ms(700));
        assert!(
            commit_of_all(&actions).is_none(),
            "no promotion without votes"
        );
        self.vote(1, &[("i2", Some(false)), ("i3", Some(false))]);
        let actions = self.run(ms(10));
        self.commit(&actions).expect("the promotion is ordered")
    }

    pub fn instances(&mut self, names: &[&str]) {
        let names: BTreeSet<Arc<str>> = names.iter().map(|name| Arc::from(*name)).collect();
        self.view.on_instances(self.now, self.now, names);
    }
}

fn commit_of(action: &Action) -> Option<(u64, Row)> {
    match action {
        Action::Commit { expected, row } => Some((*expected, row.clone())),
        _ => None,
    }
}

pub fn commit_of_all(actions: &[Action]) -> Option<Row> {
    actions.iter().find_map(commit_of).map(|(_, row)| row)
}

/// Returns the servers to promote and their terms.
pub fn promoted(actions: &[Action]) -> Vec<(String, u64)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Promote { endpoint, term } => Some((endpoint.to_string(), *term)),
            _ => None,
        })
        .collect()
}

/// Returns true if an event with this name, and this reason if given, was recorded.
pub fn recorded(actions: &[Action], what: &str, reason: Option<&str>) -> bool {
    actions.iter().any(|action| match action {
        Action::Event(event) => {
            &*event.what == what
                && reason
                    .is_none_or(|reason| event.fields.get("reason").is_some_and(|r| r == reason))
        }
        _ => false,
    })
}
