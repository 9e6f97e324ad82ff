//! Other instances' views of a primary that seems to have failed.

use std::sync::Arc;

use endpoint::Position;
use relay::failover::Opinion;
use relay::failover::Reason;
use relay::peers::View;
use test_case::test_case;

fn view(leader: Option<&str>, is_prober: bool) -> View {
    View {
        is_prober,
        leader: leader.map(Arc::from),
        term: 1,
        token: 3,
        acknowledged: Position { term: 1, offset: 7 },
        commit_age_ms: 5_000,
    }
}

/// Load pattern: the primary is cut off from this instance, and from some of the others.
#[test_case(&[Some("a"), Some("a")], true; "all others reach it")]
#[test_case(&[Some("a"), None], false; "half of the others reach it")]
#[test_case(&[None, None], false; "nobody reaches it")]
#[test_case(&[], false; "nobody answers")]
fn a_silent_primary_stays_if_most_probers_reach_it(leaders: &[Option<&str>], stays: bool) {
    let mut views: Vec<View> = leaders.iter().map(|leader| view(*leader, true)).collect();
    // Instances that do not probe have no view of their own and do not count.
    views.extend((0..70).map(|_| view(None, false)));
    let opinion = Opinion::of(&views, Some(&Arc::from("a")));
    assert_eq!(opinion.contradicts(Reason::Silent), stays);
    assert!(!opinion.contradicts(Reason::Leaving));
}

#[test]
fn a_primary_that_was_replaced_meanwhile_is_not_replaced_again() {
    let views = [view(Some("b"), true), view(None, true)];
    let opinion = Opinion::of(&views, Some(&Arc::from("a")));
    assert_eq!(opinion.newer, 1);
    assert!(opinion.contradicts(Reason::Missing));
}

#[test]
fn a_primary_on_which_others_commit_is_not_stuck() {
    let mut committing = view(Some("a"), false);
    committing.commit_age_ms = 100;
    let opinion = Opinion::of(&[committing], Some(&Arc::from("a")));
    assert!(opinion.contradicts(Reason::Stuck));
    let opinion = Opinion::of(&[view(Some("a"), true)], Some(&Arc::from("a")));
    assert!(!opinion.contradicts(Reason::Stuck));
    assert_eq!(opinion.acknowledged, Position { term: 1, offset: 7 });
    assert_eq!(opinion.token, 3);
}
