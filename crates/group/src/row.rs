//! The group's row in the platform's table.

use std::sync::Arc;

use endpoint::Position;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use crate::Error;
use crate::error::MalformedSnafu;

/// The progress of the promotion to the row's term.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// A promotion to the row's term is in progress.
    Ordered,
    /// `primary` is the primary of the row's term.
    Steady,
}

/// The value of the row `group/NAME`, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The number of writes of the row; increases with each write.
    pub revision: u64,
    /// The term that is steady or ordered; never decreases from one revision to the next.
    pub term: u64,
    /// The primary of the last steady term.
    pub primary: Arc<str>,
    /// The last steady term; equal to `term` when the phase is steady.
    pub primary_term: u64,
    /// The progress of the promotion to `term`.
    pub phase: Phase,
    /// The server to promote; a term never has two different candidates.
    pub candidate: Option<Arc<str>>,
    /// The position that the candidate had received when it was chosen.
    ///
    /// If the row's term is the next after the position's, it contains every write of the
    /// position's term up to here.
    pub base: Option<Position>,
    /// The instance that carries out the promotion.
    pub promoter: Arc<str>,
    /// Whether the promotion is a planned handover from a healthy primary.
    pub planned: bool,
}

impl Row {
    /// Returns the key of a group's row.
    pub fn key(group: &str) -> Arc<str> {
        Arc::from(format!("group/{group}"))
    }

    /// Returns the first row of a group, with a steady primary.
    pub fn first(term: u64, primary: Arc<str>) -> Self {
        Self {
            revision: 1,
            term,
            primary,
            primary_term: term,
            phase: Phase::Steady,
            candidate: None,
            base: None,
            promoter: Arc::from(""),
            planned: false,
        }
    }

    /// Parses the row's JSON.
    ///
    /// Returns `Error::Malformed` if it is not the JSON of a group row.
    pub fn parse(group: &str, text: &str) -> Result<Self, Error> {
        serde_json::from_str(text).context(MalformedSnafu { group })
    }

    /// Returns the row as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a row of plain fields has a JSON form")
    }
}
