//! The errors that sessions give.

use clock::Span;
use front::Refusal;

/// SQLSTATE of requests over the account's rate.
const RATE: &str = "53400";
/// SQLSTATE while no primary can take the statement.
const NO_PRIMARY: &str = "57P03";
/// SQLSTATE of statements that took longer than allowed.
const TIMEOUT: &str = "57014";
/// SQLSTATE of transactions that may be repeated from their start.
const RESTART: &str = "40001";
/// SQLSTATE of statements whose outcome is unknown.
const UNKNOWN: &str = "08007";

/// The statement was not run, for want of a primary or a replica.
pub(super) fn unavailable(group: &str, retry: Span) -> Refusal {
    let message = format!("group {group} cannot take the statement now; try again");
    Refusal::error(NO_PRIMARY, message).not_run(Some(retry.as_millis().max(1)))
}

/// The statement was not run, since the account's rate was used up.
pub(super) fn over_rate(account: &str, retry: Span) -> Refusal {
    let message = format!("account {account} is over its rate; try again later");
    Refusal::error(RATE, message).not_run(Some(retry.as_millis().max(1)))
}

/// The statement was not run, since connections are scarce.
pub(super) fn busy(group: &str, retry: Span) -> Refusal {
    let message = format!("group {group} has no free connection; try again");
    Refusal::error("53300", message).not_run(Some(retry.as_millis().max(1)))
}

/// The statement may or may not have taken effect.
pub(super) fn unknown(why: &str) -> Refusal {
    let message = format!("the outcome is unknown: {why}; look before you repeat it");
    Refusal::error(UNKNOWN, message)
}

/// The transaction was rolled back and may be repeated from its start.
pub(super) fn restart(why: &str) -> Refusal {
    let message = format!("the transaction was rolled back: {why}; repeat it from its start");
    Refusal::error(RESTART, message)
}

/// The read was given up.
pub(super) fn timeout() -> Refusal {
    Refusal::error(TIMEOUT, "the statement took longer than its deadline")
}

/// The client sent something that cannot be served.
pub(super) fn invalid(code: &str, message: &str) -> Refusal {
    Refusal::error(code, message).not_run(None)
}
