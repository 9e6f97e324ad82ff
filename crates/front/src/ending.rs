//! The announced end of a session.

use tokio::sync::watch;

use crate::Refusal;
use crate::Transaction;

/// Holds `Some` once the session must end.
pub type Ended = watch::Receiver<Option<Ending>>;

/// Why and how fast a session must end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ending {
    /// What the client is told.
    pub refusal: Refusal,
    /// Whether a running statement is dropped; if not, it is left to finish.
    pub at_once: bool,
    /// Whether an open transaction is left to finish first.
    pub after_transaction: bool,
}

/// Resolves once the session must end while no statement runs.
///
/// `may_end` is false while a request of the client has been begun.
pub async fn due(ended: &mut Ended, may_end: bool, transaction: Transaction) -> Ending {
    let idle = transaction == Transaction::Idle;
    let matters =
        |ending: &Ending| ending.at_once || (may_end && (idle || !ending.after_transaction));
    wait(ended, matters).await
}

/// Resolves once the session must end without waiting for its statement.
pub async fn at_once(ended: &mut Ended) -> Ending {
    wait(ended, |ending| ending.at_once).await
}

/// Waits for an ending that matters; forever if there is none.
async fn wait(ended: &mut Ended, matters: impl Fn(&Ending) -> bool) -> Ending {
    let matters = |ending: &Option<Ending>| ending.as_ref().is_some_and(&matters);
    let found = ended.wait_for(matters).await.ok();
    let found = found.and_then(|ending| ending.clone());
    match found {
        Some(ending) => ending,
        None => std::future::pending().await,
    }
}
