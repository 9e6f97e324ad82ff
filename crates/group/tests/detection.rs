//! When a primary counts as dead, and who may order a promotion.

mod rig;

use clock::Span;
use endpoint::Role;
use endpoint::Status;
use group::Failure;
use rig::HEALTHY;
use rig::Rig;
use rig::at;
use rig::commit_of_all;
use rig::ms;
use rig::recorded;
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
    let mut rig = Rig::open();
    rig.servers = HEALTHY[1..].into();
    assert!(commit_of_all(&rig.run(ms(1_000))).is_none());
    rig.vote(1, answers);
    let row = commit_of_all(&rig.run(ms(100)));
    assert_eq!(row.is_some(), ordered);
    assert!(row.is_none_or(|row| row.term == 2 && row.candidate.is_none()));
}

#[test_case(true, &HEALTHY[2..], "no-majority-of-servers"; "cut off from the servers")]
#[test_case(false, &HEALTHY[1..], ""; "cut off from the table")]
fn a_cut_off_instance_orders_nothing(table: bool, servers: &[rig::Answer], reason: &str) {
    let mut rig = Rig::open();
    rig.servers = servers.into();
    if !table {
        rig.table = None;
    }
    rig.run(ms(1_000));
    rig.vote(1, &[("i2", DEAD), ("i3", DEAD)]);
    let mut rig_actions = rig.run(ms(200));
    rig.vote(1, &[("i2", DEAD), ("i3", DEAD)]);
    rig_actions.extend(rig.run(ms(200)));
    assert!(commit_of_all(&rig_actions).is_none());
    if servers.len() == 1 {
        assert_eq!(rig.view.is_primary_alive(rig.now), None, "{reason}");
    }
}

#[test]
fn an_instance_that_sees_no_majority_says_why_it_does_not_promote() {
    let mut rig = Rig::open();
    rig.servers = HEALTHY[2..].into();
    let actions = rig.run(ms(1_000));
    assert!(recorded(
        &actions,
        "no-promotion",
        Some("no-majority-of-servers")
    ));
}

#[test_case(ms(500); "half a second")]
#[test_case(ms(640); "just below the silence")]
#[test_case(ms(1_500); "slower by and by")]
fn a_slow_primary_stays(latency: Span) {
    let mut rig = Rig::open();
    rig.servers = HEALTHY[1..].into();
    let received = at(1, 10);
    let status = Status {
        role: Role::Primary,
        received,
        applied: received,
    };
    let mut step = ms(400);
    for _ in 0..6 {
        let started = rig.now;
        let actions = rig.run(step);
        assert!(commit_of_all(&actions).is_none());
        rig.view.on_status(rig.now, started, "e0", status);
        assert_eq!(rig.view.is_primary_alive(rig.now), Some(true));
        step = latency.min(step + ms(200));
    }
    let started = rig.now;
    rig.run(latency);
    assert_eq!(
        rig.view.is_primary_alive(rig.now),
        Some(true),
        "its answer is on its way"
    );
    rig.view.on_status(rig.now, started, "e0", status);
}

#[test_case(true, 450; "refused")]
#[test_case(false, 700; "silent")]
fn a_refusal_is_believed_sooner_than_silence(refused: bool, suspected_after: u64) {
    let mut rig = Rig::open();
    rig.servers = HEALTHY[1..].into();
    let failure = if refused {
        Failure::Refused
    } else {
        Failure::Silent
    };
    rig.view.on_status_failed(rig.now, "e0", failure);
    rig.run(ms(suspected_after - 60));
    assert_eq!(rig.view.is_primary_alive(rig.now), Some(true));
    rig.run(ms(60));
    assert_eq!(rig.view.is_primary_alive(rig.now), Some(false));
}

#[test]
fn a_paused_instance_does_not_take_its_own_silence_for_the_primarys() {
    let mut rig = Rig::open();
    rig.run(ms(100));
    rig.now = rig.now + ms(5_000);
    rig.view.tick(rig.now);
    rig.vote(1, &[("i2", DEAD), ("i3", DEAD)]);
    rig.servers = HEALTHY[1..].into();
    let actions = rig.run(ms(300));
    assert!(commit_of_all(&actions).is_none());
    assert_eq!(rig.view.is_primary_alive(rig.now), None);
}

#[test]
fn instances_order_one_after_the_other() {
    let mut rig = Rig::open_as("i3");
    rig.servers = HEALTHY[1..].into();
    rig.run(ms(1_000));
    rig.vote(1, &[("i1", DEAD), ("i2", DEAD)]);
    assert!(
        commit_of_all(&rig.run(ms(70))).is_none(),
        "two instances go first"
    );
    rig.vote(1, &[("i1", DEAD), ("i2", DEAD)]);
    assert!(commit_of_all(&rig.run(ms(30))).is_some());
}
