//! Errors of the settings.

use snafu::Snafu;

use crate::Fault;

/// Why settings could not be read or changed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The input is not what it should be at all.
    #[snafu(display("{step}: {why}"))]
    Unreadable {
        /// What was being done.
        step: &'static str,
        /// The cause.
        why: String,
    },
    /// The input has faults; nothing of it was taken.
    #[snafu(display("{}", first(faults)))]
    Faulty {
        /// All faults found.
        faults: Vec<Fault>,
    },
    /// The tree was written by a newer program.
    #[snafu(display(
        "the tree has schema version {found}, this program edits up to {known}: use a newer program"
    ))]
    Newer {
        /// The tree's schema version.
        found: u32,
        /// The latest that this program knows.
        known: u32,
    },
    /// The table gave no answer.
    #[snafu(display("{step}: {why}: try again later"))]
    Unavailable {
        /// What was being done.
        step: &'static str,
        /// The cause.
        why: String,
    },
    /// The content does not have the hash that it should have.
    #[snafu(display(
        "{step}: the content of revision {revision} does not have its hash: read it again from another source"
    ))]
    Corrupt {
        /// What was being done.
        step: &'static str,
        /// The revision that was announced.
        revision: u64,
    },
}

fn first(faults: &[Fault]) -> String {
    match faults.first() {
        Some(fault) => format!("faults={} {fault}", faults.len()),
        None => "faults=0".to_owned(),
    }
}
