//! Values between the text and the binary format, for the types that clients use most.

use std::error;

use bytes::Bytes;
use bytes::BytesMut;
use chrono::DateTime;
use chrono::FixedOffset;
use chrono::NaiveDate;
use chrono::NaiveDateTime;
use chrono::NaiveTime;
use chrono::Utc;
use pgwire::types::FromSqlText;
use pgwire::types::ToSqlText;
use pgwire::types::format::FormatOptions;
use postgres_types::FromSql;
use postgres_types::ToSql;
use postgres_types::Type;

use crate::Refusal;
use crate::numeric;

/// The only version of the binary format of `jsonb`.
const JSONB_VERSION: u8 = 1;

type Failure = Box<dyn error::Error + Send + Sync>;

/// Returns true if values of the type have both formats here.
pub fn is_known(type_oid: u32) -> bool {
    Type::from_oid(type_oid).is_some_and(|kind| {
        is_text(&kind)
            || matches!(
                kind,
                Type::BOOL
                    | Type::INT2
                    | Type::INT4
                    | Type::INT8
                    | Type::OID
                    | Type::FLOAT4
                    | Type::FLOAT8
                    | Type::NUMERIC
                    | Type::BYTEA
                    | Type::JSONB
                    | Type::DATE
                    | Type::TIME
                    | Type::TIMESTAMP
                    | Type::TIMESTAMPTZ
            )
    })
}

/// Types whose two formats are the same bytes.
fn is_text(kind: &Type) -> bool {
    matches!(
        *kind,
        Type::TEXT
            | Type::VARCHAR
            | Type::BPCHAR
            | Type::NAME
            | Type::UNKNOWN
            | Type::JSON
            | Type::XML
    )
}

/// Returns a parameter's binary form.
pub fn to_binary(type_oid: u32, text: Bytes) -> Result<Bytes, Refusal> {
    let Some(kind) = Type::from_oid(type_oid).filter(|_| is_known(type_oid)) else {
        let message = format!(
            "a parameter of type {type_oid} cannot be sent as text; send it as binary, or cast it \
             from text, as in $1::text::TYPE"
        );
        return Err(Refusal::error("0A000", message).not_run(None));
    };
    encode(&kind, text).map_err(|error| {
        let message = format!("invalid input for a parameter of type {kind}: {error}");
        Refusal::error("22P02", message).not_run(None)
    })
}

fn encode(kind: &Type, text: Bytes) -> Result<Bytes, Failure> {
    match *kind {
        ref kind if is_text(kind) => {
            std::str::from_utf8(&text)?;
            Ok(text)
        }
        Type::BOOL => parse::<bool>(kind, &text),
        Type::INT2 => parse::<i16>(kind, &text),
        Type::INT4 => parse::<i32>(kind, &text),
        Type::INT8 => parse::<i64>(kind, &text),
        Type::OID => parse::<u32>(kind, &text),
        Type::FLOAT4 => parse::<f32>(kind, &text),
        Type::FLOAT8 => parse::<f64>(kind, &text),
        Type::NUMERIC => Ok(numeric::encode(std::str::from_utf8(&text)?)?),
        Type::BYTEA => parse::<Vec<u8>>(kind, &text),
        Type::JSONB => Ok([&[JSONB_VERSION], &text[..]].concat().into()),
        Type::DATE => parse::<NaiveDate>(kind, &text),
        Type::TIME => parse::<NaiveTime>(kind, &text),
        Type::TIMESTAMP => parse::<NaiveDateTime>(kind, &text),
        Type::TIMESTAMPTZ => parse::<DateTime<FixedOffset>>(kind, &text),
        _ => Err("no binary form is known".into()),
    }
}

fn parse<'a, T: FromSqlText<'a> + ToSql>(kind: &Type, text: &'a [u8]) -> Result<Bytes, Failure> {
    let value = T::from_sql_text(kind, text, &FormatOptions::default())?;
    let mut binary = BytesMut::new();
    value.to_sql(kind, &mut binary)?;
    Ok(binary.freeze())
}

/// Returns a result's text form.
///
/// It fails after the statement ran, so the error says so.
pub fn to_text(type_oid: u32, binary: Bytes) -> Result<Bytes, Refusal> {
    let decoded = match Type::from_oid(type_oid) {
        Some(kind) => decode(&kind, binary),
        None => Err("no text form is known".into()),
    };
    decoded.map_err(|error| {
        let message = format!(
            "the statement ran, but a value of type {type_oid} has no text form: {error}; \
             cast it to text"
        );
        Refusal::error("22000", message)
    })
}

fn decode(kind: &Type, binary: Bytes) -> Result<Bytes, Failure> {
    match *kind {
        ref kind if is_text(kind) => Ok(binary),
        Type::BOOL => print::<bool>(kind, &binary),
        Type::INT2 => print::<i16>(kind, &binary),
        Type::INT4 => print::<i32>(kind, &binary),
        Type::INT8 => print::<i64>(kind, &binary),
        Type::OID => print::<u32>(kind, &binary),
        Type::FLOAT4 => print::<f32>(kind, &binary),
        Type::FLOAT8 => print::<f64>(kind, &binary),
        Type::NUMERIC => Ok(numeric::decode(&binary)?.into()),
        Type::BYTEA => print::<Vec<u8>>(kind, &binary),
        Type::JSONB => match binary.first() {
            Some(&JSONB_VERSION) => Ok(binary.slice(1..)),
            _ => Err("another version of jsonb".into()),
        },
        Type::DATE => Ok(NaiveDate::from_sql(kind, &binary)?.to_string().into()),
        Type::TIME => {
            let value = NaiveTime::from_sql(kind, &binary)?;
            Ok(trimmed(value.format("%H:%M:%S%.6f").to_string()).into())
        }
        Type::TIMESTAMP => {
            let value = NaiveDateTime::from_sql(kind, &binary)?;
            Ok(trimmed(value.format("%Y-%m-%d %H:%M:%S%.6f").to_string()).into())
        }
        Type::TIMESTAMPTZ => {
            let value = DateTime::<Utc>::from_sql(kind, &binary)?;
            let text = trimmed(value.format("%Y-%m-%d %H:%M:%S%.6f").to_string());
            Ok(format!("{text}+00").into())
        }
        _ => Err("no text form is known".into()),
    }
}

fn print<'a, T: FromSql<'a> + ToSqlText>(kind: &Type, binary: &'a [u8]) -> Result<Bytes, Failure> {
    let value = T::from_sql(kind, binary)?;
    let mut text = BytesMut::new();
    value.to_sql_text(kind, &mut text, &FormatOptions::default())?;
    Ok(text.freeze())
}

/// Drops the zeros after the last digit of a fraction, as the server does.
fn trimmed(text: String) -> String {
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
