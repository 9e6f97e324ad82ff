//! Which server may become the primary.

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

fn waits(choice: &Choice) -> bool {
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
fn an_unseen_server_that_may_hold_an_acknowledged_commit_is_waited_for(
    holders: &[&str],
    paused: &[(&str, u64)],
) {
    assert!(waits(&survey(holders, paused).choose()));
}

#[test]
fn a_known_acknowledged_commit_must_be_in_the_log() {
    let mut survey = survey(&["p", "a", "b"], &[("a", 57), ("b", 57)]);
    survey.acknowledged = position(58);
    assert!(waits(&survey.choose()));
}

#[test]
fn replicas_that_may_still_receive_do_not_count() {
    let mut survey = survey(&["p", "a", "b"], &[]);
    survey.following = logs(&[("a", 57), ("b", 57)]);
    assert!(waits(&survey.choose()));
}

#[test]
fn a_replica_with_all_of_a_demoted_primary_follows_it() {
    let mut survey = survey(&["p", "a", "b"], &[]);
    survey.demoted = Some((Arc::from("p"), position(60)));
    survey.following = logs(&[("a", 59), ("b", 60)]);
    assert_eq!(survey.choose(), promote("b"));
    survey.following = logs(&[("a", 59)]);
    assert!(waits(&survey.choose()));
}

#[test]
fn a_demoted_primary_leads_again_if_only_it_has_all() {
    let mut survey = survey(&["p", "a", "b", "d"], &[("a", 310), ("b", 310)]);
    survey.demoted = Some((Arc::from("p"), position(319)));
    assert_eq!(survey.choose(), promote("p"));
}

#[test]
fn a_server_that_leaves_is_chosen_only_if_no_other_has_all() {
    let mut survey = survey(&["p", "a", "b"], &[("a", 57), ("b", 57)]);
    survey.leaving.insert(Arc::from("a"));
    assert_eq!(survey.choose(), promote("b"));
    survey.paused = logs(&[("a", 57), ("b", 56)]);
    assert_eq!(survey.choose(), promote("a"));
}

#[test]
fn without_synchronous_replicas_every_holder_is_needed() {
    let mut survey = survey(&["p", "a"], &[("a", 5)]);
    survey.sync_replicas = 0;
    assert!(waits(&survey.choose()));
}
