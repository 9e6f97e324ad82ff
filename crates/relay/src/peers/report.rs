//! What the few instances that probe the leaders report to all others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;
use serde::Deserialize;
use serde::Serialize;

use crate::balance::Loads;

/// A leader's position as reported by another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The group.
    pub group: Arc<str>,
    /// The leader.
    pub server: Arc<str>,
    /// Its position.
    pub position: Position,
    /// Milliseconds from the arrival of the query to when the leader was asked; negative if it was
    /// asked first.
    pub since_ms: i64,
}

/// This instance's queries for reports, and the loads that others sent with theirs.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    next_id: u64,
    /// The number of the latest query and when it was sent.
    outstanding: Option<(u64, Time)>,
    /// Whether the latest query was answered.
    is_answered: bool,
    /// Load in statements per second and when it arrived, by the address of the instance.
    loads: BTreeMap<SocketAddr, (u64, Time)>,
    /// The servers' loads that others sent with their queries.
    pub server_loads: Loads,
}

impl Reports {
    /// Opens the queries of one run of an instance, whose numbers start at its `incarnation`.
    pub fn open(incarnation: u64) -> Self {
        Self {
            next_id: incarnation,
            ..Self::default()
        }
    }

    /// Starts a query and returns its number; an earlier query is abandoned.
    pub fn query(&mut self, now: Time) -> u64 {
        self.next_id = self.next_id.wrapping_add(1);
        self.outstanding = Some((self.next_id, now));
        self.is_answered = false;
        self.next_id
    }

    /// Returns when the query with this number was sent; `None` if it is not the latest one.
    pub fn on_response(&mut self, id: u64) -> Option<Time> {
        let (latest, sent) = self.outstanding?;
        if latest != id {
            return None;
        }
        self.is_answered = true;
        Some(sent)
    }

    /// Returns when the query with this number was sent; `None` if it is not the latest one.
    pub fn sent(&self, id: u64) -> Option<Time> {
        let (latest, sent) = self.outstanding?;
        (latest == id).then_some(sent)
    }

    /// Returns whether the latest query was answered.
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Records the load of an instance that sent a query.
    pub fn on_load(&mut self, now: Time, from: SocketAddr, load: u64) {
        self.loads.insert(from, (load, now));
    }

    /// Returns the mean load of this instance and those that sent a query within `age`.
    pub fn mean_load(&mut self, now: Time, own: u64, age: Span) -> u64 {
        self.loads.retain(|_, (_, at)| now < *at + age);
        let sum: u64 = self.loads.values().map(|(load, _)| *load).sum();
        (sum + own) / (self.loads.len() as u64 + 1)
    }
}

/// Returns the signed time from `from` to `to` in milliseconds, rounded down.
pub fn signed_ms(from: Time, to: Time) -> i64 {
    let ms = |span: Span| i64::try_from(span.as_millis()).unwrap_or(i64::MAX);
    if to >= from {
        ms(to.since(from))
    } else {
        -ms(from.since(to)) - 1
    }
}

/// Returns the time `since_ms` milliseconds after `time`, or before it if negative.
pub fn offset(time: Time, since_ms: i64) -> Time {
    let span = Span::from_millis(since_ms.unsigned_abs());
    if since_ms < 0 {
        time - span
    } else {
        time + span
    }
}
