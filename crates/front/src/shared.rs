//! What all connections of a listener share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use clock::Span;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio_rustls::TlsAcceptor;

use crate::Ending;
use crate::Error;
use crate::Hello;
use crate::Options;
use crate::Throttle;
use crate::cancel::Registry;

/// What all connections of a listener share.
pub struct Shared {
    pub options: Options,
    pub acceptor: Option<TlsAcceptor>,
    pub cancels: Registry,
    /// One permit a connection that has not logged in yet.
    pub logins: Arc<Semaphore>,
    /// One permit an open session.
    pub sessions: Arc<Semaphore>,
    /// Holds why all connections must end, once they must.
    pub stop: watch::Sender<Option<Ending>>,
    throttle: Mutex<Throttle>,
}

impl Shared {
    /// Loads the certificate and starts with no connection.
    pub fn open(options: Options) -> Result<Self, Error> {
        let limits = options.limits;
        let acceptor = options.tls.as_ref().map(|tls| tls.load()).transpose()?;
        Ok(Self {
            acceptor,
            cancels: Registry::default(),
            logins: Arc::new(Semaphore::new(limits.logins)),
            sessions: Arc::new(Semaphore::new(limits.sessions)),
            stop: watch::Sender::new(None),
            throttle: Mutex::new(Throttle::new(limits.failures, limits.failure_window)),
            options,
        })
    }

    /// Returns the number of open sessions.
    pub fn session_count(&self) -> usize {
        let free = self.sessions.available_permits();
        self.options.limits.sessions.saturating_sub(free)
    }

    /// Returns true if clients without TLS are refused.
    pub fn requires_tls(&self) -> bool {
        self.options.tls.as_ref().is_some_and(|tls| tls.required)
    }

    /// Returns how long logins of this account from this address are refused, if they are.
    pub fn login_blocked_for(&self, hello: &Hello) -> Option<Span> {
        let now = self.options.clock.now();
        let throttle = self.throttle();
        let until = throttle.blocked_until(hello.peer.ip(), &hello.account, now)?;
        Some(until.since(now))
    }

    /// Takes note of a failed login.
    pub fn count_failure(&self, hello: &Hello) {
        let now = self.options.clock.now();
        self.throttle().fail(hello.peer.ip(), &hello.account, now);
    }

    fn throttle(&self) -> MutexGuard<'_, Throttle> {
        self.throttle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
