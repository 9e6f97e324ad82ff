//! Token verification and its errors.

use std::sync::Arc;

use endpoint::Position;
use session::Error;
use session::Floors;
use session::Keyring;
use session::Token;
use test_case::test_case;

fn at(term: u64, offset: u64) -> Position {
    Position { term, offset }
}

fn secret(text: &str) -> Arc<[u8]> {
    Arc::from(text.as_bytes())
}

fn token() -> Token {
    let mut floors = Floors::default();
    floors.raise("orders", at(2, 70));
    floors.raise("gallery", at(1, 5));
    let account = Arc::from("lumbrera");
    Token { account, floors }
}

#[test]
fn a_token_round_trips_and_survives_secret_rotation() {
    let old = Keyring::open(1, secret("first"));
    let text = token().sign(&old);
    assert_eq!(Token::verify(&text, &old), Ok(token()));
    let rotated = Keyring::open(2, secret("second")).with_previous(1, secret("first"));
    assert_eq!(Token::verify(&text, &rotated), Ok(token()));
    assert_ne!(token().sign(&rotated), text);
    let later = Keyring::open(2, secret("second"));
    assert_eq!(
        Token::verify(&text, &later),
        Err(Error::UnknownKey { key: 1 })
    );
}

#[test]
fn a_token_signed_with_another_secret_is_rejected() {
    let text = token().sign(&Keyring::open(1, secret("guessed")));
    let keyring = Keyring::open(1, secret("first"));
    assert_eq!(Token::verify(&text, &keyring), Err(Error::InvalidSignature));
}

#[test]
fn no_changed_or_cut_token_is_accepted() {
    let keyring = Keyring::open(1, secret("first"));
    let text = token().sign(&keyring);
    for end in 0..text.len() {
        assert!(
            Token::verify(&text[..end], &keyring).is_err(),
            "cut at {end}"
        );
    }
    for index in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[index] = if bytes[index] == b'A' { b'B' } else { b'A' };
        let changed =
            String::from_utf8(bytes).expect("a token with one ASCII byte replaced is UTF-8");
        let verified = Token::verify(&changed, &keyring);
        assert!(verified.is_err(), "changed at {index}");
    }
}

#[test_case("", "it is empty"; "empty")]
#[test_case("%%", "it is not base64url"; "not base64")]
#[test_case("AQAA", "it is cut off"; "too short")]
fn a_malformed_token_is_rejected_with_a_reason(text: &str, why: &'static str) {
    let keyring = Keyring::open(1, secret("first"));
    assert_eq!(Token::verify(text, &keyring), Err(Error::Malformed { why }));
}

#[test]
fn an_unsupported_version_is_reported() {
    let keyring = Keyring::open(1, secret("first"));
    assert_eq!(
        Token::verify("CQAA", &keyring),
        Err(Error::UnsupportedVersion { version: 9 })
    );
}

#[test]
fn a_floor_that_the_group_has_not_reached_is_refused() {
    let floors = token().floors;
    let future = floors.check("orders", at(2, 69));
    assert!(
        matches!(future, Err(Error::AheadOfGroup { .. })),
        "{future:?}"
    );
    assert_eq!(floors.check("orders", at(2, 70)), Ok(()));
    assert_eq!(floors.check("orders", at(3, 1)), Ok(()));
    assert_eq!(floors.check("renders", at(1, 1)), Ok(()));
}
