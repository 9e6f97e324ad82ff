//! The keys by which clients cancel their statements through another connection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::SecretKey;
use subtle::ConstantTimeEq;

use crate::Cancel;

/// The bytes of a secret under protocol 3.2.
const SECRET_BYTES: usize = 32;

/// The cancel keys of all open sessions.
#[derive(Default)]
pub struct Registry {
    entries: Mutex<BTreeMap<i32, Entry>>,
}

struct Entry {
    secret: Bytes,
    cancel: Arc<dyn Cancel>,
}

impl Registry {
    /// Registers a session; `long` asks for the secret of protocol 3.2.
    pub fn register(&self, cancel: Arc<dyn Cancel>, long: bool) -> BackendKeyData {
        let secret = if long {
            let bytes: [u8; SECRET_BYTES] = rand::random();
            SecretKey::Bytes(Bytes::copy_from_slice(&bytes))
        } else {
            SecretKey::I32(rand::random())
        };
        let mut entries = self.lock();
        let mut pid = rand::random_range(1..i32::MAX);
        while entries.contains_key(&pid) {
            pid = rand::random_range(1..i32::MAX);
        }
        let entry = Entry {
            secret: secret.to_bytes(),
            cancel,
        };
        entries.insert(pid, entry);
        BackendKeyData::new(pid, secret)
    }

    /// Forgets a session.
    pub fn remove(&self, pid: i32) {
        self.lock().remove(&pid);
    }

    /// Returns what cancels the session's statement if the secret is right.
    pub fn find(&self, pid: i32, secret: &SecretKey) -> Option<Arc<dyn Cancel>> {
        let entries = self.lock();
        let entry = entries.get(&pid)?;
        let right: bool = entry.secret.ct_eq(&secret.to_bytes()).into();
        right.then(|| Arc::clone(&entry.cancel))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<i32, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
