//! The keys in force, and what to do when that cannot be known.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::key::Verifier;

/// What checks the keys in force, by account and key id.
pub type Keys<V = Verifier> = BTreeMap<Arc<str>, BTreeMap<Arc<str>, V>>;

/// What an instance does when it cannot know whether a key was withdrawn.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Fallback {
    /// Runs nothing more, so a withdrawn key cannot be used.
    Refuse,
    /// Goes on with the keys last known.
    Serve,
}

/// The settings of a keyring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// What happens after the grace.
    #[serde(rename = "unsure")]
    pub fallback: Fallback,
    /// How long keys are taken as known after the last evidence.
    pub grace: Span,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            fallback: Fallback::Refuse,
            grace: Span::from_millis(1_500),
        }
    }
}

/// Whether a request may run under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Decision {
    /// The key is in force.
    Run,
    /// The key is not in force; the connection is closed with SQLSTATE 28000.
    Withdrawn,
    /// Nothing is known since the grace ran out; the request is refused as not run.
    #[strum(serialize = "unsure")]
    Unknown,
}

/// The keys in force at a settings revision, and how long they are known to be.
#[derive(Clone, Debug)]
pub struct Keyring<V = Verifier> {
    policy: Policy,
    /// The revision of `keys`; it never goes back.
    revision: u64,
    keys: Keys<V>,
    /// The keys are known to be current before this time.
    known_until: Time,
}

impl<V> Keyring<V> {
    /// Opens a keyring that knows no key.
    pub fn open(policy: Policy) -> Self {
        Self {
            policy,
            revision: 0,
            keys: Keys::new(),
            known_until: Time::ZERO,
        }
    }

    /// Puts the keys of a settings revision in force; an older revision changes nothing.
    pub fn on_settings(&mut self, revision: u64, policy: Policy, keys: Keys<V>) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        self.policy = policy;
        self.keys = keys;
    }

    /// Records that `revision` was the newest at some moment not before `started`.
    ///
    /// `started` is when the table read was started here. For a read that a peer reports it is
    /// the start of the request to the peer less the age of the read that the peer states.
    pub fn on_current(&mut self, started: Time, revision: u64) {
        if revision <= self.revision {
            self.extend(started);
        }
    }

    /// Records that a majority of the instances, asked at `started`, reported the table as down.
    ///
    /// A change cannot be accepted while the table is down, so the keys cannot have changed.
    pub fn on_outage(&mut self, started: Time) {
        self.extend(started);
    }

    /// Returns the settings revision of the keys.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns what an account's keys are checked against.
    pub fn verifiers(&self, account: &str) -> impl Iterator<Item = &V> {
        self.keys
            .get(account)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// Decides whether a request may run under a key, at login and before each request.
    pub fn check(&self, now: Time, account: &str, id: &str) -> Decision {
        let granted = self
            .keys
            .get(account)
            .is_some_and(|keys| keys.contains_key(id));
        if !granted && self.revision > 0 {
            return Decision::Withdrawn;
        }
        if !granted || (now >= self.known_until && self.policy.fallback == Fallback::Refuse) {
            return Decision::Unknown;
        }
        Decision::Run
    }

    fn extend(&mut self, started: Time) {
        self.known_until = self.known_until.max(started + self.policy.grace);
    }
}
