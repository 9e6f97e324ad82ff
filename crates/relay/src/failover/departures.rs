//! The row that names a group's departed servers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use store::Condition;
use store::Row;
use store::Write;

use crate::failover::row;
use crate::settings::Server;

/// The prefix of the rows.
const PREFIX: &str = "group/departed/";

/// Servers whose entries vanished after they had said that they leave, with their last entries.
pub type Departed = BTreeMap<Arc<str>, Server>;

/// What one instance knows of the row.
///
/// Instances that start later learn from the row which servers may still acknowledge commits.
#[derive(Debug, Default)]
pub struct Departures {
    /// Whether the row was read.
    is_read: bool,
    /// The servers that this instance has put into the row or found there; it takes these out
    /// again, and no others.
    recorded: BTreeSet<Arc<str>>,
}

impl Departures {
    /// Returns the key of a group's row.
    pub fn key(group: &str) -> Arc<str> {
        Arc::from(format!("{PREFIX}{group}"))
    }

    /// Reads the row's content; one that can't be read counts as empty.
    pub fn content(group: &str, row: Option<&Row>) -> Departed {
        let Some(row) = row else {
            return Departed::new();
        };
        serde_json::from_str(&row.value).unwrap_or_else(|error| {
            log::error!("event=departed-unreadable group={group} why=\"{error}\"");
            Departed::new()
        })
    }

    /// Returns whether the row was read.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Returns whether the row has to be looked at, given the servers known to have departed.
    pub fn is_due(&self, departed: &Departed) -> bool {
        !self.is_read || !departed.keys().eq(self.recorded.iter())
    }

    /// Notes what the row holds when it is first read.
    pub fn on_read(&mut self, content: &Departed) {
        self.is_read = true;
        self.recorded.extend(content.keys().cloned());
    }

    /// Returns what the row has to hold instead of `content`; `None` if it is right.
    pub fn change(&self, content: &Departed, departed: &Departed) -> Option<Departed> {
        let mut next = content.clone();
        next.retain(|name, _| departed.contains_key(name) || !self.recorded.contains(name));
        for (name, entry) in departed {
            next.entry(Arc::clone(name))
                .or_insert_with(|| entry.clone());
        }
        (next != *content).then_some(next)
    }

    /// Notes that the row holds these servers, and none that this instance had recorded before.
    pub fn on_written(&mut self, departed: &Departed) {
        self.recorded = departed.keys().cloned().collect();
    }

    /// Returns the condition and the write that put `content` in the place of `before`.
    pub fn replace(group: &str, before: Option<&Row>, content: &Departed) -> (Condition, Write) {
        row::replace(Self::key(group), before, content)
    }
}
