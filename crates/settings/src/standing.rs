//! How instances stand to a revision.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// How an instance stands to a revision.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// It acts on the revision or a later one.
    InForce,
    /// It answers, but acts on an earlier one.
    Behind,
    /// It has not been heard from.
    CutOff,
}

/// One instance's standing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The instance.
    pub instance: Arc<str>,
    /// The latest revision that it was known to act on.
    pub revision: u64,
    /// How it stands to the revision asked for.
    pub state: State,
    /// Milliseconds until it stops acting on earlier settings on its own; `None` if it never
    /// does, or if the revision is in force there.
    pub acts_for_ms: Option<u64>,
}

impl Standing {
    /// Returns true if the revision asked for is in force on all the instances.
    pub fn is_everywhere(standings: &[Self]) -> bool {
        standings
            .iter()
            .all(|standing| standing.state == State::InForce)
    }
}
