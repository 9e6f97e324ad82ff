//! The valid keys, and the fallback when their validity cannot be confirmed.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::key::Verifier;

/// Verifiers of the valid keys, by account and key id.
pub type Keys<V = Verifier> = BTreeMap<Arc<str>, BTreeMap<Arc<str>, V>>;

/// What an instance does with requests while it cannot confirm that keys are still valid.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Fallback {
    /// Refuses requests, so that a withdrawn key cannot be used.
    Refuse,
    /// Accepts the last known keys.
    Serve,
}

/// Parameters of a keyring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// What happens after the grace period.
    #[serde(rename = "unsure")]
    pub fallback: Fallback,
    /// How long the keys count as valid after the last confirmation.
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

/// The keyring's decision on a request with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Decision {
    /// The key is valid.
    Run,
    /// The key is not valid; the connection is closed with SQLSTATE 28000.
    Withdrawn,
    /// The grace period has ended without a confirmation, or no keys are loaded yet; the request is
    /// refused as not run.
    #[strum(serialize = "unsure")]
    Unknown,
}

/// The valid keys as of a settings revision, and until when that is confirmed.
#[derive(Clone, Debug)]
pub struct Keyring<V = Verifier> {
    policy: Policy,
    /// The settings revision of `keys`; never decreases.
    revision: u64,
    keys: Keys<V>,
    /// The keys are confirmed to be current until this time.
    confirmed_until: Time,
}

impl<V> Keyring<V> {
    /// Opens a keyring without keys.
    pub fn open(policy: Policy) -> Self {
        Self {
            policy,
            revision: 0,
            keys: Keys::new(),
            confirmed_until: Time::ZERO,
        }
    }

    /// Applies the keys of a settings revision; a revision that is not newer is ignored.
    pub fn on_settings(&mut self, revision: u64, policy: Policy, keys: Keys<V>) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        self.policy = policy;
        self.keys = keys;
    }

    /// Records that `revision` was the newest at some time not before `started`.
    ///
    /// For a local table read, `started` is when the read started. For a read reported by a peer,
    /// it is the start of the request to the peer minus the age that the peer reports for the read.
    pub fn on_confirmed(&mut self, started: Time, revision: u64) {
        if revision <= self.revision {
            self.extend(started);
        }
    }

    /// Records that a majority of the instances, queried at `started`, reported the table as down.
    ///
    /// No change is accepted while the table is down, so the keys cannot have changed.
    pub fn on_outage(&mut self, started: Time) {
        self.extend(started);
    }

    /// Returns the settings revision of the keys.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the verifiers of an account's valid keys.
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
        if !granted || (now >= self.confirmed_until && self.policy.fallback == Fallback::Refuse) {
            return Decision::Unknown;
        }
        Decision::Run
    }

    fn extend(&mut self, started: Time) {
        self.confirmed_until = self.confirmed_until.max(started + self.policy.grace);
    }
}
