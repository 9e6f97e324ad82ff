//! Fields of comments in the style of sqlcommenter.

use std::sync::Arc;

use percent_encoding::percent_decode_str;

use crate::piece::Piece;

/// The name under which a client gives its idempotency key.
const NAME: &str = "idempotency_key";

/// A key that cannot be read, or two different ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// Returns the idempotency key of a statement's comments.
///
/// A key that is there but cannot be read is an error, since the client relies on it.
pub fn idempotency_key(piece: &Piece) -> Result<Option<Arc<str>>, Malformed> {
    let mut key = None;
    for field in piece.comments.iter().flat_map(|text| text.split(',')) {
        let Some((name, value)) = field.trim_ascii().split_once('=') else {
            continue;
        };
        if decode(name.trim_ascii()).as_deref() != Some(NAME) {
            continue;
        }
        let value = read(value.trim_ascii()).ok_or(Malformed)?;
        if key
            .replace(Arc::clone(&value))
            .is_some_and(|other| other != value)
        {
            return Err(Malformed);
        }
    }
    Ok(key)
}

fn read(value: &str) -> Option<Arc<str>> {
    let value = value.strip_prefix('\'')?.strip_suffix('\'')?;
    let value = decode(value)?;
    (!value.is_empty()).then(|| value.into())
}

/// Undoes the percent encoding; a comma in a value is encoded, so a plain one separates fields.
fn decode(text: &str) -> Option<String> {
    let decoded = percent_decode_str(text).decode_utf8().ok()?;
    Some(decoded.replace("\\'", "'"))
}
