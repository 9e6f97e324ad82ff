//! Authentication codes.

use seal::Authenticator;
use test_case::test_case;

#[test_case(16; "short codes")]
#[test_case(32; "whole codes")]
fn a_sealed_message_is_read_and_a_changed_one_is_not(length: usize) {
    let seal = Authenticator::open(b"secret", b"test", length);
    let mut bytes = b"message".to_vec();
    seal.append_tag(&mut bytes);
    assert_eq!(bytes.len(), 7 + length);
    assert_eq!(seal.verify(&bytes), Some(&b"message"[..]));
    for index in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 1;
        assert_eq!(seal.verify(&changed), None, "byte {index}");
    }
    assert_eq!(seal.verify(&bytes[..length - 1]), None, "too short");
}

#[test_case(b"other", b"test"; "another secret")]
#[test_case(b"secret", b"other"; "another purpose")]
fn a_code_is_worth_nothing_elsewhere(secret: &[u8], purpose: &[u8]) {
    let mut bytes = b"message".to_vec();
    Authenticator::open(b"secret", b"test", 16).append_tag(&mut bytes);
    assert_eq!(
        Authenticator::open(secret, purpose, 16).verify(&bytes),
        None
    );
}
