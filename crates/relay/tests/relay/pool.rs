//! The connections of an instance to a server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use clock::Span;
use clock::System;
use relay::external::Target;
use relay::group::Vitals;
use relay::pool::Patience;
use relay::pool::Pool;
use tokio::time::Instant;

use crate::world::Group;
use crate::world::Links;

fn open(limit: usize) -> Arc<Pool> {
    let target = Target {
        group: Arc::from("huvo"),
        server: Arc::from("a"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        account: Arc::from(""),
    };
    let vitals: Arc<Mutex<Vitals>> = Arc::default();
    let connector = Arc::new(Links(Group::open()));
    let pool = Pool::open(target, connector, vitals, Arc::new(System::open()));
    pool.set_limits(limit, limit);
    pool
}

fn soon() -> Patience {
    Patience {
        wait: Span::from_millis(100),
        line: Span::from_millis(100),
        deadline: Instant::now() + Duration::from_secs(10),
    }
}

fn account(name: &str) -> Arc<str> {
    Arc::from(name)
}

#[tokio::test(start_paused = true)]
async fn a_connection_is_used_again_by_its_account_only() {
    let pool = open(4);
    let lane = pool.acquire(&account("x"), 1, soon()).await.expect("room");
    lane.release();
    assert!(pool.has_idle("x"));
    assert!(!pool.has_idle("y"));
    let _again = pool.acquire(&account("x"), 1, soon()).await.expect("idle");
    assert_eq!(pool.taken(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_of_another_account_makes_room() {
    let pool = open(1);
    let lane = pool.acquire(&account("x"), 1, soon()).await.expect("room");
    lane.release();
    let other = pool.acquire(&account("y"), 1, soon()).await;
    let other = other.expect("the idle one went");
    assert_eq!(&*other.account, "y");
    assert_eq!(pool.taken(), 1);
}

#[tokio::test(start_paused = true)]
async fn the_limit_holds_and_who_waits_too_long_is_refused() {
    let pool = open(1);
    let _lane = pool.acquire(&account("x"), 1, soon()).await.expect("room");
    assert!(pool.acquire(&account("x"), 1, soon()).await.is_err());
    assert_eq!(pool.taken(), 1);
}

#[tokio::test(start_paused = true)]
async fn the_more_urgent_of_two_waiting_requests_goes_first() {
    let pool = open(1);
    let lane = pool.acquire(&account("x"), 1, soon()).await.expect("room");
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut waiting = Vec::new();
    for priority in [2, 1] {
        let pool = Arc::clone(&pool);
        let order = Arc::clone(&order);
        waiting.push(tokio::spawn(async move {
            let lane = pool.acquire(&account("x"), priority, soon()).await;
            order.lock().expect("no panic").push(priority);
            lane.expect("a turn").release();
        }));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    lane.release();
    for task in waiting {
        task.await.expect("no panic");
    }
    assert_eq!(*order.lock().expect("no panic"), [1, 2]);
}

#[tokio::test(start_paused = true)]
async fn a_dropped_connection_frees_its_place() {
    let pool = open(1);
    let lane = pool.acquire(&account("x"), 1, soon()).await.expect("room");
    drop(lane);
    assert_eq!(pool.taken(), 0);
    assert!(pool.acquire(&account("y"), 1, soon()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_waiting_request_that_gave_up_does_not_keep_a_place() {
    let pool = open(1);
    let lane = pool.acquire(&account("x"), 1, soon()).await.expect("room");
    assert!(pool.acquire(&account("y"), 1, soon()).await.is_err());
    lane.release();
    assert!(pool.acquire(&account("z"), 1, soon()).await.is_ok());
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(pool.taken(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_closed_pool_gives_nothing() {
    let pool = open(2);
    pool.close();
    assert!(pool.acquire(&account("x"), 1, soon()).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_for_its_account_rather_than_close_anothers_connection() {
    let pool = open(2);
    let own = pool.acquire(&account("x"), 1, soon()).await.expect("room");
    let other = pool.acquire(&account("y"), 1, soon()).await.expect("room");
    other.release();
    let waiting = tokio::spawn({
        let pool = Arc::clone(&pool);
        async move { pool.acquire(&account("x"), 1, soon()).await.is_ok() }
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    own.release();
    assert!(waiting.await.expect("no panic"));
    assert!(pool.has_idle("y"), "the other connection is still there");
    let first = pool.acquire(&account("x"), 1, soon()).await.expect("idle");
    let second = pool.acquire(&account("z"), 1, soon()).await;
    assert!(second.is_ok(), "an account without connections gets one");
    drop(first);
}

#[tokio::test(start_paused = true)]
async fn fewer_statements_run_than_connections_are_open() {
    let pool = open(4);
    let mut lanes = Vec::new();
    for name in ["w", "x", "y", "z"] {
        lanes.push(pool.acquire(&account(name), 1, soon()).await.expect("room"));
    }
    while let Some(lane) = lanes.pop() {
        lane.release();
    }
    pool.set_limits(4, 1);
    let running = pool
        .acquire(&account("w"), 1, soon())
        .await
        .expect("a turn");
    assert!(pool.acquire(&account("x"), 1, soon()).await.is_err());
    running.release();
    assert!(pool.acquire(&account("x"), 1, soon()).await.is_ok());
    assert_eq!(pool.taken(), 3, "the dropped connection is closed");
}

#[tokio::test(start_paused = true)]
async fn a_connection_changes_accounts_once_others_were_passed_over_often_enough() {
    let pool = open(1);
    let lane = pool.acquire(&account("x"), 1, soon()).await.expect("room");
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut waiting = Vec::new();
    for name in ["y"].into_iter().chain(["x"; 12]) {
        let (pool, order) = (Arc::clone(&pool), Arc::clone(&order));
        waiting.push(tokio::spawn(async move {
            let lane = pool.acquire(&account(name), 1, soon()).await;
            order.lock().expect("no panic").push(name);
            lane.expect("a turn").release();
        }));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    lane.release();
    for task in waiting {
        task.await.expect("no panic");
    }
    let order = order.lock().expect("no panic").clone();
    let place = order.iter().position(|name| *name == "y");
    assert_eq!(place, Some(8), "{order:?}");
}

#[tokio::test(start_paused = true)]
async fn nobody_joins_a_line_that_is_too_long() {
    let pool = open(1);
    let _lane = pool.acquire(&account("x"), 1, soon()).await.expect("room");
    let waiting = tokio::spawn({
        let pool = Arc::clone(&pool);
        async move { pool.acquire(&account("x"), 1, soon()).await.is_ok() }
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let hasty = Patience {
        line: Span::from_millis(30),
        ..soon()
    };
    let begun = Instant::now();
    let refused = pool.acquire(&account("x"), 1, hasty).await;
    assert!(matches!(refused, Err(relay::Error::Overloaded { .. })));
    assert_eq!(begun.elapsed(), Duration::ZERO, "it is refused at once");
    let urgent = pool.acquire(&account("x"), 0, hasty).await;
    assert!(urgent.is_err());
    let waited = begun.elapsed();
    assert!(waited > Duration::ZERO, "nobody as urgent waited before it");
    assert!(!waiting.await.expect("no panic"));
}

#[tokio::test(start_paused = true)]
async fn a_resting_transaction_gives_its_turn_to_others() {
    let pool = open(2);
    pool.set_limits(2, 1);
    let mut transaction = pool.acquire(&account("x"), 1, soon()).await.expect("room");
    assert!(pool.acquire(&account("y"), 1, soon()).await.is_err());
    transaction.rest();
    let other = pool.acquire(&account("y"), 1, soon()).await;
    assert!(other.is_ok(), "the transaction rests");
    transaction.go_on();
    drop(other);
    assert!(
        pool.acquire(&account("y"), 1, soon()).await.is_err(),
        "it goes on"
    );
    transaction.release();
    assert!(pool.acquire(&account("y"), 1, soon()).await.is_ok());
}
