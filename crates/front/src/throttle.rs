//! Counts failed logins, so that guessing keys costs the instance little.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use clock::Span;
use clock::Time;

/// Entries that are kept; the one that lapses first makes room.
const ENTRIES: usize = 4_096;

/// Failed logins by address and account.
///
/// The account is part of the name because all clients of a balancer share its address.
#[derive(Debug)]
pub struct Throttle {
    failures: u32,
    window: Span,
    entries: BTreeMap<(IpAddr, Arc<str>), Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    count: u32,
    /// The failures count until then.
    lapses: Time,
}

impl Throttle {
    /// Returns a throttle that allows `failures` failed logins within `window`.
    pub fn new(failures: u32, window: Span) -> Self {
        Self {
            failures,
            window,
            entries: BTreeMap::new(),
        }
    }

    /// Returns when the next try is allowed if it is not allowed now.
    pub fn blocked_until(&self, address: IpAddr, account: &Arc<str>, now: Time) -> Option<Time> {
        let entry = self.entries.get(&(address, Arc::clone(account)))?;
        (entry.lapses > now && entry.count >= self.failures).then_some(entry.lapses)
    }

    /// Takes note of a failed login.
    pub fn fail(&mut self, address: IpAddr, account: &Arc<str>, now: Time) {
        self.entries.retain(|_, entry| entry.lapses > now);
        if self.entries.len() >= ENTRIES {
            self.drop_oldest();
        }
        let entry = self.entries.entry((address, Arc::clone(account)));
        let entry = entry.or_insert(Entry {
            count: 0,
            lapses: now + self.window,
        });
        entry.count = entry.count.saturating_add(1);
        assert!(self.entries.len() <= ENTRIES, "the throttle is bounded");
    }

    fn drop_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.lapses);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.entries.remove(&key);
        }
    }
}
