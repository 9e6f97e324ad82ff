//! The stored form of answers, for repeats of a request with an idempotency key.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use bytes::Bytes;
use endpoint::Answer;
use endpoint::Query;
use sha2::Digest;
use sha2::Sha256;

/// Returns an answer as text.
pub(super) fn encode(answer: &Answer) -> String {
    let bytes = postcard::to_stdvec(answer).expect("answers are plain values");
    STANDARD_NO_PAD.encode(bytes)
}

/// Reads an answer back, `None` if the text is damaged.
pub(super) fn decode(text: &[u8]) -> Option<Answer> {
    let bytes = STANDARD_NO_PAD.decode(text).ok()?;
    postcard::from_bytes(&bytes).ok()
}

/// Returns what tells two requests apart: protocol, statement and values.
pub(super) fn fingerprint(statement: &sql::Statement, query: &Query) -> String {
    let mut digest = Sha256::new();
    digest.update(statement.fingerprint.to_be_bytes());
    match query {
        Query::Simple { .. } => digest.update(b"simple"),
        Query::Extended { values, .. } => {
            digest.update(b"extended");
            for value in values {
                add(&mut digest, value.as_ref());
            }
        }
    }
    STANDARD_NO_PAD.encode(digest.finalize())
}

fn add(digest: &mut Sha256, value: Option<&Bytes>) {
    match value {
        None => digest.update([0]),
        Some(value) => {
            digest.update([1]);
            // CAST: widening on all supported platforms.
            digest.update((value.len() as u64).to_be_bytes());
            digest.update(value);
        }
    }
}
