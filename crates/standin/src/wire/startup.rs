//! Login: the connection limit, the cost of a connection, and the password.

use std::fmt::Debug;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use futures::Sink;
use pgwire::api::ClientInfo;
use pgwire::api::auth::AuthSource;
use pgwire::api::auth::DefaultServerParameterProvider;
use pgwire::api::auth::LoginInfo;
use pgwire::api::auth::Password;
use pgwire::api::auth::StartupHandler;
use pgwire::api::auth::cleartext::CleartextPasswordAuthStartupHandler;
use pgwire::error::ErrorInfo;
use pgwire::error::PgWireError;
use pgwire::error::PgWireResult;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use tokio::sync::OwnedSemaphorePermit;

use crate::group::Server;

type Inner = CleartextPasswordAuthStartupHandler<Source, DefaultServerParameterProvider>;

/// Logs one client in.
pub(super) struct Startup {
    server: Arc<Server>,
    inner: Inner,
    /// Held for as long as the connection lives.
    permit: Mutex<Option<OwnedSemaphorePermit>>,
}

impl Startup {
    pub(super) fn open(server: Arc<Server>) -> Self {
        let source = Source {
            user: Arc::clone(&server.options.user),
            password: Arc::clone(&server.options.password),
        };
        let pids = Arc::clone(&server.pids);
        let inner = Inner::new(source, DefaultServerParameterProvider::default())
            .with_pid_secret_key_generator(pids)
            .with_connection_manager(Arc::clone(&server.manager));
        Self {
            server,
            inner,
            permit: Mutex::new(None),
        }
    }

    fn admit(&self) -> PgWireResult<()> {
        let permit = Arc::clone(&self.server.connections).try_acquire_owned();
        let permit = permit.map_err(|_| fatal("53300", "sorry, too many clients already"))?;
        let mut slot = self.permit.lock().unwrap_or_else(PoisonError::into_inner);
        *slot = Some(permit);
        Ok(())
    }
}

fn fatal(code: &str, message: &str) -> PgWireError {
    PgWireError::UserError(Box::new(ErrorInfo::new(
        "FATAL".to_owned(),
        code.to_owned(),
        message.to_owned(),
    )))
}

#[async_trait]
impl StartupHandler for Startup {
    async fn on_startup<C>(
        &self,
        client: &mut C,
        message: PgWireFrontendMessage,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.server.resumed().await;
        if matches!(message, PgWireFrontendMessage::Startup(_)) {
            self.admit()?;
            tokio::time::sleep(Duration::from_millis(self.server.options.connect_ms)).await;
        }
        self.inner.on_startup(client, message).await
    }
}

/// The one user that may log in.
struct Source {
    user: Arc<str>,
    password: Arc<str>,
}

impl Debug for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Source({})", self.user)
    }
}

#[async_trait]
impl AuthSource for Source {
    #[expect(
        elided_lifetimes_in_paths,
        reason = "the trait's method has its lifetime late-bound"
    )]
    async fn get_password(&self, login: &LoginInfo) -> PgWireResult<Password> {
        if login.user() != Some(&*self.user) {
            return Err(PgWireError::InvalidPassword(
                login.user().unwrap_or_default().to_owned(),
            ));
        }
        Ok(Password::new(None, self.password.as_bytes().to_vec()))
    }
}
