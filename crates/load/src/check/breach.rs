//! Violations of what must hold.

use serde::Deserialize;
use serde::Serialize;

/// Which promise was broken.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Breach {
    /// An acknowledged write is missing.
    LostWrite,
    /// A request ran more than once.
    DoubledWrite,
    /// A read showed less than its caller had written or seen.
    StaleRead,
    /// An answer does not belong to its request.
    WrongAnswer,
    /// An answer shows another account's data.
    WrongAccount,
    /// An account got more than its rate and burst.
    OverRate,
    /// A request that was said not to have run has run.
    FalseNotRun,
    /// A planned stop cut a request off.
    CutRequest,
    /// A part of a transaction is there, and another is not.
    TornTransaction,
    /// A leaving endpoint still got work.
    LeavingEndpoint,
    /// A withdrawn key still worked.
    WithdrawnKey,
    /// Accepted settings are not in force, or were reverted.
    RevertedSettings,
    /// A process stopped on an assertion.
    Panic,
    /// The final state could not be checked.
    Unchecked,
}

/// One violation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Which promise was broken.
    pub breach: Breach,
    /// What was seen.
    pub text: String,
}
