//! Through which instances a primary is demoted that this one doesn't reach.

use std::net::SocketAddr;
use std::sync::Arc;

use endpoint::Position;
use relay::failover::Mediation;
use relay::peers::View;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn view(port: u16, leader: Option<&str>, commit_age_ms: u64) -> (SocketAddr, View) {
    let view = View {
        is_prober: true,
        leader: leader.map(Arc::from),
        term: 1,
        token: 3,
        acknowledged: Position { term: 1, offset: 7 },
        commit_age_ms,
    };
    (address(port), view)
}

/// An instance that knows the primary from a report only may not reach it; one that commits does.
#[test]
fn those_that_committed_last_are_asked_first() {
    let old = Arc::from("a");
    let views = [
        view(1, Some("a"), 9_000),
        view(2, None, 0),
        view(3, Some("a"), 20),
        view(4, Some("b"), 10),
        view(5, Some("a"), 300),
        view(6, Some("a"), 400),
    ];
    let mediation = Mediation::open(&views, Some(&old));
    assert_eq!(mediation.instances(), [address(3), address(5), address(6)]);
}

#[test]
fn nobody_is_asked_for_an_unknown_primary() {
    let mediation = Mediation::open(&[view(1, None, 0)], None);
    assert_eq!(mediation, Mediation::default());
}
