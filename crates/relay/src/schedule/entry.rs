//! A waiting request, as the order sees it.

use std::sync::Arc;

use clock::Span;
use clock::Time;

/// A waiting request, as the order sees it.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// Its number, in the order of arrival.
    pub sequence: u64,
    /// The priority of its route; 0 is the most urgent.
    pub priority: u32,
    /// Its account.
    pub account: &'a Arc<str>,
    /// When it was queued.
    pub since: Time,
    /// The longest time that it may wait.
    pub max_wait: Span,
}
