//! When a primary is replaced, when a server counts as gone, and when callers are turned away.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;
use relay::failover::Reason;
use relay::failover::Sight;
use relay::failover::Suspicion;
use relay::group::Vitals;
use relay::node::Readiness;
use relay::task::Absences;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn healthy(now: u64) -> Sight {
    Sight {
        is_known: true,
        proven: at(now),
        heard: at(now),
        ..Sight::default()
    }
}

#[test]
fn a_leader_that_proves_itself_is_left_alone() {
    let mut suspicion = Suspicion::default();
    for now in (0..10_000).step_by(100) {
        assert_eq!(suspicion.step(at(now), &healthy(now)), None);
    }
}

#[test]
fn a_leader_that_answers_something_is_not_taken_for_dead() {
    let mut suspicion = Suspicion::default();
    let sight = Sight {
        heard: at(5_000),
        ..healthy(1_000)
    };
    assert_eq!(suspicion.step(at(5_100), &sight), None);
    assert_eq!(suspicion.step(at(5_600), &sight), Some(Reason::Silent));
}

#[test]
fn a_leader_that_leaves_or_is_stuck_is_replaced_at_once() {
    let mut suspicion = Suspicion::default();
    let leaving = Sight {
        is_leaving: true,
        ..healthy(100)
    };
    assert_eq!(suspicion.step(at(100), &leaving), Some(Reason::Leaving));
    let stuck = Sight {
        is_stuck: true,
        ..healthy(100)
    };
    assert_eq!(suspicion.step(at(100), &stuck), Some(Reason::Stuck));
}

#[test]
fn a_group_without_leader_gets_one_only_after_a_while() {
    let mut suspicion = Suspicion::default();
    assert_eq!(suspicion.step(at(0), &Sight::default()), None);
    assert_eq!(suspicion.step(at(1_000), &Sight::default()), None);
    let later = suspicion.step(at(2_000), &Sight::default());
    assert_eq!(later, Some(Reason::Missing));
}

#[test]
fn after_a_try_there_is_a_pause() {
    let mut suspicion = Suspicion::default();
    let leaving = Sight {
        is_leaving: true,
        ..healthy(100)
    };
    suspicion.on_tried(at(100));
    assert_eq!(suspicion.step(at(300), &leaving), None);
    assert_eq!(suspicion.step(at(700), &leaving), Some(Reason::Leaving));
}

#[test]
fn a_server_that_said_it_leaves_is_gone_with_its_entry_and_another_serves_on() {
    let mut absences = Absences::default();
    let (planned, sudden): (Arc<str>, Arc<str>) = (Arc::from("p"), Arc::from("s"));
    absences.on_missing(at(0), &planned, true);
    absences.on_missing(at(0), &sudden, false);
    assert_eq!(absences.expire(at(1)), [Arc::clone(&planned)]);
    assert!(absences.expire(at(3_900)).is_empty());
    assert_eq!(absences.expire(at(4_000)), [Arc::clone(&sudden)]);
}

#[test]
fn an_entry_that_lapsed_in_an_outage_has_time_to_come_back() {
    let mut absences = Absences::default();
    let name: Arc<str> = Arc::from("p");
    absences.on_return(at(1_000));
    absences.on_missing(at(1_000), &name, true);
    assert!(absences.expire(at(3_000)).is_empty());
    absences.on_present("p");
    assert!(absences.expire(at(9_000)).is_empty(), "it is back");
}

#[test]
fn callers_are_turned_away_while_the_store_is_out_of_reach() {
    let mut readiness = Readiness::default();
    assert!(!readiness.is_ready(), "nothing is known at the start");
    readiness.on_confirmed(at(0));
    readiness.step(at(100));
    assert!(readiness.is_ready());
    readiness.step(at(3_600));
    assert!(!readiness.is_ready());
    assert!(readiness.is_lost());
    readiness.on_confirmed(at(3_700));
    assert!(readiness.step(at(3_800)));
    assert!(readiness.is_ready());
}

#[test]
fn a_replica_behind_a_floor_is_passed_over_until_it_has_caught_up() {
    let floor = Position { term: 1, offset: 9 };
    let mut vitals = Vitals::default();
    assert!(vitals.suits(at(0), floor), "nothing is known yet");
    vitals.on_behind(at(0));
    assert!(!vitals.suits(at(50), floor));
    assert!(vitals.suits(at(200), floor), "it is tried again");
    vitals.on_behind(at(200));
    vitals.on_reply(at(210), Some(floor));
    assert!(vitals.suits(at(211), floor));
}

#[test]
fn a_server_that_fails_is_passed_over_for_longer_each_time() {
    let floor = Position::default();
    let mut vitals = Vitals::default();
    vitals.on_failure(at(0));
    assert!(vitals.suits(at(200), floor));
    vitals.on_failure(at(200));
    assert!(!vitals.suits(at(500), floor));
    assert!(vitals.suits(at(600), floor));
    vitals.on_reply(at(600), None);
    vitals.on_failure(at(700));
    assert!(vitals.suits(at(900), floor), "an answer starts it anew");
}

#[test]
fn silence_counts_from_the_oldest_question_without_answer() {
    let span = Span::from_millis(300);
    let mut vitals = Vitals::default();
    let ticket = vitals.on_sent(at(1_000));
    assert!(!vitals.is_silent(at(1_200), span));
    assert!(vitals.is_silent(at(1_300), span));
    vitals.on_reply(at(1_250), None);
    assert!(!vitals.is_silent(at(1_300), span), "it answers others");
    vitals.on_end(ticket);
    assert!(!vitals.is_silent(at(9_000), span));
}

#[test]
fn commits_are_stuck_if_one_waits_and_none_ended_since() {
    let mut vitals = Vitals::default();
    let first = vitals.on_commit_sent(at(0));
    let second = vitals.on_commit_sent(at(100));
    vitals.on_commit_end(at(500), second, true);
    assert!(!vitals.is_stuck(at(2_000)), "another one ended since");
    vitals.on_commit_end(at(2_000), first, false);
    let _third = vitals.on_commit_sent(at(3_000));
    assert!(!vitals.is_stuck(at(3_800)));
    assert!(vitals.is_stuck(at(3_900)));
}
