//! Splits a text into statements and classifies each.

use std::sync::Arc;

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::Tokenizer;

use crate::Error;
use crate::Kind;
use crate::Pin;
use crate::Statement;
use crate::classify::classify;
use crate::comment;
use crate::comment::Malformed;
use crate::fingerprint::fingerprint;
use crate::fingerprint::fingerprint_text;
use crate::piece::Piece;
use crate::piece::split;

/// First words of statements that are passed on without being understood.
const OPAQUE: [&str; 9] = [
    "alter", "create", "delete", "drop", "insert", "merge", "select", "update", "with",
];
/// Parts of words that tell of state left on a connection.
const STATEFUL: [&str; 5] = ["advisory", "currval", "lastval", "set_config", "temp"];

/// Splits a request's text into statements and classifies each; an empty text gives none.
///
/// A single statement that is not understood counts as a write.
pub fn parse(text: &str) -> Result<Vec<Statement>, Error> {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize_with_location();
    let tokens = match tokens {
        Ok(tokens) => tokens,
        Err(error) => return opaque(text, &error.to_string()),
    };
    let pieces = split(text, tokens)?;
    Ok(pieces.into_iter().map(statement).collect())
}

fn statement(piece: Piece) -> Statement {
    let key = comment::idempotency_key(&piece);
    let kind = match key {
        Ok(_) => classify(&piece),
        Err(Malformed) => Kind::Refused {
            code: "42601",
            why: "the idempotency key cannot be read; write /*idempotency_key='KEY'*/ once",
        },
    };
    Statement {
        kind,
        idempotency_key: key.unwrap_or_default(),
        fingerprint: fingerprint(&piece),
        text: piece.text,
    }
}

/// Passes on a text that cannot be split, if it can only be one statement that changes rows or
/// tables; whatever it may leave on its connection pins the session.
fn opaque(text: &str, why: &str) -> Result<Vec<Statement>, Error> {
    let text = text.trim_ascii();
    let lower = text.to_lowercase();
    let first = lower.split_whitespace().next().unwrap_or_default();
    // An idempotency key in it could not be read either.
    let has_key = lower.contains("idempotency_key");
    if text.contains(';') || has_key || !OPAQUE.contains(&first) {
        let why = why.to_owned();
        return Err(Error::Syntax { why });
    }
    let leaves_state = STATEFUL.iter().any(|word| lower.contains(word));
    let kind = if leaves_state {
        Kind::Pin(Pin::Setting)
    } else {
        Kind::Write
    };
    Ok(vec![Statement {
        text: Arc::from(text),
        kind,
        idempotency_key: None,
        fingerprint: fingerprint_text(text),
    }])
}
