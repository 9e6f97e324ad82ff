//! Keys: derivation, verification, mock verifiers, redaction and withdrawal.

use std::collections::BTreeMap;
use std::sync::Arc;

use account::key::Decision;
use account::key::Fallback;
use account::key::Keyring;
use account::key::Keys;
use account::key::Policy;
use account::key::Secret;
use account::key::Verifier;
use account::key::mock_verifier;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use clock::Span;
use clock::Time;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use test_case::test_case;

const AUTH_MESSAGE: &str = "n=user,r=rOprNGfwEbeRWgbNEkqO,\
    r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096,\
    c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0";
const PROOF: &str = "dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=";
const SERVER_SIGNATURE: &str = "6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=";

fn bytes(text: &str) -> Vec<u8> {
    STANDARD.decode(text).expect("valid base64")
}

fn verifier(key: &str) -> Verifier {
    let salt = bytes("W22ZaJ0SNY7soEsUEjb6gQ==");
    Verifier::derive("one", &Secret::new(key), &salt, 4096)
}

// The example exchange of RFC 7677, section 3.
#[test]
fn the_exchange_of_the_standard_passes() {
    let verifier = verifier("pencil");
    assert!(verifier.check(AUTH_MESSAGE.as_bytes(), &bytes(PROOF)));
    assert_eq!(
        verifier.server_signature(AUTH_MESSAGE.as_bytes()).to_vec(),
        bytes(SERVER_SIGNATURE)
    );
}

#[test_case("pencils", PROOF; "another key")]
#[test_case("pencil", "dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVU="; "a changed proof")]
#[test_case("pencil", ""; "no proof")]
fn a_wrong_proof_fails(key: &str, proof: &str) {
    assert!(!verifier(key).check(AUTH_MESSAGE.as_bytes(), &bytes(proof)));
}

#[test]
fn a_mock_verifier_is_stable_and_matches_no_key() {
    let fleet_secret = b"fleet secret";
    let first = mock_verifier("nobody", fleet_secret);
    assert_eq!(first, mock_verifier("nobody", fleet_secret));
    assert_ne!(first.salt, mock_verifier("somebody", fleet_secret).salt);
    assert!(!first.check(AUTH_MESSAGE.as_bytes(), &bytes(PROOF)));
}

#[test]
fn a_secret_and_its_verifier_print_nothing() {
    let secret = Secret::random(&mut ChaCha8Rng::seed_from_u64(5));
    let stored = Verifier::derive("one", &secret, b"salt", 1);
    let printed = format!("{secret} {secret:?} {stored:?}");
    assert_eq!(secret.expose().len(), 48);
    assert!(!printed.contains(secret.expose()));
    assert!(!printed.contains("stored_key"));
}

fn keys(ids: &[&str]) -> Keys {
    let of_account = ids
        .iter()
        .map(|id| (Arc::from(*id), verifier("pencil")))
        .collect();
    BTreeMap::from([(Arc::from("club"), of_account)])
}

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

#[test]
fn a_withdrawn_key_stops_and_an_older_revision_does_not_bring_it_back() {
    let mut keyring = Keyring::open(Policy::default());
    assert_eq!(keyring.check(at(0), "club", "a"), Decision::Unknown);
    keyring.on_settings(7, Policy::default(), keys(&["a", "b"]));
    keyring.on_confirmed(at(0), 7);
    assert_eq!(keyring.check(at(1), "club", "a"), Decision::Run);
    keyring.on_settings(8, Policy::default(), keys(&["b"]));
    keyring.on_settings(7, Policy::default(), keys(&["a", "b"]));
    assert_eq!(keyring.check(at(2), "club", "a"), Decision::Withdrawn);
    assert_eq!(keyring.check(at(2), "club", "b"), Decision::Run);
    assert_eq!(keyring.check(at(2), "other", "b"), Decision::Withdrawn);
}

#[test_case(Fallback::Refuse, Decision::Unknown; "refuse")]
#[test_case(Fallback::Serve, Decision::Run; "serve")]
fn without_evidence_the_setting_decides_after_the_grace(fallback: Fallback, after: Decision) {
    let policy = Policy {
        fallback,
        grace: Span::from_millis(1_500),
    };
    let mut keyring = Keyring::open(policy);
    keyring.on_settings(7, policy, keys(&["a"]));
    keyring.on_confirmed(at(0), 7);
    assert_eq!(keyring.check(at(1_499), "club", "a"), Decision::Run);
    assert_eq!(keyring.check(at(1_500), "club", "a"), after);
    keyring.on_confirmed(at(1_600), 8);
    assert_eq!(
        keyring.check(at(1_700), "club", "a"),
        after,
        "revision 8 is not loaded here"
    );
    keyring.on_outage(at(1_600));
    assert_eq!(keyring.check(at(1_700), "club", "a"), Decision::Run);
}
