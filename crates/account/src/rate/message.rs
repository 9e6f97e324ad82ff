//! Messages between the limiters of two instances, encoded with postcard.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::rate::Amount;
use crate::rate::Limit;

/// A message between the limiters of two instances; it may be lost, delayed or repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a loan of tokens.
    Borrow(Borrow),
    /// Answers a borrow; the amount may be zero.
    Loan(Loan),
    /// Requests an elector's promise, which extends the sender's short lease.
    Extension(Extension),
    /// Answers an extension.
    Promise(Answer),
    /// Requests an elector's consent to a takeover of another instance's slices.
    Claim(Claim),
    /// Answers a claim.
    Consent(Answer),
    /// Requests the versions of all rows from an instance that reads them.
    GetVersions(Query),
    /// Answers a query; an answer may consist of several of these.
    Versions(Versions),
}

/// Requests a loan of tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Borrow {
    /// Request id, unique within the borrower's life.
    pub id: u64,
    /// The borrower's life.
    pub life: u64,
    /// The account.
    pub account: Arc<str>,
    /// The limit that the borrower applies.
    pub limit: Limit,
    /// The requested amount.
    pub amount: Amount,
    /// Whether requests already wait for the tokens.
    pub is_urgent: bool,
}

/// Tokens that were removed from the lender's bucket before the message was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Id of the answered borrow; a loan is applied only while its borrow is pending.
    pub borrow_id: u64,
    /// The borrower's life.
    pub life: u64,
    /// The account.
    pub account: Arc<str>,
    /// The limit under which the loan was granted.
    pub limit: Limit,
    /// The lent amount.
    pub amount: Amount,
    /// What the lender could lend in addition.
    pub spare: Amount,
}

/// Requests an elector's promise not to consent to a takeover of the sender's slices for
/// `Policy::promise`.
///
/// Promises of a majority extend the short lease while the table cannot be written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension {
    /// Request id, unique within the holder's life.
    pub id: u64,
    /// The key of the holder's row.
    pub row: Arc<str>,
    /// The serial of the holder's last confirmed write.
    pub serial: u64,
    /// The life of the addressed elector.
    pub elector_life: u64,
}

/// Requests an elector's consent to a takeover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Request id, unique within the claimant's life.
    pub id: u64,
    /// The key of the row to be taken over.
    pub row: Arc<str>,
    /// The serial in the row as the claimant read it.
    pub serial: u64,
    /// The life of the addressed elector.
    pub elector_life: u64,
}

/// An elector's answer to an extension or a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the answered request.
    pub id: u64,
    /// The row that the request named.
    pub row: Arc<str>,
    /// The elector's life.
    pub elector_life: u64,
    /// Whether the elector grants the request.
    pub is_granted: bool,
}

/// Requests the versions of all rows from an instance that reads them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Request id, unique within the sender's life.
    pub id: u64,
    /// The sender's life.
    pub life: u64,
}

/// The versions of rows as the sender last read them from the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Id of the answered query.
    pub id: u64,
    /// The life that sent the query.
    pub life: u64,
    /// The number of this part, from zero.
    pub part: u32,
    /// The number of parts.
    pub count: u32,
    /// Microseconds from the start of the read to the arrival of the query.
    pub age_us: u64,
    /// The version of the epoch row, if it exists.
    pub epoch: Option<u64>,
    /// The versions.
    pub versions: Vec<Version>,
}

/// The version of a row. A receiver that knows an earlier one knows the row by it, unless the content
/// has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Hash of the row's key.
    pub key: u32,
    /// Hash of the row's content, without the serial.
    pub content: u32,
    /// The version.
    pub version: u64,
    /// The serial of the holder's last write.
    pub serial: u64,
}
