//! Updates the keys in force from the settings, and ends the sessions of withdrawn keys.

use std::collections::BTreeMap;
use std::sync::Arc;

use account::key::Decision;
use account::key::Fallback;
use account::key::Keys;
use account::key::Policy;
use account::key::Verifier;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use clock::Span;
use front::Ending;
use front::Refusal;
use settings::CutOff;
use settings::Held;
use timeline::Kind;
use timeline::event;

use crate::node::Node;
use crate::node::lock;

/// The table counts as down after it has not answered for this long.
const OUTAGE_AFTER: Span = Span::from_millis(700);

/// The maximum age of a heartbeat that counts as a member's report of an outage.
const HEARTBEAT_AGE_MAX: Span = Span::from_millis(800);

/// Puts the keys of these settings in force and ends the sessions of withdrawn keys.
pub fn apply(node: &Arc<Node>, held: &Held) {
    let effective = held.tree.resolve_root();
    let policy = Policy {
        fallback: match effective.when_cut_off {
            CutOff::Serve => Fallback::Serve,
            CutOff::Refuse => Fallback::Refuse,
        },
        grace: Span::from_millis(effective.key_grace_ms),
    };
    let keys = keys(held);
    lock(&node.keyring).on_settings(held.snapshot.revision, policy, keys);
    end_withdrawn(node);
}

/// Records a table outage if a majority of the fleet reports it.
pub fn detect_outage(node: &Arc<Node>) {
    let now = node.now();
    let is_down = {
        let members = lock(&node.members);
        let known: Vec<_> = members.iter().collect();
        let silent = known
            .iter()
            .filter(|member| member.has_heartbeat_since(now - HEARTBEAT_AGE_MAX))
            .filter(|member| member.has_lost_table(OUTAGE_AFTER))
            .count();
        members.is_table_silent(now, OUTAGE_AFTER) && 2 * (silent + 1) > known.len() + 1
    };
    if is_down {
        lock(&node.keyring).on_outage(now - HEARTBEAT_AGE_MAX);
        lock(&node.holder).on_outage(now - HEARTBEAT_AGE_MAX);
    }
}

/// Asks the sessions whose key has been withdrawn to end.
fn end_withdrawn(node: &Arc<Node>) {
    let now = node.now();
    for entry in node.sessions.list() {
        let Some(key) = &entry.key else { continue };
        let decision = lock(&node.keyring).check(now, &entry.account, key);
        if decision != Decision::Withdrawn {
            continue;
        }
        let ended = event(Kind::Key, "session-ended")
            .with("account", &entry.account)
            .with("key", key)
            .with("session", entry.id);
        node.ring.record(ended);
        entry.end(Ending {
            refusal: Refusal::fatal("28000", "the key was withdrawn").not_run(None),
            at_once: false,
            after_transaction: false,
        });
    }
}

fn keys(held: &Held) -> Keys {
    let mut keys = Keys::new();
    for (name, account) in &held.tree.accounts {
        let verifiers: BTreeMap<Arc<str>, Verifier> = account
            .keys
            .iter()
            .filter_map(|(id, stored)| Some((Arc::clone(id), verifier(stored)?)))
            .collect();
        keys.insert(Arc::clone(name), verifiers);
    }
    keys
}

fn verifier(stored: &settings::Verifier) -> Option<Verifier> {
    let decoded = decode(stored);
    if decoded.is_none() {
        log::error!("event=verifier-unreadable key={}", stored.id);
    }
    decoded
}

fn decode(stored: &settings::Verifier) -> Option<Verifier> {
    Some(Verifier {
        id: Arc::clone(&stored.id),
        salt: Arc::from(STANDARD.decode(&*stored.salt).ok()?),
        iterations: stored.iterations,
        stored_key: STANDARD.decode(&*stored.stored_key).ok()?.try_into().ok()?,
        server_key: STANDARD.decode(&*stored.server_key).ok()?.try_into().ok()?,
    })
}

/// Encodes a verifier as the settings store it.
pub fn encode_verifier(verifier: &Verifier) -> settings::Verifier {
    settings::Verifier {
        id: Arc::clone(&verifier.id),
        salt: Arc::from(STANDARD.encode(&verifier.salt)),
        iterations: verifier.iterations,
        stored_key: Arc::from(STANDARD.encode(verifier.stored_key)),
        server_key: Arc::from(STANDARD.encode(verifier.server_key)),
    }
}
