//! When a primary is replaced, when a server counts as gone, and when callers are refused.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;
use relay::failover::Detector;
use relay::failover::Observation;
use relay::failover::Reason;
use relay::group::Health;
use relay::node::Readiness;
use relay::task::Absences;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn healthy(now: u64) -> Observation {
    Observation {
        is_known: true,
        is_abandoned: false,
        proven_at: at(now),
        replied_at: at(now),
        ..Observation::default()
    }
}

#[test]
fn a_leader_that_proves_its_leadership_is_not_replaced() {
    let mut detector = Detector::default();
    for now in (0..10_000).step_by(100) {
        assert_eq!(detector.step(at(now), &healthy(now)), None);
    }
}

#[test]
fn a_leader_that_answers_any_request_is_not_suspected() {
    let mut detector = Detector::default();
    let observation = Observation {
        replied_at: at(5_000),
        ..healthy(1_000)
    };
    assert_eq!(detector.step(at(5_100), &observation), None);
    assert_eq!(detector.step(at(5_600), &observation), Some(Reason::Silent));
}

/// A planned replacement waits for the demotion, which a primary in a failed zone doesn't answer.
#[test]
fn a_silent_leader_in_an_evacuated_zone_is_replaced_as_silent() {
    let mut detector = Detector::default();
    let observation = Observation {
        is_evacuated: true,
        ..healthy(1_000)
    };
    assert_eq!(detector.step(at(5_000), &observation), Some(Reason::Silent));
}

#[test]
fn a_leader_that_leaves_or_is_stuck_is_replaced_immediately() {
    let mut detector = Detector::default();
    let leaving = Observation {
        is_leaving: true,
        ..healthy(100)
    };
    assert_eq!(detector.step(at(100), &leaving), Some(Reason::Leaving));
    let evacuated = Observation {
        is_evacuated: true,
        ..healthy(100)
    };
    assert_eq!(detector.step(at(100), &evacuated), Some(Reason::Evacuated));
    let stuck = Observation {
        is_stuck: true,
        ..healthy(100)
    };
    assert_eq!(detector.step(at(100), &stuck), Some(Reason::Stuck));
}

#[test]
fn a_missing_leader_is_replaced_after_a_timeout() {
    let mut detector = Detector::default();
    assert_eq!(detector.step(at(0), &Observation::default()), None);
    assert_eq!(detector.step(at(1_000), &Observation::default()), None);
    let later = detector.step(at(2_000), &Observation::default());
    assert_eq!(later, Some(Reason::Missing));
}

#[test]
fn attempts_are_spaced_by_a_backoff() {
    let mut detector = Detector::default();
    let leaving = Observation {
        is_leaving: true,
        ..healthy(100)
    };
    detector.on_attempt_ended(at(100));
    assert_eq!(detector.step(at(300), &leaving), None);
    assert_eq!(detector.step(at(700), &leaving), Some(Reason::Leaving));
}

#[test]
fn a_leaving_server_is_gone_with_its_entry_and_any_other_after_a_grace_period() {
    let mut absences = Absences::default();
    let (planned, sudden): (Arc<str>, Arc<str>) = (Arc::from("p"), Arc::from("s"));
    absences.on_missing(at(0), &planned, true);
    absences.on_missing(at(0), &sudden, false);
    assert_eq!(absences.expire(at(1)), [Arc::clone(&planned)]);
    assert!(absences.expire(at(3_900)).is_empty());
    assert_eq!(absences.expire(at(4_000)), [Arc::clone(&sudden)]);
}

#[test]
fn an_entry_that_expired_in_an_outage_may_return_within_a_grace_period() {
    let mut absences = Absences::default();
    let name: Arc<str> = Arc::from("p");
    absences.on_store_recovered(at(1_000));
    absences.on_missing(at(1_000), &name, true);
    assert!(absences.expire(at(3_000)).is_empty());
    absences.on_present("p");
    assert!(absences.expire(at(9_000)).is_empty(), "it is back");
}

#[test]
fn callers_are_refused_while_the_store_is_unreachable() {
    let mut readiness = Readiness::default();
    assert!(!readiness.is_ready(), "nothing is known at the start");
    readiness.on_confirmed(at(0));
    readiness.step(at(100), false);
    assert!(readiness.is_ready());
    readiness.step(at(3_600), false);
    assert!(!readiness.is_ready());
    assert!(readiness.is_lost());
    readiness.on_confirmed(at(3_700));
    assert!(readiness.step(at(3_800), false));
    assert!(readiness.is_ready());
}

#[test]
fn an_instance_that_receives_settings_stays_ready_only_while_keys_may_still_hold() {
    let mut readiness = Readiness::default();
    readiness.on_confirmed(at(0));
    readiness.step(at(100), false);
    assert!(!readiness.step(at(4_400), true));
    assert!(readiness.step(at(4_500), true));
    assert!(!readiness.is_ready());
}

#[test]
fn a_lagging_replica_is_skipped_until_it_has_caught_up() {
    let floor = Position { term: 1, offset: 9 };
    let mut health = Health::default();
    assert!(health.can_serve(at(0), floor), "nothing is known yet");
    health.on_lagging(at(0));
    assert!(!health.can_serve(at(50), floor));
    assert!(
        health.can_serve(at(200), floor),
        "it is retried after a pause"
    );
    health.on_lagging(at(200));
    health.on_reply(at(210), Some(floor));
    assert!(health.can_serve(at(211), floor));
}

#[test]
fn a_failing_server_is_skipped_for_longer_each_time() {
    let floor = Position::default();
    let mut health = Health::default();
    health.on_failure(at(0));
    assert!(health.can_serve(at(200), floor));
    health.on_failure(at(200));
    assert!(!health.can_serve(at(500), floor));
    assert!(health.can_serve(at(600), floor));
    health.on_reply(at(600), None);
    health.on_failure(at(700));
    assert!(
        health.can_serve(at(900), floor),
        "a reply resets the backoff"
    );
}

#[test]
fn silence_counts_from_the_oldest_unanswered_batch() {
    let span = Span::from_millis(300);
    let mut health = Health::default();
    let ticket = health.on_sent(at(1_000));
    assert!(!health.is_silent(at(1_200), span));
    assert!(health.is_silent(at(1_300), span));
    health.on_reply(at(1_250), None);
    assert!(
        !health.is_silent(at(1_300), span),
        "it answered another request"
    );
    health.on_end(ticket);
    assert!(!health.is_silent(at(9_000), span));
}

#[test]
fn commits_are_stuck_if_one_waits_and_none_has_succeeded_since() {
    let mut health = Health::default();
    let first = health.on_commit_sent(at(0));
    let second = health.on_commit_sent(at(100));
    health.on_commit_end(at(500), second, true);
    assert!(
        !health.is_stuck(at(2_000)),
        "another commit succeeded since"
    );
    health.on_commit_end(at(2_000), first, false);
    let _third = health.on_commit_sent(at(3_000));
    assert!(!health.is_stuck(at(3_800)));
    assert!(health.is_stuck(at(3_900)));
}

/// An earlier run of the instance died during a replacement, and nobody else goes on with it.
#[test]
fn an_abandoned_replacement_is_begun_anew_at_once() {
    let abandoned = Observation {
        is_abandoned: true,
        ..Observation::default()
    };
    assert_eq!(
        Detector::default().step(at(0), &abandoned),
        Some(Reason::Missing)
    );
}
