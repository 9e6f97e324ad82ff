//! Transactions of primaries that are held up on the way to them or back.

use std::sync::Arc;
use std::time::Duration;

use super::group::Group;

/// What is held up between an instance and a server, of all that only a primary runs. Demotions are
/// lost meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stall {
    /// Requests reach the server only once the stall has ended.
    Requests,
    /// Requests run, and their replies arrive only once the stall has ended.
    Replies,
}

impl Group {
    /// Holds up what an instance and a server exchange until the stall is changed or ended.
    pub fn stall(&self, instance: &str, server: &str, stall: Stall) {
        let link = (Arc::from(instance), Arc::from(server));
        self.lock().stalls.insert(link, stall);
    }

    /// Ends all stalls of an instance.
    pub fn end_stalls(&self, instance: &str) {
        self.lock()
            .stalls
            .retain(|(stalled, _), _| **stalled != *instance);
    }

    /// Sets how much later the replies to transactions of an instance arrive that only a primary runs,
    /// as where each commit waits for a late replica.
    pub fn delay_transactions(&self, instance: &str, delay: Duration) {
        self.lock().delays.insert(Arc::from(instance), delay);
    }

    /// Returns what is held up between an instance and a server.
    pub(super) fn stalled(&self, instance: &Arc<str>, server: &Arc<str>) -> Option<Stall> {
        let link = (Arc::clone(instance), Arc::clone(server));
        self.lock().stalls.get(&link).copied()
    }

    /// Lets promotion orders take effect again.
    pub fn take_orders(&self) {
        self.lock().loses_orders = false;
    }

    /// Returns which of the writes, by item and data, the leader's log lacks; `None` without a leader.
    pub fn missing<'a>(
        &self,
        writes: impl Iterator<Item = &'a (String, String)>,
    ) -> Option<Vec<(String, String)>> {
        let inner = self.lock();
        let log = &inner.servers[inner.leader.as_ref()?].log;
        let held: std::collections::BTreeSet<(&str, &str)> = log
            .iter()
            .map(|(_, item, data)| (&**item, &**data))
            .collect();
        let missing = writes.filter(|(item, data)| !held.contains(&(&**item, &**data)));
        Some(missing.cloned().collect())
    }
}
