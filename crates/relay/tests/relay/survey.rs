//! Which server is promoted in a failover.

use std::collections::BTreeMap;
use std::sync::Arc;

use endpoint::Position;
use relay::failover::Choice;
use relay::failover::Survey;
use test_case::test_case;

fn logs(logs: &[(&str, u64)]) -> BTreeMap<Arc<str>, Position> {
    logs.iter()
        .map(|(name, offset)| (Arc::from(*name), position(*offset)))
        .collect()
}

fn position(offset: u64) -> Position {
    Position { term: 1, offset }
}

fn survey(holders: &[&str], paused: &[(&str, u64)]) -> Survey {
    Survey {
        holders: holders.iter().map(|name| Arc::from(*name)).collect(),
        sync_replicas: 1,
        paused: logs(paused),
        ..Survey::default()
    }
}

fn promote(name: &str) -> Choice {
    Choice::Promote(Arc::from(name))
}

fn is_wait(choice: &Choice) -> bool {
    matches!(choice, Choice::Wait { .. })
}

#[test]
fn the_longer_of_two_paused_logs_is_chosen() {
    let survey = survey(&["p", "a", "b"], &[("a", 57), ("b", 12)]);
    assert_eq!(survey.choose(), promote("a"));
}

#[test_case(&["p", "a", "b"], &[("a", 57)]; "one replica is missing besides the primary")]
#[test_case(&["p", "a", "b", "d"], &[("a", 57), ("b", 57)]; "a departed server may hold more")]
#[test_case(&["p", "a", "b"], &[]; "nobody answers")]
fn a_missing_server_that_may_hold_an_acknowledged_commit_blocks_promotion(
    holders: &[&str],
    paused: &[(&str, u64)],
) {
    assert!(is_wait(&survey(holders, paused).choose()));
}

#[test]
fn a_known_acknowledged_commit_must_be_in_the_log() {
    let mut survey = survey(&["p", "a", "b"], &[("a", 57), ("b", 57)]);
    survey.acknowledged = position(58);
    assert!(is_wait(&survey.choose()));
}

#[test]
fn replicas_that_are_not_paused_do_not_count() {
    let mut survey = survey(&["p", "a", "b"], &[]);
    survey.receiving = logs(&[("a", 57), ("b", 57)]);
    assert!(is_wait(&survey.choose()));
}

#[test]
fn a_replica_with_the_whole_log_of_a_demoted_primary_succeeds_it() {
    let mut survey = survey(&["p", "a", "b"], &[]);
    survey.demoted = Some((Arc::from("p"), position(60)));
    survey.receiving = logs(&[("a", 59), ("b", 60)]);
    assert_eq!(survey.choose(), promote("b"));
    survey.receiving = logs(&[("a", 59)]);
    assert!(is_wait(&survey.choose()));
}

#[test]
fn a_demoted_primary_is_promoted_again_if_only_it_has_the_whole_log() {
    let mut survey = survey(&["p", "a", "b", "d"], &[("a", 310), ("b", 310)]);
    survey.demoted = Some((Arc::from("p"), position(319)));
    assert_eq!(survey.choose(), promote("p"));
}

#[test]
fn a_leaving_server_is_chosen_only_if_no_other_has_the_whole_log() {
    let mut survey = survey(&["p", "a", "b"], &[("a", 57), ("b", 57)]);
    survey.leaving.insert(Arc::from("a"));
    assert_eq!(survey.choose(), promote("b"));
    survey.paused = logs(&[("a", 57), ("b", 56)]);
    assert_eq!(survey.choose(), promote("a"));
}

/// Its zone may be switched off at any time, so waiting is better than promoting it.
#[test]
fn a_server_in_an_evacuated_zone_is_never_chosen_but_counts_as_a_holder() {
    let mut survey = survey(&["p", "a", "b"], &[("a", 57), ("b", 57)]);
    survey.evacuated.insert(Arc::from("a"));
    assert_eq!(survey.choose(), promote("b"));
    survey.paused = logs(&[("a", 57), ("b", 56)]);
    assert!(is_wait(&survey.choose()), "b lacks a commit that a holds");
    survey.demoted = Some((Arc::from("p"), position(57)));
    survey.evacuated.insert(Arc::from("p"));
    assert!(is_wait(&survey.choose()));
    survey.paused = logs(&[("b", 57)]);
    assert_eq!(survey.choose(), promote("b"));
}

#[test]
fn without_synchronous_replicas_every_server_must_answer() {
    let mut survey = survey(&["p", "a"], &[("a", 5)]);
    survey.sync_replicas = 0;
    assert!(is_wait(&survey.choose()));
}

/// The highest position in a reply may be that of a record which no replica received.
#[test]
fn a_shorter_log_is_enough_once_all_holders_are_known() {
    let mut survey = survey(&["p", "a", "b"], &[("a", 57), ("b", 56)]);
    survey.acknowledged = position(58);
    assert!(is_wait(&survey.choose()));
    survey.is_complete = true;
    assert_eq!(survey.choose(), promote("a"));
    survey.acknowledged = Position { term: 2, offset: 3 };
    assert!(is_wait(&survey.choose()), "a holder of term 2 lost its log");
}

#[test]
fn a_holder_that_is_gone_counts_until_a_log_has_all_that_it_confirmed() {
    let mut survey = survey(&["p", "a", "b", "d"], &[("a", 57), ("b", 57)]);
    survey.covered = logs(&[("d", 58)]);
    assert!(is_wait(&survey.choose()));
    survey.covered = logs(&[("d", 57)]);
    assert_eq!(survey.choose(), promote("a"));
}

/// A server that had started again without its log, or had taken over the former primary's address, was
/// taken for it; every replica had all of its log, and the first by name was promoted.
#[test]
fn a_demoted_server_that_lacks_an_acknowledged_commit_is_not_the_former_primary() {
    let mut survey = survey(&["p", "a", "b"], &[]);
    survey.acknowledged = position(57);
    survey.demoted = Some((Arc::from("p"), position(0)));
    survey.receiving = logs(&[("a", 12), ("b", 57)]);
    assert!(is_wait(&survey.choose()));
    survey.receiving.clear();
    survey.paused = logs(&[("a", 12), ("b", 57)]);
    assert_eq!(survey.choose(), promote("b"));
}

#[test]
fn of_the_servers_with_the_whole_log_of_a_demoted_primary_the_longest_is_chosen() {
    let mut survey = survey(&["p", "a", "b"], &[]);
    survey.demoted = Some((Arc::from("p"), position(60)));
    survey.receiving = logs(&[("a", 60), ("b", 61)]);
    assert_eq!(survey.choose(), promote("b"));
}

#[test]
fn a_demoted_server_that_was_not_seen_leading_since_its_start_proves_nothing() {
    let mut survey = survey(&["p", "a", "b"], &[]);
    survey.demoted = Some((Arc::from("p"), position(0)));
    survey.is_unproven = true;
    survey.receiving = logs(&[("a", 12), ("b", 57)]);
    assert!(is_wait(&survey.choose()));
    survey.is_unproven = false;
    assert_eq!(survey.choose(), promote("b"));
}
