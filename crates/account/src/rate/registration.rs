//! The time for which an instance's row is in the table.

use clock::Time;

/// The time for which an instance's row is sure to be in the table; empty if `since >= until`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Registration {
    /// When the first write of the row, or the first after it had lapsed, was acknowledged.
    pub since: Time,
    /// When the row lapses unless it is renewed.
    pub until: Time,
}
