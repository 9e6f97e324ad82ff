//! The table row that lists a group's departed servers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use store::Condition;
use store::Row;
use store::Write;

use crate::failover::row;
use crate::settings::Server;

/// Key prefix of the rows.
const PREFIX: &str = "group/departed/";

/// Departed servers with their last entries, by id.
///
/// A server has departed once it announced that it leaves and its entry was then removed. It may
/// still be running and acknowledging commits.
pub type Departed = BTreeMap<Arc<str>, Server>;

/// One instance's state regarding the row of departed servers.
///
/// The row tells instances that start later which servers may still acknowledge commits.
#[derive(Debug, Default)]
pub struct Departures {
    /// Whether the row has been read.
    is_read: bool,
    /// The servers that this instance added to the row or found there when it first read it;
    /// it removes only these.
    recorded: BTreeSet<Arc<str>>,
    /// The table's era in which they were recorded.
    era: u64,
}

impl Departures {
    /// Returns the key of a group's row.
    pub fn key(group: &str) -> Arc<str> {
        Arc::from(format!("{PREFIX}{group}"))
    }

    /// Parses the row's content; an unreadable row counts as empty.
    pub fn parse(group: &str, row: Option<&Row>) -> Departed {
        let Some(row) = row else {
            return Departed::new();
        };
        serde_json::from_str(&row.value).unwrap_or_else(|error| {
            log::error!("event=departed-unreadable group={group} why=\"{error}\"");
            Departed::new()
        })
    }

    /// Returns whether the row has been read.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Forgets what was recorded in an earlier era of the table, which may have lost it.
    pub fn on_era(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.recorded.clear();
        }
    }

    /// Returns whether the row must be read or updated, given the servers known to have departed.
    pub fn needs_update(&self, departed: &Departed) -> bool {
        !self.is_read || !departed.keys().eq(self.recorded.iter())
    }

    /// Records the row's content at the first read.
    pub fn on_read(&mut self, content: &Departed) {
        self.is_read = true;
        self.recorded.extend(content.keys().cloned());
    }

    /// Returns the content that must replace `content`; `None` if it is up to date.
    pub fn updated(&self, content: &Departed, departed: &Departed) -> Option<Departed> {
        let mut next = content.clone();
        next.retain(|name, _| departed.contains_key(name) || !self.recorded.contains(name));
        for (name, entry) in departed {
            next.entry(Arc::clone(name))
                .or_insert_with(|| entry.clone());
        }
        (next != *content).then_some(next)
    }

    /// Records that the row now lists these servers and no others that this instance added.
    pub fn on_recorded(&mut self, departed: &Departed) {
        self.recorded = departed.keys().cloned().collect();
    }

    /// Returns the condition and write that replace `before` with `content`.
    pub fn compare_and_set(
        group: &str,
        before: Option<&Row>,
        content: &Departed,
    ) -> (Condition, Write) {
        row::compare_and_set(Self::key(group), before, content)
    }
}
