//! Converts `tokio-postgres` errors to [`crate::Error`].

use std::sync::Arc;

use tokio_postgres::Error as Cause;

use crate::Error;

/// Prefix of the SQLSTATEs with which a server announces that it closes the connection.
const SHUTDOWN_CODE_PREFIX: &str = "57P";

/// Converts an error of a statement that was passed to the library.
///
/// Without an error response from the server, the statement may have run: `Error::Unknown`.
pub(super) fn from_statement(step: &'static str, peer: &Arc<str>, cause: &Cause) -> Error {
    match from_server(step, peer, cause) {
        Some(error) => error,
        None => Error::Unknown {
            step,
            peer: Arc::clone(peer),
            why: error_text(cause),
        },
    }
}

/// Converts an error of a failed connection attempt; no statement has been sent by then.
pub(super) fn from_connect(peer: &Arc<str>, cause: &Cause) -> Error {
    match from_server("connect", peer, cause) {
        Some(error) => error,
        None => Error::NotSent {
            step: "connect",
            peer: Arc::clone(peer),
            why: error_text(cause),
        },
    }
}

fn from_server(step: &'static str, peer: &Arc<str>, cause: &Cause) -> Option<Error> {
    let error = cause.as_db_error()?;
    let code = error.code().code();
    // During a shutdown the server may send this error after the statement took effect.
    if step != "connect" && code.starts_with(SHUTDOWN_CODE_PREFIX) {
        return None;
    }
    Some(Error::Server {
        step,
        peer: Arc::clone(peer),
        code: Arc::from(code),
        message: error.message().to_owned(),
        detail: error.detail().map(str::to_owned),
        hint: error.hint().map(str::to_owned),
    })
}

fn error_text(cause: &Cause) -> String {
    match std::error::Error::source(cause) {
        Some(source) => format!("{cause}: {source}"),
        None => cause.to_string(),
    }
}
