//! `SET`, `RESET` and `SHOW`.

use std::sync::Arc;

use sqlparser::tokenizer::Token;

use crate::Kind;
use crate::Variable;
use crate::classify::refused;
use crate::piece::Piece;

/// The prefix of the proxy's own variables.
const PREFIX: &str = "yuccamount";
/// Settings on which the splitting of texts relies, and the only value that they may get.
const FIXED: [(&str, &[&str]); 4] = [
    ("STANDARD_CONFORMING_STRINGS", &["on", "true"]),
    ("CLIENT_ENCODING", &["utf8", "utf-8", "unicode"]),
    ("NAMES", &["utf8", "utf-8", "unicode"]),
    ("ENCODING", &["utf8", "utf-8", "unicode"]),
];

/// Classifies `SET`.
pub fn set(piece: &Piece) -> Kind {
    let scope = piece.word(1);
    let local = matches!(&*scope, "LOCAL" | "TRANSACTION" | "CONSTRAINTS");
    let scoped = matches!(&*scope, "LOCAL" | "SESSION");
    let start = if scoped { 2 } else { 1 };
    if let Some((name, next)) = own_name(piece, start) {
        return own_set(piece, name, next);
    }
    if has_forbidden_value(piece, start) {
        return refused("this setting has one value here: UTF8 and standard_conforming_strings on");
    }
    Kind::SessionSet { local }
}

/// Classifies `RESET`.
pub fn reset(piece: &Piece) -> Kind {
    match own_name(piece, 1) {
        Some((name, _)) => Kind::Variable(Variable::Set { name, value: None }),
        None => Kind::SessionSet { local: false },
    }
}

/// Classifies `SHOW`.
pub fn show(piece: &Piece) -> Kind {
    match own_name(piece, 1) {
        Some((name, _)) => Kind::Variable(Variable::Show { name }),
        None => Kind::Read,
    }
}

/// Returns the name of one of the proxy's own variables, and the place after it.
fn own_name(piece: &Piece, start: usize) -> Option<(Arc<str>, usize)> {
    let Token::Word(first) = piece.token(start)? else {
        return None;
    };
    let first = first.value.to_lowercase();
    if let Some(name) = first.strip_prefix("yuccamount.") {
        return Some((Arc::from(name), start + 1));
    }
    if first != PREFIX || piece.token(start + 1)? != &Token::Period {
        return None;
    }
    let Token::Word(name) = piece.token(start + 2)? else {
        return None;
    };
    Some((Arc::from(name.value.to_lowercase()), start + 3))
}

fn own_set(piece: &Piece, name: Arc<str>, next: usize) -> Kind {
    let assigns = piece.token(next) == Some(&Token::Eq) || piece.word(next) == "TO";
    let value = match piece.token(next + 1) {
        Some(Token::SingleQuotedString(text)) => Some(Arc::from(text.as_str())),
        Some(Token::Number(digits, _)) => Some(Arc::from(digits.as_str())),
        Some(Token::Word(word)) if word.value.eq_ignore_ascii_case("default") => None,
        Some(Token::Word(word)) => Some(Arc::from(word.value.as_str())),
        _ => return malformed(),
    };
    if !assigns || piece.token(next + 2).is_some() {
        return malformed();
    }
    Kind::Variable(Variable::Set { name, value })
}

fn malformed() -> Kind {
    Kind::Refused {
        code: "42601",
        why: "write SET yuccamount.NAME = 'value'",
    }
}

fn has_forbidden_value(piece: &Piece, start: usize) -> bool {
    let name = match piece.token(start) {
        Some(Token::Word(word)) => word.value.to_uppercase(),
        _ => return false,
    };
    let Some((_, allowed)) = FIXED.iter().find(|(fixed, _)| *fixed == name) else {
        return false;
    };
    let value = match piece.tokens.last().map(|token| &token.token) {
        Some(Token::SingleQuotedString(text)) => text.to_lowercase(),
        Some(Token::Word(word)) => word.value.to_lowercase(),
        _ => return true,
    };
    !allowed.contains(&&*value) && value != "default"
}
