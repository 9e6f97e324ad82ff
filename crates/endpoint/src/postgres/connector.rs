//! Connects to servers with `tokio-postgres`.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::time::timeout;
use tokio_postgres::Config;
use tokio_postgres::NoTls;

use super::connection;
use super::error;
use crate::Connection;
use crate::Connector;
use crate::Error;
use crate::Target;

/// Time limit for the TCP connection and the login together.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Opens unencrypted PostgreSQL connections over TCP.
#[derive(Debug, Default)]
pub struct Postgres;

impl Postgres {
    /// Creates the connector; it opens no connection by itself.
    pub fn open() -> Arc<dyn Connector> {
        Arc::new(Self)
    }
}

#[async_trait]
impl Connector for Postgres {
    async fn connect(&self, target: &Target) -> Result<Box<dyn Connection>, Error> {
        let config = config(target)?;
        let attempt = timeout(CONNECT_TIMEOUT, config.connect(NoTls));
        let Ok(result) = attempt.await else {
            return Err(not_sent(target, "timed out"));
        };
        let (client, driver) = result.map_err(|cause| error::from_connect(&target.name, &cause))?;
        // The task ends when the client is dropped or the server closes the connection.
        let driver = tokio::spawn(async move {
            if let Err(cause) = driver.await {
                log::debug!("event=server-connection-failed error={cause:?}");
            }
        });
        Ok(Box::new(connection::Connection::open(
            Arc::clone(&target.name),
            client,
            driver.abort_handle(),
        )))
    }
}

fn config(target: &Target) -> Result<Config, Error> {
    let (host, port) = target
        .address
        .rsplit_once(':')
        .ok_or_else(|| not_sent(target, "the address has no port"))?;
    let port = port
        .parse()
        .map_err(|_| not_sent(target, "the address has a malformed port"))?;
    let mut config = Config::new();
    config
        .host(host)
        .port(port)
        .user(&*target.user)
        .password(&*target.password)
        .dbname(&*target.database)
        .application_name("yuccamount");
    Ok(config)
}

fn not_sent(target: &Target, why: &str) -> Error {
    Error::NotSent {
        step: "connect",
        peer: Arc::clone(&target.name),
        why: format!("{why}: {}", target.address),
    }
}
