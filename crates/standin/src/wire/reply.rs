//! Turns outputs into protocol messages, and parameters into values.

use std::sync::Arc;

use futures::stream;
use pgwire::api::Type;
use pgwire::api::portal::Format;
use pgwire::api::portal::Portal;
use pgwire::api::results::DataRowEncoder;
use pgwire::api::results::FieldInfo;
use pgwire::api::results::QueryResponse;
use pgwire::api::results::Response;
use pgwire::api::results::Tag;
use pgwire::error::ErrorInfo;
use pgwire::error::PgWireError;
use pgwire::error::PgWireResult;
use pgwire::messages::data::DataRow;
use rusqlite::types::Value;

use super::answer::Done;
use super::answer::Edge;
use crate::sql::Column;
use crate::sql::Failure;
use crate::sql::Output;

impl From<Failure> for PgWireError {
    fn from(failure: Failure) -> Self {
        PgWireError::UserError(Box::new(info(&failure)))
    }
}

/// Makes the error message of a failed statement.
pub(super) fn info(failure: &Failure) -> ErrorInfo {
    ErrorInfo::new(
        "ERROR".to_owned(),
        failure.code.to_owned(),
        failure.message.clone(),
    )
}

/// Makes the answer to a statement, its columns in `format`.
pub(super) fn response(done: Done, format: &Format) -> PgWireResult<Response> {
    match done.edge {
        Edge::Start => return Ok(Response::TransactionStart(Tag::new(&done.tag))),
        Edge::End => return Ok(Response::TransactionEnd(Tag::new(&done.tag))),
        Edge::Inside => {}
    }
    if done.output.columns.is_empty() {
        return Ok(Response::Execution(tag(&done.tag, done.output.affected)));
    }
    let schema = Arc::new(schema(&done.output, format));
    let rows = encode(&done.output, &schema)?;
    let mut response = QueryResponse::new(schema, stream::iter(rows.into_iter().map(Ok)));
    response.set_command_tag(&done.tag);
    Ok(Response::Query(response))
}

fn tag(verb: &str, affected: usize) -> Tag {
    match verb {
        "INSERT 0" | "UPDATE" | "DELETE" => Tag::new(verb).with_rows(affected),
        "CREATE" | "DROP" | "ALTER" => Tag::new(&format!("{verb} TABLE")),
        _ => Tag::new(verb),
    }
}

/// Returns the fields of columns whose types are known or text.
pub(super) fn fields(columns: &[Column], format: &Format) -> Vec<FieldInfo> {
    let kinds = columns
        .iter()
        .map(|column| column.kind.clone().unwrap_or(Type::TEXT));
    columns
        .iter()
        .zip(kinds)
        .enumerate()
        .map(|(index, (column, kind))| {
            FieldInfo::new(
                column.name.clone(),
                None,
                None,
                kind,
                format.format_for(index),
            )
        })
        .collect()
}

fn schema(output: &Output, format: &Format) -> Vec<FieldInfo> {
    fields(&output.columns, format)
}

fn encode(output: &Output, schema: &Arc<Vec<FieldInfo>>) -> PgWireResult<Vec<DataRow>> {
    let mut encoder = DataRowEncoder::new(Arc::clone(schema));
    let mut rows = Vec::new();
    for row in &output.rows {
        for (value, field) in row.iter().zip(schema.iter()) {
            encode_value(&mut encoder, value, field.datatype())?;
        }
        rows.push(encoder.take_row());
    }
    Ok(rows)
}

fn encode_value(encoder: &mut DataRowEncoder, value: &Value, kind: &Type) -> PgWireResult<()> {
    match *kind {
        Type::INT8 => encoder.encode_field(&integer(value)),
        Type::FLOAT8 => encoder.encode_field(&real(value)),
        Type::BOOL => encoder.encode_field(&integer(value).map(|number| number != 0)),
        Type::BYTEA => encoder.encode_field(&bytes(value)),
        _ => encoder.encode_field(&text(value)),
    }
}

fn integer(value: &Value) -> Option<i64> {
    match value {
        Value::Integer(number) => Some(*number),
        Value::Text(text) => text.parse().ok(),
        // CAST: saturates, which is what a caller of an integer column expects.
        Value::Real(number) => Some(*number as i64),
        Value::Null | Value::Blob(_) => None,
    }
}

fn real(value: &Value) -> Option<f64> {
    match value {
        // CAST: loses precision above 2^53 as PostgreSQL does.
        Value::Integer(number) => Some(*number as f64),
        Value::Real(number) => Some(*number),
        Value::Text(text) => text.parse().ok(),
        Value::Null | Value::Blob(_) => None,
    }
}

fn bytes(value: &Value) -> Option<Vec<u8>> {
    match value {
        Value::Blob(bytes) => Some(bytes.clone()),
        other => text(other).map(String::into_bytes),
    }
}

fn text(value: &Value) -> Option<String> {
    match value {
        Value::Null => None,
        Value::Integer(number) => Some(number.to_string()),
        Value::Real(number) => Some(number.to_string()),
        Value::Text(text) => Some(text.clone()),
        Value::Blob(bytes) => Some(String::from_utf8_lossy(bytes).into_owned()),
    }
}

/// Reads the parameters of a bound statement.
pub(super) fn parameters(portal: &Portal<String>, inferred: &[Type]) -> PgWireResult<Vec<Value>> {
    (0..portal.parameter_len())
        .map(|index| {
            let given = portal.statement.parameter_types.get(index).cloned();
            let kind = given.flatten().filter(|kind| *kind != Type::UNKNOWN);
            let kind = kind.or_else(|| inferred.get(index).cloned());
            parameter(portal, index, &kind.unwrap_or(Type::TEXT))
        })
        .collect()
}

fn parameter(portal: &Portal<String>, index: usize, kind: &Type) -> PgWireResult<Value> {
    let value = match *kind {
        Type::INT2 => portal
            .parameter::<i16>(index, kind)?
            .map(|n| Value::Integer(n.into())),
        Type::INT4 => portal
            .parameter::<i32>(index, kind)?
            .map(|n| Value::Integer(n.into())),
        Type::INT8 => portal.parameter::<i64>(index, kind)?.map(Value::Integer),
        Type::FLOAT4 => portal
            .parameter::<f32>(index, kind)?
            .map(|n| Value::Real(n.into())),
        Type::FLOAT8 => portal.parameter::<f64>(index, kind)?.map(Value::Real),
        Type::BOOL => portal
            .parameter::<bool>(index, kind)?
            .map(|b| Value::Integer(b.into())),
        Type::BYTEA => portal.parameter::<Vec<u8>>(index, kind)?.map(Value::Blob),
        _ => portal
            .parameter::<String>(index, &Type::TEXT)?
            .map(Value::Text),
    };
    Ok(value.unwrap_or(Value::Null))
}
