//! A view of a group of three servers, fed by hand.
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

/// What a server answers: its name, role, term and offset.
pub type Answer = (&'static str, Role, u64, u64);

/// A healthy group: `e0` leads term 1, the others hold the same.
pub const HEALTHY: [Answer; 3] = [
    ("e0", Role::Primary, 1, 10),
    ("e1", Role::Replica, 1, 10),
    ("e2", Role::Replica, 1, 10),
];

/// The step in which the harness moves on.
const STEP: Span = Span::from_millis(10);

/// A view and its surroundings.
pub struct Harness {
    pub view: View,
    pub now: Time,
    /// The servers that answer.
    pub servers: Vec<Answer>,
    /// The row, if the table answers.
    pub table: Option<(Row, u64)>,
}

pub fn at(term: u64, offset: u64) -> Position {
    Position { term, offset }
}

pub fn ms(millis: u64) -> Span {
    Span::from_millis(millis)
}

impl Harness {
    /// Opens a harness at which all answered once.
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

    /// Opens a harness at which nothing answered yet.
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

    /// Gives the view what answers at once.
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

    /// Moves on, with what answers, and returns what the view asked for.
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

    /// Answers a commit as a table does, if the view asked for one.
    pub fn commit(&mut self, actions: &[Action]) -> Option<Row> {
        let (expected, row) = actions.iter().find_map(commit_of)?;
        let (_, version) = self.table.clone()?;
        assert_eq!(
            version, expected,
            "the view writes over the row that it read"
        );
        self.table = Some((row.clone(), version + 1));
        let version = version + 1;
        let outcome = Outcome::Committed { version };
        let row_written = row.clone();
        self.view
            .on_commit_result(self.now, self.now, row_written, outcome);
        Some(row)
    }

    /// Lets the peers vote that the primary of `term` is dead or alive.
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

    /// Kills the primary, lets the peers agree, and returns the row that orders the promotion.
    pub fn order(&mut self) -> Row {
        self.servers.retain(|(_, role, ..)| *role == Role::Replica);
        let actions = self.run(ms(700));
        assert!(commit_of_all(&actions).is_none(), "nothing without votes");
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

/// Returns the servers that were ordered to become a primary.
pub fn promoted(actions: &[Action]) -> Vec<(String, u64)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Promote { endpoint, term } => Some((endpoint.to_string(), *term)),
            _ => None,
        })
        .collect()
}

/// Says whether an event with this name, and this reason if one is given, was recorded.
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
