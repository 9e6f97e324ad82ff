//! Answers and errors as messages of the protocol.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use endpoint::Column;
use endpoint::Reply;
use pgwire::error::ErrorInfo;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::DataRow;
use pgwire::messages::data::FieldDescription;
use pgwire::messages::data::RowDescription;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::ParameterStatus;

use crate::Refusal;
use crate::Transaction;

/// The size that `RowDescription` gives for a type of variable length.
const VARIABLE_SIZE: i16 = -1;

/// Returns the message that describes the columns, each in its format.
pub fn description(columns: &[Column], format: impl Fn(usize) -> i16) -> PgWireBackendMessage {
    let fields = columns.iter().enumerate().map(|(index, column)| {
        FieldDescription::new(
            column.name.to_string(),
            0,
            0,
            column.type_oid,
            size(column.type_oid),
            -1,
            format(index),
        )
    });
    PgWireBackendMessage::RowDescription(RowDescription::new(fields.collect()))
}

fn size(type_oid: u32) -> i16 {
    use postgres_types::Type;
    match Type::from_oid(type_oid) {
        Some(Type::BOOL | Type::CHAR) => 1,
        Some(Type::INT2) => 2,
        Some(Type::INT4 | Type::FLOAT4 | Type::OID | Type::DATE) => 4,
        Some(Type::INT8 | Type::FLOAT8 | Type::TIMESTAMP | Type::TIMESTAMPTZ | Type::TIME) => 8,
        Some(Type::UUID) => 16,
        _ => VARIABLE_SIZE,
    }
}

/// Returns a row's message.
pub fn row(values: &[Option<Bytes>]) -> PgWireBackendMessage {
    let mut data = BytesMut::new();
    for value in values {
        match value {
            Some(bytes) => {
                let length = i32::try_from(bytes.len()).expect("a value is below 2 GiB");
                data.put_i32(length);
                data.put_slice(bytes);
            }
            None => data.put_i32(-1),
        }
    }
    let count = i16::try_from(values.len()).expect("a row has at most 1664 columns");
    PgWireBackendMessage::DataRow(DataRow::new(data, count))
}

/// Returns the message that ends a statement's answer; `rows` counts what was sent.
pub fn complete(reply: &Reply) -> PgWireBackendMessage {
    let tag = match &*reply.tag {
        "INSERT" => format!("INSERT 0 {}", reply.affected),
        counted @ ("SELECT" | "UPDATE" | "DELETE" | "MERGE" | "FETCH" | "MOVE") => {
            format!("{counted} {}", reply.affected)
        }
        other => other.to_owned(),
    };
    PgWireBackendMessage::CommandComplete(CommandComplete::new(tag))
}

/// Returns an error's message.
pub fn error(refusal: &Refusal) -> PgWireBackendMessage {
    let severity = if refusal.fatal { "FATAL" } else { "ERROR" };
    let mut info = ErrorInfo::new(
        severity.to_owned(),
        refusal.code.to_string(),
        refusal.message.clone(),
    );
    info.severity_nonlocalized = Some(severity.to_owned());
    info.detail = refusal.detail_line();
    info.hint.clone_from(&refusal.hint);
    PgWireBackendMessage::ErrorResponse(info.into())
}

/// Returns the message that tells a parameter's value.
pub fn parameter(name: &str, value: &str) -> PgWireBackendMessage {
    PgWireBackendMessage::ParameterStatus(ParameterStatus::new(name.to_owned(), value.to_owned()))
}

/// Returns the message that asks for the next request.
pub fn ready(transaction: Transaction) -> PgWireBackendMessage {
    let status = match transaction {
        Transaction::Idle => TransactionStatus::Idle,
        Transaction::Open => TransactionStatus::Transaction,
        Transaction::Failed => TransactionStatus::Error,
    };
    PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status))
}
