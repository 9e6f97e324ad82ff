//! What a statement needs of the connection it runs on.

use std::sync::Arc;

/// How a statement must be routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Surely changes nothing, so a replica may answer it.
    Read,
    /// May change something, so the primary runs it.
    Write,
    /// Begins a transaction.
    Begin {
        /// The client declared that the transaction only reads.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the whole transaction back.
    Rollback,
    /// `SAVEPOINT`, `RELEASE` or `ROLLBACK TO`; it has a meaning only inside a transaction.
    Savepoint,
    /// Sets or shows a variable of the proxy; no endpoint sees it.
    Variable(Variable),
    /// Changes a setting of the session at the endpoint.
    SessionSet {
        /// The change ends with the transaction (`SET LOCAL`, `SET TRANSACTION`).
        local: bool,
    },
    /// Leaves state on the connection, so the session must keep the connection from here on.
    Pin(Pin),
    /// Cannot be served through a pool.
    Refused {
        /// The SQLSTATE.
        code: &'static str,
        /// What the client is told.
        why: &'static str,
    },
}

/// The state that a pinning statement leaves on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Pin {
    /// A temporary table, view or sequence.
    TempTable,
    /// A session-level advisory lock.
    AdvisoryLock,
    /// A statement prepared by SQL `PREPARE`.
    Prepare,
    /// A cursor that outlives its transaction.
    Cursor,
    /// A setting changed by a function call.
    Setting,
}

/// A request about one of the proxy's own variables, `yuccamount.NAME`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Variable {
    /// `SET yuccamount.NAME = 'value'`.
    Set {
        /// The name after the prefix, in lower case.
        name: Arc<str>,
        /// The value; `None` for `RESET` and `SET ... TO DEFAULT`.
        value: Option<Arc<str>>,
    },
    /// `SHOW yuccamount.NAME`.
    Show {
        /// The name after the prefix, in lower case.
        name: Arc<str>,
    },
}
