//! Client accounts: keys, fleet-wide rate limiting, fair queuing and retry budgets.
//!
//! Every module is a state machine without I/O: it takes the time and messages as input and returns
//! actions for the caller to perform.

pub mod key;
pub mod queue;
pub mod rate;
pub mod retry;
