//! Errors with an SQLSTATE.

use rusqlite::Error;
use rusqlite::ffi;

/// A statement's error as a client sees it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Failure {
    /// The SQLSTATE.
    pub(crate) code: &'static str,
    /// The text.
    pub(crate) message: String,
}

impl Failure {
    /// Makes an error.
    pub(crate) fn new(code: &'static str, message: &str) -> Self {
        let message = message.to_owned();
        Self { code, message }
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        let message = error.to_string();
        let code = match &error {
            Error::SqliteFailure(inner, _) => by_number(inner.extended_code, &message),
            Error::SqlInputError { .. } => by_text(&message),
            Error::InvalidParameterCount(..) => "08P01",
            Error::MultipleStatement => "42601",
            _ => "XX000",
        };
        Self { code, message }
    }
}

fn by_number(number: i32, message: &str) -> &'static str {
    match number {
        ffi::SQLITE_CONSTRAINT_PRIMARYKEY
        | ffi::SQLITE_CONSTRAINT_UNIQUE
        | ffi::SQLITE_CONSTRAINT_ROWID => "23505",
        ffi::SQLITE_CONSTRAINT_NOTNULL => "23502",
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => "23503",
        ffi::SQLITE_CONSTRAINT_CHECK => "23514",
        ffi::SQLITE_MISMATCH => "22P02",
        ffi::SQLITE_INTERRUPT => "57014",
        _ => by_text(message),
    }
}

fn by_text(message: &str) -> &'static str {
    let known = [
        ("no such table", "42P01"),
        ("no such column", "42703"),
        ("has no column named", "42703"),
        ("no such function", "42883"),
        ("already exists", "42P07"),
        ("no such savepoint", "3B001"),
        ("syntax error", "42601"),
        ("unrecognized token", "42601"),
        ("incomplete input", "42601"),
    ];
    known
        .iter()
        .find(|(part, _)| message.contains(part))
        .map_or("XX000", |(_, code)| *code)
}
