//! Tests of sessions through a whole instance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use relay::message::Access;
use relay::message::Code;
use relay::message::Definition;
use relay::message::State;
use relay::message::Statement;
use test_case::test_case;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::KEY;
use crate::world::World;
use crate::world::revision;

#[tokio::test(start_paused = true)]
async fn a_write_is_read_back_on_every_kind_of_route() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut orders = instance.connect("orders").await;
    let mut status = instance.connect("status").await;
    orders.write("x", "1").await.expect("a write");
    assert_eq!(orders.read("x").await.as_deref(), Ok("1"));
    status.write("y", "2").await.expect("a write");
    assert_eq!(status.read("y").await.as_deref(), Ok("2"));
    assert_eq!(world.group.writes("x"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_session_reads_its_writes_although_replicas_lag() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("status").await;
    world.group.set_lagging("b", true);
    world.group.set_lagging("c", true);
    for round in 0..10 {
        let data = round.to_string();
        client.write("x", &data).await.expect("a write");
        assert_eq!(client.read("x").await, Ok(data));
    }
}

/// Without the position of its own commit a session would read at a replica that lacks it.
#[test_case(false; "single write")]
#[test_case(true; "transaction")]
#[tokio::test(start_paused = true)]
async fn a_commit_that_is_confirmed_without_a_position_is_in_doubt(is_transaction: bool) {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("status").await;
    let reply = if is_transaction {
        client
            .run(Statement::Begin {
                is_read_only: false,
            })
            .await;
        client.write("x", "1").await.expect("a write");
        world.group.omit_position();
        client.run(Statement::Commit).await
    } else {
        world.group.omit_position();
        let arguments = Arc::from("x 1");
        client.run(Statement::Write { arguments }).await
    };
    assert_eq!(reply.code(), Some(Code::InDoubt), "{reply:?}");
}

#[tokio::test(start_paused = true)]
async fn a_bounded_read_is_never_older_than_its_bound() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut orders = instance.connect("orders").await;
    let mut gallery = instance.connect("gallery").await;
    world.group.set_lagging("b", true);
    world.group.set_lagging("c", true);
    orders.write("x", "new").await.expect("a write");
    sleep(Duration::from_millis(1_600)).await;
    assert_eq!(gallery.read("x").await.as_deref(), Ok("new"));
}

#[tokio::test(start_paused = true)]
async fn bounded_reads_go_to_replicas() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut gallery = instance.connect("gallery").await;
    for _ in 0..10 {
        gallery.read("x").await.expect("a read");
    }
    let runs = world.group.runs();
    let at_replicas = runs.iter().filter(|run| &*run.server != "a").count();
    assert!(
        at_replicas >= 9,
        "{at_replicas} of 10 reads went to replicas"
    );
}

#[tokio::test(start_paused = true)]
async fn values_and_prepared_statements_follow_the_session() {
    let world = World::open();
    let instance = world.start("i1").await;
    let definition = |text: &str| Definition {
        access: Access::Read,
        text: Arc::from(text),
    };
    let mut clients = Vec::new();
    for index in 0..6 {
        let mut client = instance.connect("gallery").await;
        client.set("lang", &format!("l{index}")).await;
        let prepare = Statement::Prepare {
            name: Arc::from("s"),
            definition: definition(&format!("q{index}")),
        };
        assert!(client.run(prepare).await.outcome.is_ok());
        clients.push(client);
    }
    for _ in 0..5 {
        for (index, client) in clients.iter_mut().enumerate() {
            let execute = Statement::Execute {
                name: Arc::from("s"),
                arguments: Arc::from("x"),
            };
            assert!(client.run(execute).await.outcome.is_ok());
            let run = world.group.runs().pop().expect("a run");
            let value: Arc<str> = Arc::from(format!("l{index}"));
            let values = BTreeMap::from([(Arc::from("lang"), value)]);
            assert_eq!(run.values, values);
            assert_eq!(run.definition, Some(definition(&format!("q{index}"))));
        }
    }
    let mut plain = instance.connect("gallery").await;
    plain.read("x").await.expect("a read");
    let run = world.group.runs().pop().expect("a run");
    assert!(run.values.is_empty(), "no value of another session is left");
}

#[tokio::test(start_paused = true)]
async fn a_transaction_keeps_only_what_it_commits() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    let begin = || Statement::Begin {
        is_read_only: false,
    };
    let begun = client.run(begin()).await;
    assert_eq!(begun.state, State::Open);
    client.write("x", "1").await.expect("a write");
    let committed = client.run(Statement::Commit).await;
    assert_eq!(committed.state, State::Idle);
    assert!(
        committed.outcome.expect("a commit").is_some(),
        "it is signed"
    );
    client.run(begin()).await;
    client.write("x", "2").await.expect("a write");
    let rolled_back = client.run(Statement::Rollback).await;
    assert_eq!(rolled_back.state, State::Idle);
    assert_eq!(client.read("x").await.as_deref(), Ok("1"));
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_disconnects_in_a_transaction_commits_nothing() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client
        .run(Statement::Begin {
            is_read_only: false,
        })
        .await;
    client.write("x", "1").await.expect("a write");
    drop(client);
    sleep(Duration::from_millis(100)).await;
    let mut other = instance.connect("orders").await;
    other
        .write("y", "1")
        .await
        .expect("the connection is clean");
    assert_eq!(other.read("x").await.as_deref(), Ok("none"));
}

#[tokio::test(start_paused = true)]
async fn an_idle_transaction_is_aborted_and_the_caller_is_told() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client
        .run(Statement::Begin {
            is_read_only: false,
        })
        .await;
    client.write("x", "1").await.expect("a write");
    sleep(Duration::from_secs(4)).await;
    let failure = client.write("x", "2").await.expect_err("it was ended");
    assert_eq!(failure.code, Code::Malformed);
    let rolled_back = client.run(Statement::Rollback).await;
    assert_eq!(rolled_back.state, State::Idle);
    assert_eq!(client.read("x").await.as_deref(), Ok("none"));
}

#[tokio::test(start_paused = true)]
async fn an_unanswered_write_is_in_doubt_and_sent_once() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    world.group.lose_answer();
    let failure = client.write("x", "1").await.expect_err("no answer");
    assert_eq!(failure.code, Code::InDoubt);
    assert_eq!(world.group.writes("x"), 1);
}

#[tokio::test(start_paused = true)]
async fn unknown_databases_and_keys_are_refused() {
    let world = World::open();
    let instance = world.start("i1").await;
    let refused = instance.connect_as("nowhere", KEY).await;
    assert_eq!(
        refused.err().map(|failure| failure.code),
        Some(Code::UnknownDatabase)
    );
    let refused = instance.connect_as("orders", "stolen").await;
    assert_eq!(
        refused.err().map(|failure| failure.code),
        Some(Code::NoAccess)
    );
}

#[tokio::test(start_paused = true)]
async fn a_withdrawn_key_stops_a_connected_caller() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    let mut other = instance
        .connect_as("orders", "k2")
        .await
        .expect("the key is in force");
    let mut next = revision(2);
    next.accounts
        .get_mut("shop")
        .expect("an account")
        .keys
        .clear();
    world.set_revision(next);
    sleep(Duration::from_millis(100)).await;
    let failure = client.write("x", "1").await.expect_err("withdrawn");
    assert_eq!(failure.code, Code::NoAccess);
    assert!(client.is_closed().await);
    other.write("y", "1").await.expect("its key is in force");
    assert_eq!(world.group.writes("x"), 0);
}

#[tokio::test(start_paused = true)]
async fn keys_are_not_trusted_longer_than_the_grace_without_the_store() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    world.directives.set_down(true);
    sleep(Duration::from_millis(500)).await;
    client.write("x", "1").await.expect("within the grace");
    sleep(Duration::from_millis(200)).await;
    let mut rounds = 0;
    let failure = loop {
        rounds += 1;
        assert!(
            rounds < 100,
            "writes are still accepted during the store outage"
        );
        match client.write("x", "2").await {
            Ok(()) => sleep(Duration::from_millis(50)).await,
            Err(failure) => break failure,
        }
    };
    assert_eq!(failure.code, Code::Busy);
    assert!(failure.text.contains("not run"), "{}", failure.text);
    assert!(failure.text.contains("retry-after-ms"), "{}", failure.text);
    let writes = world.group.writes("x");
    world.directives.set_down(false);
    sleep(Duration::from_millis(500)).await;
    let mut client = instance.connect("orders").await;
    client.write("x", "3").await.expect("the store is back");
    assert_eq!(world.group.writes("x"), writes + 1);
}

/// Load pattern: the store turns one instance of four away for ten seconds and serves the others. Guards
/// against keys that lapse there, and against calls that go on as fast as they are refused.
#[tokio::test(start_paused = true)]
async fn an_instance_that_the_store_turns_away_is_confirmed_by_others() {
    const OUTAGE: Duration = Duration::from_secs(10);
    let world = World::open();
    world.directives.keep_history();
    let others = ["i1", "i2", "i3"].map(|name| world.spawn(name));
    let (instance, gate) = world.start_gated("i4").await;
    // Long enough for all to know each other.
    sleep(Duration::from_secs(10)).await;
    let mut client = instance.connect("orders").await;
    gate.close();
    let begun = Instant::now();
    while begun.elapsed() < OUTAGE {
        client.write("x", "1").await.expect("the key is in force");
        sleep(Duration::from_millis(100)).await;
    }
    assert!(gate.refused() <= 20, "{} calls", gate.refused());
    drop(others);
}

#[tokio::test(start_paused = true)]
async fn statements_of_two_accounts_never_share_a_connection() {
    let world = World::open();
    let instance = world.start("i1").await;
    for round in 0..10 {
        let (key, account) = if round % 2 == 0 {
            (KEY, "shop")
        } else {
            ("k2", "club")
        };
        let mut client = instance.connect_as("orders", key).await.expect("a key");
        client.write("x", "1").await.expect("a write");
        let run = world.group.runs().pop().expect("a run");
        assert_eq!(&*run.account, account);
    }
}

#[tokio::test(start_paused = true)]
async fn a_rate_is_kept_and_the_refusal_says_when_to_come_back() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut next = revision(2);
    let shop = next.accounts.get_mut("shop").expect("an account");
    shop.limit = account::rate::Limit {
        rate: 10,
        burst: 10,
    };
    world.set_revision(next);
    sleep(Duration::from_millis(100)).await;
    let mut client = instance.connect("orders").await;
    let before = world.group.runs().len();
    let begun = tokio::time::Instant::now();
    let mut refused = 0;
    for _ in 0..100 {
        if let Err(failure) = client.read("x").await {
            assert_eq!(failure.code, Code::Busy);
            assert!(failure.text.contains("retry-after-ms"), "{}", failure.text);
            refused += 1;
        }
        sleep(Duration::from_millis(10)).await;
    }
    let ran = world.group.runs().len() - before;
    assert_eq!(ran + refused, 100);
    let seconds = begun.elapsed().as_secs_f64();
    let most = 10.0 + 10.0 * seconds;
    // CAST: both are small.
    assert!(ran as f64 <= most, "{ran} of 100 ran in {seconds} s");
    assert!(ran >= 10, "{ran} of 100 ran");
}

#[tokio::test(start_paused = true)]
async fn entries_are_followed_again_at_once_when_the_store_is_back() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    world.servers.set_down(true);
    sleep(Duration::from_millis(1_000)).await;
    world.servers.set_down(false);
    sleep(Duration::from_millis(300)).await;
    world.set_entry("a", 1, true);
    sleep(Duration::from_millis(1_500)).await;
    assert_ne!(
        world.group.leader().as_deref(),
        Some("a"),
        "its entry says that it drains, and the instance has read it"
    );
}

#[tokio::test(start_paused = true)]
async fn an_idle_transaction_returns_its_connection_after_the_timeout() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut clients = Vec::new();
    for _ in 0..40 {
        let mut client = instance.connect("orders").await;
        client
            .run(Statement::Begin {
                is_read_only: false,
            })
            .await;
        // With more transactions than connections, the later ones can't begin at the server.
        client.write("x", "1").await.ok();
        clients.push(client);
    }
    sleep(Duration::from_secs(4)).await;
    let mut other = instance.connect("orders").await;
    other
        .write("y", "1")
        .await
        .expect("the connections are back");
}

#[tokio::test(start_paused = true)]
async fn without_a_key_grace_the_last_known_keys_stay_valid() {
    let world = World::open();
    let instance = world.start_lenient("i1").await;
    let mut client = instance.connect("orders").await;
    world.directives.set_down(true);
    let mut writes = 0;
    for _ in 0..100 {
        sleep(Duration::from_millis(100)).await;
        client
            .write("x", "1")
            .await
            .expect("the key is the last known");
        writes += 1;
    }
    assert_eq!(world.group.writes("x"), writes);
}

#[tokio::test(start_paused = true)]
async fn a_read_at_a_primary_deposed_meanwhile_is_not_answered_from_it() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "old").await.expect("a write");
    let before = world.group.runs().len();
    world.group.depose_after_next("b", "x", "new");
    assert_eq!(client.read("x").await.as_deref(), Ok("new"));
    let runs = world.group.runs().split_off(before);
    let servers: Vec<&str> = runs.iter().map(|run| &*run.server).collect();
    assert_eq!(servers, ["a", "b"], "it first ran at the former primary");
}

#[tokio::test(start_paused = true)]
async fn a_transaction_at_a_primary_deposed_meanwhile_commits_nothing() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "old").await.expect("a write");
    client
        .run(Statement::Begin {
            is_read_only: false,
        })
        .await;
    world.group.depose_after_next("b", "x", "new");
    client.write("x", "own").await.expect("a write");
    let committed = client.run(Statement::Commit).await;
    let failure = committed.outcome.expect_err("the primary was replaced");
    assert!(
        matches!(failure.code, Code::ReadOnly | Code::Aborted),
        "{failure:?}"
    );
    assert_eq!(client.read("x").await.as_deref(), Ok("new"));
}

#[tokio::test(start_paused = true)]
async fn a_connection_whose_values_were_set_in_part_serves_nobody() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.set("tz", "utc").await;
    client.set("lang", "am").await;
    world.group.refuse_set_after(1);
    client.read("x").await.expect("a read");
    let run = world.group.runs().pop().expect("a run");
    let names: Vec<&str> = run.values.keys().map(|name| &**name).collect();
    assert_eq!(names, ["lang", "tz"], "both values were set");
    let mut other = instance.connect("orders").await;
    for _ in 0..4 {
        other.read("x").await.expect("a read");
        let run = world.group.runs().pop().expect("a run");
        assert!(run.values.is_empty(), "no value of another session is left");
    }
}

#[tokio::test(start_paused = true)]
async fn a_suspended_instance_trusts_nothing_until_the_store_has_answered() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    instance.suspend(Span::from_secs(8));
    let failure = client.write("x", "2").await.expect_err("its keys lapsed");
    assert_eq!(failure.code, Code::Busy);
    assert!(failure.text.contains("not run"), "{}", failure.text);
    assert_eq!(world.group.writes("x"), 1);
    sleep(Duration::from_secs(2)).await;
    // The instance closed its idle sessions meanwhile, since others may serve them.
    let mut client = instance.connect("orders").await;
    client
        .write("x", "3")
        .await
        .expect("the store has answered");
    assert_eq!(client.read("x").await.as_deref(), Ok("3"));
}

#[tokio::test(start_paused = true)]
async fn a_key_withdrawn_while_the_instance_was_suspended_runs_nothing() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    instance.suspend(Span::from_secs(8));
    let mut next = revision(2);
    let shop = next.accounts.get_mut("shop").expect("an account");
    shop.keys.clear();
    world.set_revision(next);
    let mut codes = Vec::new();
    for _ in 0..40 {
        let Some(reply) = client
            .try_run(Statement::Write {
                arguments: Arc::from("x 2"),
            })
            .await
        else {
            break;
        };
        codes.push(reply.code());
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(codes.last(), Some(&Some(Code::NoAccess)), "{codes:?}");
    assert_eq!(world.group.writes("x"), 1, "{codes:?}");
}

/// Guards against refusals that come after a wait, and against refused callers that return together.
#[tokio::test(start_paused = true)]
async fn an_account_over_its_rate_is_refused_at_once_and_its_callers_return_apart() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut next = revision(2);
    let shop = next.accounts.get_mut("shop").expect("an account");
    shop.limit = account::rate::Limit { rate: 4, burst: 4 };
    world.set_revision(next);
    sleep(Duration::from_millis(100)).await;
    let mut client = instance.connect("orders").await;
    let mut times = Vec::new();
    for _ in 0..40 {
        let begun = tokio::time::Instant::now();
        let Err(failure) = client.read("x").await else {
            continue;
        };
        // A quarter of the route's target of 200 ms.
        assert!(begun.elapsed() <= Duration::from_millis(50));
        let (_, after) = failure
            .text
            .split_once("retry-after-ms=")
            .expect("it says when to return");
        times.push(after.parse::<u64>().expect("milliseconds"));
    }
    assert!(times.len() >= 20, "{times:?}");
    // Four requests a second are granted, so the last of 20 has several seconds to wait.
    assert!(times.last() >= Some(&3_000), "{times:?}");
}
