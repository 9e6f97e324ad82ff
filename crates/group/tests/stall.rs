//! Tests of a primary that responds but does not replicate to any other server.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;
use endpoint::Role;
use endpoint::Status;
use group::Action;
use group::Member;
use group::Phase;
use group::Policy;
use group::Row;
use group::View;
use group::Votes;

const START: Time = Time::from_micros(10_000_000);
const STEP: Span = Span::from_millis(50);

fn view() -> View {
    let members = ["s1", "s2", "s3"].map(|name| Member {
        endpoint: Arc::from(name),
        zone: Arc::from("a"),
    });
    let instance = Arc::from("i1");
    View::open(
        START,
        instance,
        Arc::from("g"),
        members.to_vec(),
        Policy::default(),
    )
}

fn status(role: Role, offset: u64) -> Status {
    let position = Position { term: 1, offset };
    Status {
        role,
        received: position,
        applied: position,
    }
}

/// Runs 6 seconds with the primary at offset `primary` and the others at `other` of each step.
///
/// Returns true if a promotion was ordered.
fn orders(primary: u64, other: impl Fn(u64) -> u64) -> bool {
    let mut view = view();
    let mut now = START;
    let mut has_ordered = false;
    for step in 0..120 {
        view.on_row(now, now, Row::first(1, Arc::from("s1")), 1);
        view.on_status(now, now, "s1", status(Role::Primary, primary));
        for name in ["s2", "s3"] {
            view.on_status(now, now, name, status(Role::Replica, other(step)));
        }
        for action in view.tick(now) {
            match action {
                Action::AskPeers { term } => view.on_votes(
                    now,
                    Votes {
                        term,
                        ..Votes::default()
                    },
                ),
                Action::Commit { row, .. } => has_ordered |= row.phase == Phase::Ordered,
                _ => {}
            }
        }
        now = now + STEP;
    }
    has_ordered
}

#[test]
fn a_primary_that_replicates_to_no_server_is_replaced() {
    assert!(orders(100, |_| 90));
}

#[test]
fn a_primary_that_replicates_slowly_is_kept() {
    assert!(!orders(200, |step| 50 + step));
}

#[test]
fn a_primary_without_writes_is_kept() {
    assert!(!orders(100, |_| 100));
}
