//! One classified statement.

use std::sync::Arc;

use crate::Kind;

/// One statement of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The statement's own text, without a closing semicolon.
    pub text: Arc<str>,
    /// How it must be routed.
    pub kind: Kind,
    /// The idempotency key from one of its comments.
    pub idempotency_key: Option<Arc<str>>,
    /// A hash of the tokens without blanks and comments; the same on every instance.
    ///
    /// Two statements with one idempotency key and different fingerprints are different requests.
    pub fingerprint: u64,
}
