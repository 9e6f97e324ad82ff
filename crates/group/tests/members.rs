//! Tests of changes of a group's servers while instances act on different settings.

mod harness;

use std::sync::Arc;

use endpoint::Role;
use group::Ack;
use group::Member;
use harness::Harness;
use harness::at;
use harness::commit_of_all;
use harness::ms;

/// Guards against a promoter that chooses among other servers than those by whose majority an
/// instance with earlier settings proved a write.
#[test]
fn no_candidate_lacks_a_write_that_earlier_settings_proved() {
    let mut earlier = Harness::open_as("i2");
    earlier.servers = vec![
        ("e0", Role::Primary, 1, 12),
        ("e1", Role::Replica, 1, 10),
        ("e2", Role::Replica, 1, 12),
    ];
    earlier.feed();
    let ack = earlier.view.proof(earlier.now, at(1, 12));
    assert!(matches!(ack, Ack::Proven { .. }), "{ack:?}");
    let mut promoter = Harness::open();
    let members = ["e0", "e1", "e3"].map(|name| Member {
        endpoint: Arc::from(name),
        zone: Arc::from("z"),
    });
    promoter.view.set_members(members.into());
    promoter.servers = vec![
        ("e0", Role::Primary, 1, 10),
        ("e1", Role::Replica, 1, 10),
        ("e3", Role::Replica, 1, 10),
    ];
    promoter.feed();
    promoter.order();
    let chosen = commit_of_all(&promoter.run(ms(1_000)));
    assert_eq!(chosen, None, "neither e1 nor e3 holds the write");
}
