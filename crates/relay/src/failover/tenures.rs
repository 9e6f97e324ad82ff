//! Ends replacements of this instance once it learns of newer ones.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::watch;

/// The fencing tokens by group.
type Tokens = BTreeMap<Arc<str>, u64>;

/// The replacements that this instance carries out, and the newest ones that it has learned of.
///
/// Another instance acquires a token only by writing the group's row, so once a higher token is known
/// this instance may neither order promotions nor command servers.
#[derive(Debug, Default)]
pub struct Tenures {
    /// The highest token of each group that this instance has learned of, by a row or a request.
    newest: watch::Sender<Tokens>,
    /// The token of the replacement that orders and commands right now, if any.
    running: watch::Sender<Tokens>,
}

impl Tenures {
    /// Records a token, which ends a part of an older replacement that runs.
    pub fn on_token(&self, group: &Arc<str>, token: u64) {
        self.newest.send_if_modified(|tokens| {
            let newest = tokens.entry(Arc::clone(group)).or_default();
            let is_newer = token > *newest;
            *newest = token.max(*newest);
            is_newer
        });
    }

    /// Returns the highest token of a group that this instance has learned of.
    pub fn newest(&self, group: &str) -> u64 {
        self.newest.borrow().get(group).copied().unwrap_or_default()
    }

    /// Runs a part of the replacement with `token`; drops it and returns `None` once a higher token is
    /// known.
    pub async fn run<T>(
        &self,
        group: &Arc<str>,
        token: u64,
        part: impl Future<Output = T>,
    ) -> Option<T> {
        let _running = Running::open(&self.running, group, token);
        let mut newest = self.newest.subscribe();
        let is_newer = |tokens: &Tokens| tokens.get(group).is_some_and(|newest| *newest > token);
        // The part is dropped before `_running` is.
        tokio::select! {
            biased;
            _newer = newest.wait_for(is_newer) => None,
            result = part => Some(result),
        }
    }

    /// Returns whether a replacement older than `token` runs.
    pub fn is_older_running(&self, group: &str, token: u64) -> bool {
        is_older(&self.running.borrow(), group, token)
    }

    /// Waits until no replacement older than `token` runs.
    pub async fn wait_for_end(&self, group: &str, token: u64) {
        let mut running = self.running.subscribe();
        // It fails only if the sender is dropped, which `self` owns.
        let _ended = running
            .wait_for(|tokens| !is_older(tokens, group, token))
            .await;
    }
}

fn is_older(running: &Tokens, group: &str, token: u64) -> bool {
    running.get(group).is_some_and(|running| *running < token)
}

/// The entry of a replacement in `Tenures::running`, which ends with this.
struct Running<'a> {
    running: &'a watch::Sender<Tokens>,
    group: &'a Arc<str>,
}

impl<'a> Running<'a> {
    fn open(running: &'a watch::Sender<Tokens>, group: &'a Arc<str>, token: u64) -> Self {
        running.send_modify(|tokens| {
            tokens.insert(Arc::clone(group), token);
        });
        Self { running, group }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.running.send_modify(|tokens| {
            tokens.remove(self.group);
        });
    }
}
