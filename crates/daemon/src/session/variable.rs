//! The variables of the proxy that sessions set and show.

use std::sync::Arc;

use bytes::Bytes;
use endpoint::Answer;
use endpoint::Column;
use endpoint::Reply;
use front::Refusal;
use session::Token;
use sql::Variable;

use super::context::Context;
use super::refuse;

/// The name of the token's parameter.
pub(super) const TOKEN: &str = "yuccamount.token";

/// Object identifier of the type `text`.
const TEXT: u32 = 25;

/// Sets or shows a variable.
pub(super) fn run(context: &mut Context, variable: &Variable) -> Result<Answer, Refusal> {
    match variable {
        Variable::Set { name, value } => {
            set(context, name, value.as_ref())?;
            Ok(done("SET"))
        }
        Variable::Show { name } => show(context, name),
    }
}

/// Takes a token that the client carries over from another session.
pub(super) fn adopt(context: &mut Context, text: &str) -> Result<(), Refusal> {
    let token = Token::verify(text, &context.node.tokens)
        .map_err(|error| refuse::invalid("22023", &format!("{TOKEN}: {error}")))?;
    if token.account != context.entry.account {
        let message = format!("{TOKEN}: the token belongs to another account");
        return Err(refuse::invalid("22023", &message));
    }
    context.floors.merge(&token.floors);
    context.roaming = None;
    Ok(())
}

/// Returns the session's token.
pub(super) fn token(context: &Context) -> String {
    let token = Token {
        account: Arc::clone(&context.entry.account),
        floors: context.floors.clone(),
    };
    token.sign(&context.node.tokens)
}

/// Returns an answer without rows.
pub(super) fn done(tag: &str) -> Answer {
    Answer {
        replies: vec![Reply {
            columns: None,
            rows: Vec::new(),
            tag: Arc::from(tag),
            affected: 0,
        }],
    }
}

fn set(context: &mut Context, name: &str, value: Option<&Arc<str>>) -> Result<(), Refusal> {
    match (name, value) {
        ("token", Some(text)) => adopt(context, text),
        ("token", None) => Err(refuse::invalid("22023", "the token can't be taken back")),
        ("idempotency_key", key) => {
            context.idempotency_key = key.filter(|key| !key.is_empty()).cloned();
            Ok(())
        }
        _ => Err(unknown(name)),
    }
}

fn show(context: &Context, name: &str) -> Result<Answer, Refusal> {
    let value = match name {
        "token" => Some(token(context)),
        "idempotency_key" => context.idempotency_key.as_deref().map(str::to_owned),
        "instance" => Some(context.node.options.name.to_string()),
        "session" => Some(context.entry.id.to_string()),
        _ => return Err(unknown(name)),
    };
    let columns = vec![Column {
        name: Arc::from(format!("yuccamount.{name}")),
        type_oid: TEXT,
    }];
    Ok(Answer {
        replies: vec![Reply {
            columns: Some(columns),
            rows: vec![vec![value.map(Bytes::from)]],
            tag: Arc::from("SHOW"),
            affected: 1,
        }],
    })
}

fn unknown(name: &str) -> Refusal {
    let message =
        format!("yuccamount.{name}: allowed are token, idempotency_key, instance and session");
    refuse::invalid("42704", &message)
}
