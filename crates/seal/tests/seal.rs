//! Tests of message authentication.

use seal::Authenticator;
use test_case::test_case;

#[test_case(16; "truncated tag")]
#[test_case(32; "full tag")]
fn only_an_unchanged_message_is_verified(tag_bytes: usize) {
    let authenticator = Authenticator::open(b"secret", b"test", tag_bytes);
    let mut bytes = b"message".to_vec();
    authenticator.append_tag(&mut bytes);
    assert_eq!(bytes.len(), 7 + tag_bytes);
    assert_eq!(authenticator.verify(&bytes), Some(&b"message"[..]));
    for index in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 1;
        assert_eq!(authenticator.verify(&changed), None, "byte {index}");
    }
    assert_eq!(
        authenticator.verify(&bytes[..tag_bytes - 1]),
        None,
        "too short"
    );
}

#[test_case(b"other", b"test"; "another secret")]
#[test_case(b"secret", b"other"; "another purpose")]
fn a_tag_is_not_valid_for_another_secret_or_purpose(secret: &[u8], purpose: &[u8]) {
    let mut bytes = b"message".to_vec();
    Authenticator::open(b"secret", b"test", 16).append_tag(&mut bytes);
    assert_eq!(
        Authenticator::open(secret, purpose, 16).verify(&bytes),
        None
    );
}
