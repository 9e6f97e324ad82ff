//! What instances confirm to each other.

use serde::Deserialize;
use serde::Serialize;

/// Rows of the table that some instances read for all others.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Topic {
    /// The settings.
    Settings,
    /// The groups' appointed leaders.
    Leaders,
    /// The servers' entries.
    Servers,
}

/// A value for each topic.
#[derive(Debug, Default)]
pub struct Topics<T> {
    settings: T,
    leaders: T,
    servers: T,
}

impl<T> Topics<T> {
    /// Opens a value for each topic.
    pub fn open(value: impl Fn() -> T) -> Self {
        Self {
            settings: value(),
            leaders: value(),
            servers: value(),
        }
    }

    /// Returns the value of a topic.
    pub fn get(&self, topic: Topic) -> &T {
        match topic {
            Topic::Settings => &self.settings,
            Topic::Leaders => &self.leaders,
            Topic::Servers => &self.servers,
        }
    }
}
