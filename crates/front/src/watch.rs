//! Watches the client and the announced ends while the session works.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use crate::Cancel;
use crate::Ended;
use crate::Ending;
use crate::Error;
use crate::Refusal;
use crate::ending::at_once;
use crate::wire::Wire;

/// How long a cancel may take before the statement is dropped.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a connection ends.
#[derive(Debug)]
pub enum Halt {
    /// The client said goodbye.
    Terminated,
    /// The client is told why; the connection ends only if the refusal is fatal.
    Refused(Refusal),
    /// The connection cannot be used any more.
    Failed(Error),
}

impl From<Error> for Halt {
    fn from(error: Error) -> Self {
        Self::Failed(error)
    }
}

impl From<Refusal> for Halt {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<Ending> for Halt {
    fn from(ending: Ending) -> Self {
        Self::Refused(Refusal {
            fatal: true,
            ..ending.refusal
        })
    }
}

/// What is watched while the session works.
pub struct Watch<'a> {
    /// The client.
    pub wire: &'a mut Wire,
    /// The end of this session.
    pub ended: &'a mut Ended,
    /// The end of all sessions.
    pub stop: &'a mut Ended,
}

impl Watch<'_> {
    /// Waits for the session's work, and cancels it if the client or the session ends before.
    pub async fn until<T>(
        self,
        work: impl Future<Output = T>,
        canceller: Arc<dyn Cancel>,
    ) -> Result<T, Halt> {
        let mut work = std::pin::pin!(work);
        let halt = tokio::select! {
            biased;
            done = &mut work => return Ok(done),
            error = self.wire.gone() => Halt::Failed(error),
            ending = at_once(self.ended) => Halt::from(ending),
            ending = at_once(self.stop) => Halt::from(ending),
        };
        // A cancel that hangs must not keep the session from being closed.
        let _elapsed = tokio::time::timeout(CANCEL_TIMEOUT, canceller.cancel()).await;
        Err(halt)
    }
}
