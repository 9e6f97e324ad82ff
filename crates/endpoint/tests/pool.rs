//! Tests of the pool with a fake connector.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use endpoint::Answer;
use endpoint::Canceller;
use endpoint::Connection;
use endpoint::Connector;
use endpoint::Description;
use endpoint::Error;
use endpoint::Pool;
use endpoint::Position;
use endpoint::Query;
use endpoint::Role;
use endpoint::Status;
use endpoint::Target;

#[derive(Default)]
struct FakeConnector {
    opened: AtomicUsize,
}

struct FakeConnection;

struct FakeCanceller;

#[async_trait]
impl Canceller for FakeCanceller {
    async fn cancel(&self) {}
}

#[async_trait]
impl Connection for FakeConnection {
    async fn run(&mut self, _query: &Query) -> Result<Answer, Error> {
        Ok(Answer::default())
    }

    async fn describe(&mut self, _text: &str, _types: &[u32]) -> Result<Description, Error> {
        Ok(Description::default())
    }

    async fn status(&mut self) -> Result<Status, Error> {
        Ok(Status {
            role: Role::Primary,
            received: Position::default(),
            applied: Position::default(),
        })
    }

    async fn promote(&mut self, _term: u64) -> Result<(), Error> {
        Ok(())
    }

    fn canceller(&self) -> Arc<dyn Canceller> {
        Arc::new(FakeCanceller)
    }

    fn is_closed(&self) -> bool {
        false
    }
}

#[async_trait]
impl Connector for FakeConnector {
    async fn connect(&self, _target: &Target) -> Result<Box<dyn Connection>, Error> {
        self.opened.fetch_add(1, Ordering::SeqCst);
        Ok(Box::new(FakeConnection))
    }
}

fn target(name: &str) -> Target {
    Target {
        name: Arc::from(name),
        address: Arc::from("127.0.0.1:1"),
        database: Arc::from("d"),
        user: Arc::from("u"),
        password: Arc::from("p"),
    }
}

#[tokio::test]
async fn a_released_connection_is_reused_and_a_dropped_one_is_closed() {
    let fake_connector = Arc::new(FakeConnector::default());
    let connector: Arc<dyn Connector> = Arc::clone(&fake_connector) as Arc<dyn Connector>;
    let pool = Pool::open(connector);
    pool.set_servers(&[(target("a"), 1)]);
    pool.acquire("a").await.unwrap().release();
    drop(pool.acquire("a").await.unwrap());
    assert_eq!(fake_connector.opened.load(Ordering::SeqCst), 1);
    pool.acquire("a").await.unwrap().release();
    assert_eq!(fake_connector.opened.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn the_limit_holds_and_follows_the_settings() {
    let pool = Pool::open(Arc::new(FakeConnector::default()));
    pool.set_servers(&[(target("a"), 1)]);
    let first = pool.acquire("a").await.unwrap();
    assert!(pool.try_acquire("a").await.is_none());
    pool.set_servers(&[(target("a"), 2)]);
    let second = pool.try_acquire("a").await.unwrap().unwrap();
    assert_eq!(pool.usage("a"), (2, 0));
    drop(second);
    pool.set_servers(&[(target("a"), 1)]);
    assert!(pool.try_acquire("a").await.is_none());
    first.release();
    assert_eq!(pool.usage("a"), (0, 1));
}

#[tokio::test]
async fn a_removed_server_is_refused_as_not_sent() {
    let pool = Pool::open(Arc::new(FakeConnector::default()));
    pool.set_servers(&[(target("a"), 1)]);
    let lease = pool.acquire("a").await.unwrap();
    pool.set_servers(&[]);
    lease.release();
    assert!(matches!(
        pool.acquire("a").await,
        Err(Error::NotSent { .. })
    ));
}
