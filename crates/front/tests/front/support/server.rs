//! A listener on the loopback address with a fake behind it.

use std::net::SocketAddr;
use std::sync::Arc;

use clock::Manual;
use clock::Time;
use front::Limits;
use front::Listener;
use front::Options;
use front::Tls;
use timeline::Event;
use timeline::Kind;
use timeline::Ring;
use timeline::Timestamp;
use tokio::task::JoinHandle;
use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::Error;
use tokio_postgres::NoTls;

use super::Door;
use super::Fake;
use super::soon;

/// Events that the ring keeps.
const EVENTS: usize = 1_000;

/// A listener and what stands behind it.
pub struct Server {
    pub fake: Arc<Fake>,
    pub ring: Arc<Ring>,
    pub clock: Arc<Manual>,
    pub listener: Listener,
}

impl Server {
    /// Starts a listener with default limits.
    pub async fn start() -> Self {
        Self::start_with(Limits::default(), None).await
    }

    /// Starts a listener.
    pub async fn start_with(limits: Limits, tls: Option<Tls>) -> Self {
        Self::bind(limits, tls).await.unwrap()
    }

    /// Starts a listener, or tells why it cannot start.
    pub async fn bind(limits: Limits, tls: Option<Tls>) -> Result<Self, front::Error> {
        let clock = Arc::new(Manual::open(Time::from_micros(1_000_000)));
        let ring = Ring::open(Arc::from("i1"), clock.clone(), EVENTS);
        let fake = Fake::open();
        let options = Options {
            gate: Arc::new(Door(fake.clone())),
            ring: ring.clone(),
            clock: clock.clone(),
            tls,
            limits,
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Listener::bind(address, options).await?;
        Ok(Self {
            fake,
            ring,
            clock,
            listener,
        })
    }

    /// Returns how to log in with a key.
    pub fn config(&self, account: &str, key: &str) -> Config {
        let mut config = Config::new();
        config
            .host("127.0.0.1")
            .port(self.listener.address().port())
            .user(account)
            .password(key)
            .dbname("orders/main")
            .application_name("gallery");
        config
    }

    /// Logs in with the first key of the account that the fake knows.
    pub async fn client(&self) -> Client {
        self.connect("lumbrera", "first-key").await.unwrap().0
    }

    /// Logs in; the task ends with the connection.
    pub async fn connect(
        &self,
        account: &str,
        key: &str,
    ) -> Result<(Client, JoinHandle<Result<(), Error>>), Error> {
        let (client, connection) = self.config(account, key).connect(NoTls).await?;
        Ok((client, tokio::spawn(connection)))
    }

    /// Returns all events.
    pub fn events(&self) -> Vec<Event> {
        self.ring.events_after(Timestamp::default())
    }

    /// Waits for an event.
    pub async fn wait_for(&self, kind: Kind, what: &str) -> Event {
        let is_it = |event: &Event| event.kind == kind && &*event.what == what;
        soon(|| self.events().into_iter().find(is_it)).await
    }
}
