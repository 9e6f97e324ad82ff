//! Tests of the connection pool of one server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use clock::Clock;
use clock::Span;
use clock::System;
use relay::external::Target;
use relay::group::Health;
use relay::message::Request;
use relay::message::Statement;
use relay::pool::Admission;
use relay::pool::Pool;
use tokio::time::Instant;

use crate::world::Dialer;
use crate::world::Group;

fn open(limit: usize) -> Arc<Pool> {
    open_with(limit, Group::open(), Arc::default())
}

fn open_with(limit: usize, group: Arc<Group>, health: Arc<Mutex<Health>>) -> Arc<Pool> {
    let target = Target {
        group: Arc::from("huvo"),
        server: Arc::from("a"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        account: Arc::from(""),
    };
    let connector = Arc::new(Dialer {
        group,
        instance: Arc::from("i1"),
    });
    let pool = Pool::open(target, connector, health, Arc::new(System::open()));
    pool.set_limits(limit, limit);
    pool
}

fn admission() -> Admission {
    Admission {
        max_wait: Span::from_millis(100),
        max_queue_age: Span::from_millis(100),
        deadline: Instant::now() + Duration::from_secs(10),
        salt: 0,
    }
}

fn account(name: &str) -> Arc<str> {
    Arc::from(name)
}

#[tokio::test(start_paused = true)]
async fn a_connection_is_used_again_by_its_account_only() {
    let pool = open(4);
    let connection = pool
        .acquire(&account("x"), 1, admission())
        .await
        .expect("room");
    connection.release();
    assert!(pool.has_idle("x"));
    assert!(!pool.has_idle("y"));
    let _again = pool
        .acquire(&account("x"), 1, admission())
        .await
        .expect("idle");
    assert_eq!(pool.permits_in_use(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_of_another_account_makes_room() {
    let pool = open(1);
    let connection = pool
        .acquire(&account("x"), 1, admission())
        .await
        .expect("room");
    connection.release();
    let other = pool.acquire(&account("y"), 1, admission()).await;
    let other = other.expect("the idle connection was evicted");
    assert_eq!(&*other.account, "y");
    assert_eq!(pool.permits_in_use(), 1);
}

#[tokio::test(start_paused = true)]
async fn the_limit_holds_and_a_request_that_queues_too_long_is_refused() {
    let pool = open(1);
    let _connection = pool
        .acquire(&account("x"), 1, admission())
        .await
        .expect("room");
    assert!(pool.acquire(&account("x"), 1, admission()).await.is_err());
    assert_eq!(pool.permits_in_use(), 1);
}

#[tokio::test(start_paused = true)]
async fn the_more_urgent_of_two_queued_requests_goes_first() {
    let pool = open(1);
    let connection = pool
        .acquire(&account("x"), 1, admission())
        .await
        .expect("room");
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut waiting = Vec::new();
    for priority in [2, 1] {
        let pool = Arc::clone(&pool);
        let order = Arc::clone(&order);
        waiting.push(tokio::spawn(async move {
            let connection = pool.acquire(&account("x"), priority, admission()).await;
            order.lock().expect("no panic").push(priority);
            connection.expect("a grant").release();
        }));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    connection.release();
    for task in waiting {
        task.await.expect("no panic");
    }
    assert_eq!(*order.lock().expect("no panic"), [1, 2]);
}

#[tokio::test(start_paused = true)]
async fn a_dropped_connection_releases_its_permit() {
    let pool = open(1);
    let connection = pool
        .acquire(&account("x"), 1, admission())
        .await
        .expect("room");
    drop(connection);
    assert_eq!(pool.permits_in_use(), 0);
    assert!(pool.acquire(&account("y"), 1, admission()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_request_holds_no_permit() {
    let pool = open(1);
    let connection = pool
        .acquire(&account("x"), 1, admission())
        .await
        .expect("room");
    assert!(pool.acquire(&account("y"), 1, admission()).await.is_err());
    connection.release();
    assert!(pool.acquire(&account("z"), 1, admission()).await.is_ok());
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(pool.permits_in_use(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_closed_pool_grants_no_connection() {
    let pool = open(2);
    pool.close();
    assert!(pool.acquire(&account("x"), 1, admission()).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_request_queues_for_its_account_rather_than_evict_another_accounts_connection() {
    let pool = open(2);
    let own = pool
        .acquire(&account("x"), 1, admission())
        .await
        .expect("room");
    let other = pool
        .acquire(&account("y"), 1, admission())
        .await
        .expect("room");
    other.release();
    let waiting = tokio::spawn({
        let pool = Arc::clone(&pool);
        async move { pool.acquire(&account("x"), 1, admission()).await.is_ok() }
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    own.release();
    assert!(waiting.await.expect("no panic"));
    assert!(pool.has_idle("y"), "the other connection is still there");
    let first = pool
        .acquire(&account("x"), 1, admission())
        .await
        .expect("idle");
    let second = pool.acquire(&account("z"), 1, admission()).await;
    assert!(second.is_ok(), "an account without connections gets one");
    drop(first);
}

#[tokio::test(start_paused = true)]
async fn fewer_statements_run_than_connections_are_open() {
    let pool = open(4);
    let mut connections = Vec::new();
    for name in ["w", "x", "y", "z"] {
        connections.push(
            pool.acquire(&account(name), 1, admission())
                .await
                .expect("room"),
        );
    }
    while let Some(connection) = connections.pop() {
        connection.release();
    }
    pool.set_limits(4, 1);
    let running = pool
        .acquire(&account("w"), 1, admission())
        .await
        .expect("a grant");
    assert!(pool.acquire(&account("x"), 1, admission()).await.is_err());
    running.release();
    assert!(pool.acquire(&account("x"), 1, admission()).await.is_ok());
    assert_eq!(pool.permits_in_use(), 3, "the dropped connection is closed");
}

#[tokio::test(start_paused = true)]
async fn a_connection_switches_accounts_after_the_maximum_reuse_streak() {
    let pool = open(1);
    let connection = pool
        .acquire(&account("x"), 1, admission())
        .await
        .expect("room");
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut waiting = Vec::new();
    for name in ["y"].into_iter().chain(["x"; 12]) {
        let (pool, order) = (Arc::clone(&pool), Arc::clone(&order));
        waiting.push(tokio::spawn(async move {
            let connection = pool.acquire(&account(name), 1, admission()).await;
            order.lock().expect("no panic").push(name);
            connection.expect("a grant").release();
        }));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    connection.release();
    for task in waiting {
        task.await.expect("no panic");
    }
    let order = order.lock().expect("no panic").clone();
    let index = order.iter().position(|name| *name == "y");
    assert_eq!(index, Some(8), "{order:?}");
}

#[tokio::test(start_paused = true)]
async fn a_request_does_not_join_a_queue_that_is_too_old() {
    let pool = open(1);
    let _connection = pool
        .acquire(&account("x"), 1, admission())
        .await
        .expect("room");
    let waiting = tokio::spawn({
        let pool = Arc::clone(&pool);
        async move { pool.acquire(&account("x"), 1, admission()).await.is_ok() }
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let strict = Admission {
        max_queue_age: Span::from_millis(30),
        ..admission()
    };
    let begun = Instant::now();
    let refused = pool.acquire(&account("x"), 1, strict).await;
    assert!(matches!(refused, Err(relay::Error::Overloaded { .. })));
    assert_eq!(begun.elapsed(), Duration::ZERO, "it is refused at once");
    let urgent = pool.acquire(&account("x"), 0, strict).await;
    assert!(urgent.is_err());
    let waited = begun.elapsed();
    assert!(
        waited > Duration::ZERO,
        "no request of its priority was queued before it"
    );
    assert!(!waiting.await.expect("no panic"));
}

#[tokio::test(start_paused = true)]
async fn an_idle_transaction_lets_other_statements_run() {
    let pool = open(2);
    pool.set_limits(2, 1);
    let mut transaction = pool
        .acquire(&account("x"), 1, admission())
        .await
        .expect("room");
    assert!(pool.acquire(&account("y"), 1, admission()).await.is_err());
    transaction.set_idle();
    let other = pool.acquire(&account("y"), 1, admission()).await;
    assert!(other.is_ok(), "the transaction is idle");
    transaction.set_busy();
    drop(other);
    assert!(
        pool.acquire(&account("y"), 1, admission()).await.is_err(),
        "the transaction is active again"
    );
    transaction.release();
    assert!(pool.acquire(&account("y"), 1, admission()).await.is_ok());
}

/// Guards against a retry-after time that is the same for all refused callers.
#[tokio::test(start_paused = true)]
async fn refused_requests_return_one_after_another() {
    let pool = open(1);
    let _connection = pool
        .acquire(&account("x"), 1, admission())
        .await
        .expect("room");
    let waiting = tokio::spawn({
        let pool = Arc::clone(&pool);
        async move { pool.acquire(&account("x"), 1, admission()).await.is_ok() }
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let strict = Admission {
        max_queue_age: Span::from_millis(30),
        ..admission()
    };
    let mut times = Vec::new();
    for _ in 0..10 {
        let refused = pool.acquire(&account("y"), 1, strict).await;
        let Err(relay::Error::Overloaded { retry_after, .. }) = refused else {
            panic!("the queue is too old");
        };
        times.push(retry_after);
    }
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    assert!(!waiting.await.expect("no panic"));
}

/// Guards against refusals that come only after the whole wait although they are certain at once,
/// and against refusing a quiet account because of another one's queue.
#[tokio::test(start_paused = true)]
async fn a_flood_is_refused_at_once_and_a_quiet_account_is_not() {
    let pool = open(1);
    for _ in 0..20 {
        let connection = pool.acquire(&account("x"), 1, admission()).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        connection.expect("room").release();
    }
    let connection = pool.acquire(&account("x"), 1, admission()).await;
    let connection = connection.expect("room");
    let begun = Instant::now();
    let mut flood = Vec::new();
    for _ in 0..20 {
        let pool = Arc::clone(&pool);
        flood.push(tokio::spawn(async move {
            let granted = pool.acquire(&account("x"), 1, admission()).await;
            let waited = begun.elapsed();
            if let Ok(connection) = &granted {
                assert_eq!(&*connection.account, "x");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            (granted.is_ok(), waited)
        }));
    }
    tokio::time::sleep(Duration::from_millis(1)).await;
    let quiet = tokio::spawn({
        let pool = Arc::clone(&pool);
        async move { pool.acquire(&account("q"), 1, admission()).await.is_ok() }
    });
    tokio::time::sleep(Duration::from_millis(19)).await;
    connection.release();
    assert!(
        quiet.await.expect("no panic"),
        "the quiet account is served"
    );
    for task in flood {
        let (is_granted, waited) = task.await.expect("no panic");
        assert!(
            is_granted || waited <= Duration::from_millis(1),
            "refused after {waited:?}"
        );
    }
}

/// Guards the placement of reads against a record that probes, commits or the preparation of a
/// session make look better or worse than the statements are.
#[tokio::test(start_paused = true)]
async fn replies_and_failures_of_statements_are_recorded() {
    let group = Group::open();
    let health: Arc<Mutex<Health>> = Arc::default();
    let pool = open_with(2, Arc::clone(&group), Arc::clone(&health));
    let summary = || {
        let now = System::open().now();
        health.lock().expect("no panic").record.summary(now)
    };
    let deadline = Instant::now() + Duration::from_secs(10);
    let read = Request {
        id: Some(Arc::from("1")),
        floor: None,
        statement: Statement::Read {
            item: Arc::from("x"),
        },
    };
    let mut connection = pool
        .acquire(&account("x"), 1, admission())
        .await
        .expect("room");
    let probe = Request::internal(Statement::Rollback);
    connection
        .exchange(&[probe], deadline)
        .await
        .expect("a reply");
    let written = Request {
        id: Some(Arc::from("2")),
        floor: None,
        statement: Statement::Write {
            arguments: Arc::from("x 1"),
        },
    };
    connection.commit(written, deadline).await.expect("a reply");
    assert!(summary().replies < 0.1, "{:?}", summary());
    connection
        .exchange(std::slice::from_ref(&read), deadline)
        .await
        .expect("a reply");
    assert!(summary().replies > 0.9, "{:?}", summary());
    assert!(summary().failure_rate < 0.1, "{:?}", summary());
    group.crash("a");
    assert!(connection.exchange(&[read], deadline).await.is_err());
    assert!(summary().failure_rate > 0.3, "{:?}", summary());
}
