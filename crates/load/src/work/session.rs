//! A caller's connection to an instance.

use std::future::poll_fn;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::Connection;
use tokio_postgres::NoTls;
use tokio_postgres::Socket;
use tokio_postgres::tls::NoTlsStream;

/// The parameter by which an instance reports the session's token.
const TOKEN: &str = "yuccamount.token";
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

type Token = Arc<Mutex<Option<String>>>;

/// An open connection and the token that was last reported on it.
pub(super) struct Session {
    pub(super) client: Client,
    token: Token,
    driver: AbortHandle,
}

/// Who logs in, and where to.
pub(super) struct Login<'a> {
    pub(super) address: &'a str,
    pub(super) account: &'a str,
    pub(super) key: &'a str,
    pub(super) database: &'a str,
    pub(super) token: Option<&'a str>,
}

impl Session {
    /// Logs in; the error is the SQLSTATE or the cause.
    pub(super) async fn open(login: &Login<'_>) -> Result<Self, String> {
        let config = config(login);
        let attempt = tokio::time::timeout(CONNECT_TIMEOUT, config.connect(NoTls));
        let (client, connection) = match attempt.await {
            Ok(Ok(pair)) => pair,
            Ok(Err(error)) => return Err(cause(&error)),
            Err(_) => return Err("timeout".to_owned()),
        };
        let token = Token::default();
        let driver = tokio::spawn(drive(connection, Arc::clone(&token))).abort_handle();
        Ok(Self {
            client,
            token,
            driver,
        })
    }

    /// Returns the token that was last reported.
    pub(super) fn token(&self) -> Option<String> {
        let token = self.token.lock().unwrap_or_else(PoisonError::into_inner);
        token.clone()
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn config(login: &Login<'_>) -> Config {
    let (host, port) = login.address.split_once(':').unwrap_or((login.address, ""));
    let mut config = Config::new();
    config
        .host(host)
        .port(port.parse().unwrap_or(5432))
        .user(login.account)
        .password(login.key)
        .dbname(login.database);
    if let Some(token) = login.token {
        config.options(format!("-c {TOKEN}={token}"));
    }
    config
}

/// Returns the SQLSTATE of an error, or its text.
pub(super) fn cause(error: &tokio_postgres::Error) -> String {
    match error.code() {
        Some(code) => code.code().to_owned(),
        None => error.to_string(),
    }
}

/// Moves messages until the connection ends, keeping the reported token.
async fn drive(mut connection: Connection<Socket, NoTlsStream>, token: Token) {
    loop {
        let message = poll_fn(|context| {
            let polled = connection.poll_message(context);
            keep(&token, connection.parameter(TOKEN));
            polled
        });
        match message.await {
            Some(Ok(_)) => {}
            Some(Err(_)) | None => return,
        }
    }
}

fn keep(token: &Token, reported: Option<&str>) {
    let Some(reported) = reported else {
        return;
    };
    let mut token = token.lock().unwrap_or_else(PoisonError::into_inner);
    if token.as_deref() != Some(reported) {
        *token = Some(reported.to_owned());
    }
}
