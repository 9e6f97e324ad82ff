//! Hashes of statements that do not depend on blanks, comments and the case of words.

use sha2::Digest;
use sha2::Sha256;
use sqlparser::tokenizer::Token;

use crate::piece::Piece;

/// Ends each token, so that two token lists never give one byte sequence.
const END: [u8; 1] = [0];

/// Returns the hash of a statement's tokens.
pub fn fingerprint(piece: &Piece) -> u64 {
    let mut hash = Sha256::new();
    for token in &piece.tokens {
        hash.update(spelled(&token.token));
        hash.update(END);
    }
    first_eight(hash)
}

/// Returns the hash of a text that has no tokens.
pub fn fingerprint_text(text: &str) -> u64 {
    first_eight(Sha256::new().chain_update(text))
}

fn spelled(token: &Token) -> String {
    match token {
        Token::Word(word) if word.quote_style.is_none() => word.value.to_lowercase(),
        other => other.to_string(),
    }
}

fn first_eight(hash: Sha256) -> u64 {
    let hash: [u8; 32] = hash.finalize().into();
    let (first, _) = hash.split_first_chunk().expect("the hash has 32 bytes");
    u64::from_be_bytes(*first)
}
