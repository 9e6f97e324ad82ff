//! What statements give, before it becomes protocol messages.

use pgwire::api::Type;
use rusqlite::types::Value;

use crate::group::Server;
use crate::sql::Column;
use crate::sql::Output;

/// What a statement gave, with its completion tag.
pub(super) struct Done {
    pub(super) output: Output,
    pub(super) tag: String,
    pub(super) edge: Edge,
}

/// Whether a statement began or ended a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Edge {
    /// Neither.
    Inside,
    /// Began one.
    Start,
    /// Ended one.
    End,
}

pub(super) fn done(tag: &str, edge: Edge) -> Done {
    Done {
        output: Output::default(),
        tag: tag.to_owned(),
        edge,
    }
}

pub(super) fn rows(output: Output, tag: &str) -> Done {
    Done {
        output,
        tag: tag.to_owned(),
        edge: Edge::Inside,
    }
}

/// Makes the tag of a statement that SQLite ran; `INSERT` carries an object identifier.
pub(super) fn answer(verb: &str, output: Output) -> Done {
    let tag = match verb {
        "INSERT" => "INSERT 0",
        "WITH" | "VALUES" => "SELECT",
        _ => verb,
    };
    rows(output, tag)
}

pub(super) fn status(server: &Server) -> Output {
    let status = server.status();
    let fields = [
        ("role", status.role.to_string()),
        ("received_term", status.received.term.to_string()),
        ("received_offset", status.received.offset.to_string()),
        ("applied_term", status.applied.term.to_string()),
        ("applied_offset", status.applied.offset.to_string()),
    ];
    Output {
        columns: fields.iter().map(|(name, _)| text_column(name)).collect(),
        rows: vec![
            fields
                .into_iter()
                .map(|(_, value)| Value::Text(value))
                .collect(),
        ],
        affected: 1,
        changes: false,
    }
}

pub(super) fn one_row(name: &str, value: &str) -> Output {
    Output {
        columns: vec![text_column(name)],
        rows: vec![vec![Value::Text(value.to_owned())]],
        affected: 1,
        changes: false,
    }
}

fn text_column(name: &str) -> Column {
    Column {
        name: name.to_owned(),
        kind: Some(Type::TEXT),
    }
}
