//! Tests of failure detection and of the conditions for ordering a promotion.

mod harness;

use clock::Span;
use endpoint::Role;
use endpoint::Status;
use group::Failure;
use harness::HEALTHY;
use harness::Harness;
use harness::at;
use harness::commit_of_all;
use harness::ms;
use harness::recorded;
use test_case::test_case;

const DEAD: Option<bool> = Some(false);
const ALIVE: Option<bool> = Some(true);

#[test_case(&[("i2", DEAD), ("i3", DEAD)], true; "all peers agree")]
#[test_case(&[("i2", DEAD), ("i3", None)], true; "one agrees and one cannot tell")]
#[test_case(&[("i2", DEAD), ("i3", ALIVE)], true; "two against one")]
#[test_case(&[("i2", ALIVE), ("i3", ALIVE)], false; "the peers see it alive")]
#[test_case(&[("i2", None), ("i3", None)], false; "no peer can tell")]
#[test_case(&[], false; "no peer answers")]
fn a_promotion_needs_a_majority_of_the_answers(answers: &[(&str, Option<bool>)], ordered: bool) {
    let mut harness = Harness::open();
    harness.servers = HEALTHY[1..].into();
    assert!(commit_of_all(&harness.run(ms(1_000))).is_none());
    harness.vote(1, answers);
    let row = commit_of_all(&harness.run(ms(100)));
    assert_eq!(row.is_some(), ordered);
    assert!(row.is_none_or(|row| row.term == 2 && row.candidate.is_none()));
}

#[test_case(true, &HEALTHY[2..], "no-majority-of-servers"; "partitioned from the servers")]
#[test_case(false, &HEALTHY[1..], ""; "partitioned from the table")]
fn a_partitioned_instance_orders_no_promotion(
    table: bool,
    servers: &[harness::Answer],
    reason: &str,
) {
    let mut harness = Harness::open();
    harness.servers = servers.into();
    if !table {
        harness.table = None;
    }
    harness.run(ms(1_000));
    harness.vote(1, &[("i2", DEAD), ("i3", DEAD)]);
    let mut actions = harness.run(ms(200));
    harness.vote(1, &[("i2", DEAD), ("i3", DEAD)]);
    actions.extend(harness.run(ms(200)));
    assert!(commit_of_all(&actions).is_none());
    if servers.len() == 1 {
        assert_eq!(harness.view.is_primary_alive(harness.now), None, "{reason}");
    }
}

#[test]
fn an_instance_without_a_majority_of_the_servers_records_why_it_does_not_promote() {
    let mut harness = Harness::open();
    harness.servers = HEALTHY[2..].into();
    let actions = harness.run(ms(1_000));
    assert!(recorded(
        &actions,
        "no-promotion",
        Some("no-majority-of-servers")
    ));
}

#[test_case(ms(500); "half a second")]
#[test_case(ms(640); "just below the silence")]
#[test_case(ms(1_500); "gradually slower")]
fn a_slow_primary_is_kept(latency: Span) {
    let mut harness = Harness::open();
    harness.servers = HEALTHY[1..].into();
    let received = at(1, 10);
    let status = Status {
        role: Role::Primary,
        received,
        applied: received,
    };
    let mut step = ms(400);
    for _ in 0..6 {
        let started = harness.now;
        let actions = harness.run(step);
        assert!(commit_of_all(&actions).is_none());
        harness.view.on_status(harness.now, started, "e0", status);
        assert_eq!(harness.view.is_primary_alive(harness.now), Some(true));
        step = latency.min(step + ms(200));
    }
    let started = harness.now;
    harness.run(latency);
    assert_eq!(
        harness.view.is_primary_alive(harness.now),
        Some(true),
        "its response is still in flight"
    );
    harness.view.on_status(harness.now, started, "e0", status);
}

#[test_case(true, 450; "refused")]
#[test_case(false, 700; "silent")]
fn a_refused_connection_is_suspected_sooner_than_silence(refused: bool, suspected_after: u64) {
    let mut harness = Harness::open();
    harness.servers = HEALTHY[1..].into();
    let failure = if refused {
        Failure::Refused
    } else {
        Failure::Silent
    };
    harness.view.on_status_failed(harness.now, "e0", failure);
    harness.run(ms(suspected_after - 60));
    assert_eq!(harness.view.is_primary_alive(harness.now), Some(true));
    harness.run(ms(60));
    assert_eq!(harness.view.is_primary_alive(harness.now), Some(false));
}

#[test]
fn a_paused_instance_does_not_count_its_own_pause_as_silence_of_the_primary() {
    let mut harness = Harness::open();
    harness.run(ms(100));
    harness.now = harness.now + ms(5_000);
    harness.view.tick(harness.now);
    harness.vote(1, &[("i2", DEAD), ("i3", DEAD)]);
    harness.servers = HEALTHY[1..].into();
    let actions = harness.run(ms(300));
    assert!(commit_of_all(&actions).is_none());
    assert_eq!(harness.view.is_primary_alive(harness.now), None);
}

#[test]
fn instances_are_staggered_by_rank() {
    let mut harness = Harness::open_as("i3");
    harness.servers = HEALTHY[1..].into();
    harness.run(ms(1_000));
    harness.vote(1, &[("i1", DEAD), ("i2", DEAD)]);
    assert!(
        commit_of_all(&harness.run(ms(70))).is_none(),
        "two instances have a lower rank"
    );
    harness.vote(1, &[("i1", DEAD), ("i2", DEAD)]);
    assert!(commit_of_all(&harness.run(ms(30))).is_some());
}
