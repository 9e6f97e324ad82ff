//! Timeline events and their kinds.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Timestamp;

/// The category of an event.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A process started or became ready.
    Start,
    /// A process is stopping.
    Stop,
    /// A settings change was accepted, applied or refused.
    Settings,
    /// A client account's key was checked, granted or withdrawn.
    Key,
    /// A rate, burst, share or loan changed, or a request was refused by it.
    Rate,
    /// A caller's connection began or ended.
    Session,
    /// A statement failed, was refused or has an unknown outcome.
    Statement,
    /// A database group's term, primary or health changed.
    Group,
    /// An endpoint joined, left, failed or recovered.
    Endpoint,
    /// A peer joined, left or was refused.
    Peer,
    /// The platform's store failed or recovered.
    Store,
    /// A port received invalid input.
    Input,
    /// An operator sent a request.
    Audit,
    /// A fault was injected by a test tool.
    Fault,
}

/// A timeline event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The hybrid timestamp, which orders events across processes.
    pub stamp: Timestamp,
    /// The process that recorded it.
    pub instance: Arc<str>,
    /// The category of the event.
    pub kind: Kind,
    /// The event name, a short word or hyphenated phrase.
    pub what: Arc<str>,
    /// Additional fields, which must not contain keys or passwords.
    pub fields: BTreeMap<Arc<str>, String>,
}

/// Creates an event; `Ring::record` sets the timestamp and the instance.
pub fn event(kind: Kind, what: &str) -> Event {
    Event {
        stamp: Timestamp::default(),
        instance: Arc::from(""),
        kind,
        what: Arc::from(what),
        fields: BTreeMap::new(),
    }
}

impl Event {
    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl fmt::Display) -> Self {
        self.fields.insert(Arc::from(name), value.to_string());
        self
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "stamp={}.{} instance={} kind={} what={}",
            self.stamp.wall_ms, self.stamp.count, self.instance, self.kind, self.what
        )?;
        for (name, value) in &self.fields {
            if value.is_empty() || value.contains([' ', '=', '"', '\n']) {
                write!(f, " {name}={value:?}")?;
            } else {
                write!(f, " {name}={value}")?;
            }
        }
        Ok(())
    }
}
