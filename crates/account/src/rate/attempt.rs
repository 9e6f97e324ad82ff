//! One attempt to take tokens for a request.

use clock::Time;

/// One attempt to take tokens for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The tokens that the request costs.
    pub cost: u64,
    /// When the request was first offered.
    pub arrived: Time,
    /// Whether this is its first attempt; each later one follows a `Decision::Wait`.
    pub is_first: bool,
    /// Until when the request may wait; the same at all its attempts.
    pub deadline: Time,
    /// A number that differs between requests, which spreads the times at which they return.
    pub salt: u64,
}
