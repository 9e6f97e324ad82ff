//! Tests of the decision which instance runs a statement.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use relay::forward::Loss;
use relay::forward::Next;
use relay::forward::Peer;
use relay::forward::Router;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn name(index: u16) -> Arc<str> {
    Arc::from(format!("i{index}"))
}

/// Returns the router of one of `count` instances, connected to all others.
fn connected(index: u16, count: u16) -> Router {
    let mut router = Router::open(&name(index));
    let others = (0..count).filter(|other| *other != index);
    let others: BTreeMap<_, _> = others.map(|other| (name(other), address(other))).collect();
    router.on_members(&others);
    router.on_share(&Arc::from("g"), true);
    for (other, address) in &others {
        router.change(other, *address, Peer::on_connected);
    }
    router
}

/// Returns the instance that runs the statements of an account, as `index` sees it.
fn runner(router: &mut Router, index: u16, now: Time, account: &Arc<str>) -> Arc<str> {
    let peer = router.responsible(now, account, &Arc::from("g"));
    peer.unwrap_or_else(|| name(index))
}

/// Guards against instances that send the statements of one account to different peers, and
/// against one instance that gets most of the accounts.
#[test]
fn all_instances_choose_the_same_one_and_spread_the_accounts() {
    let mut routers: Vec<Router> = (0..19).map(|index| connected(index, 19)).collect();
    let mut counts: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for account in 0..648 {
        let account: Arc<str> = Arc::from(format!("a{account}"));
        let chosen: BTreeSet<Arc<str>> = (0..19)
            .zip(&mut routers)
            .map(|(index, router)| runner(router, index, at(0), &account))
            .collect();
        assert_eq!(chosen.len(), 1, "{account}: {chosen:?}");
        *counts
            .entry(chosen.first().cloned().expect("one"))
            .or_default() += 1;
    }
    assert_eq!(counts.len(), 19, "{counts:?}");
    assert!(
        counts.values().all(|count| (15..=60).contains(count)),
        "{counts:?}"
    );
}

/// Guards against a change of all connections when one instance leaves.
#[test]
fn a_member_that_leaves_moves_only_its_own_accounts() {
    let mut before = connected(0, 8);
    let mut after = connected(0, 7);
    for account in 0..100 {
        let account: Arc<str> = Arc::from(format!("a{account}"));
        let first = runner(&mut before, 0, at(0), &account);
        if first != name(7) {
            assert_eq!(runner(&mut after, 0, at(0), &account), first);
        }
    }
}

/// Guards against forwarding at sites with enough connections.
#[test]
fn nothing_is_forwarded_where_connections_suffice_or_no_peer_is_connected() {
    let mut router = connected(0, 8);
    let accounts: Vec<Arc<str>> = (0..50)
        .map(|index| Arc::from(format!("a{index}")))
        .collect();
    let forwarded = |router: &mut Router| {
        let all = accounts.iter();
        all.filter(|account| runner(router, 0, at(0), account) != name(0))
            .count()
    };
    assert!(forwarded(&mut router) > 30);
    router.on_share(&Arc::from("g"), false);
    assert_eq!(forwarded(&mut router), 0);
    assert!(!router.is_active());
    router.on_share(&Arc::from("g"), true);
    for (peer, address) in router.addresses() {
        router.change(&peer, address, Peer::on_disconnected);
    }
    assert_eq!(forwarded(&mut router), 0);
}

/// Guards against waiting for a silent peer again and again, and against leaving it out for good.
#[test]
fn a_silent_peer_is_left_out_until_it_is_heard_again() {
    let mut router = connected(0, 2);
    let account = (0..100)
        .map(|index| Arc::from(format!("a{index}")))
        .find(|account| runner(&mut router, 0, at(0), account) == name(1))
        .expect("an account of the peer");
    router.change("i1", address(1), |peer| peer.on_sent(at(0)));
    router.change("i1", address(1), |peer| peer.on_sent(at(200)));
    assert_eq!(runner(&mut router, 0, at(299), &account), name(1));
    assert_eq!(runner(&mut router, 0, at(300), &account), name(0));
    assert!(!router.peer("i1").expect("a peer").is_lost(at(1_999)));
    assert!(router.peer("i1").expect("a peer").is_lost(at(2_000)));
    router.change("i1", address(1), Peer::on_heard);
    assert_eq!(runner(&mut router, 0, at(400), &account), name(1));
}

/// Guards against statements for a peer that is stopping, and against trusting a new process at
/// another address for what the former one had said.
#[test]
fn a_stopping_peer_is_left_out_until_it_is_connected_anew() {
    let mut router = connected(0, 2);
    let account = (0..100)
        .map(|index| Arc::from(format!("a{index}")))
        .find(|account| runner(&mut router, 0, at(0), account) == name(1))
        .expect("an account of the peer");
    router.change("i1", address(1), Peer::on_stopping);
    assert_eq!(runner(&mut router, 0, at(1), &account), name(0));
    router.change("i1", address(1), Peer::on_disconnected);
    router.change("i1", address(1), Peer::on_stopping);
    router.change("i1", address(1), Peer::on_connected);
    assert_eq!(runner(&mut router, 0, at(1), &account), name(1));
    assert!(router.on_members(&BTreeMap::from([(name(1), address(9))])));
    assert_eq!(runner(&mut router, 0, at(1), &account), name(0));
    router.change("i1", address(1), Peer::on_connected);
    assert_eq!(
        runner(&mut router, 0, at(1), &account),
        name(0),
        "the former connection says nothing about the new process"
    );
}

/// Guards against a write that runs twice, and against a read that is given up without need.
#[test]
fn a_write_that_may_have_been_sent_never_runs_again() {
    for loss in [Loss::Broken, Loss::Silent, Loss::Expired] {
        assert_ne!(loss.next(true), Next::Run, "{loss:?}");
    }
    assert_eq!(Loss::Unsent.next(true), Next::Run);
    assert_eq!(Loss::Broken.next(true), Next::InDoubt);
    assert_eq!(Loss::Expired.next(true), Next::InDoubt);
    assert_eq!(Loss::Broken.next(false), Next::Run);
    assert_eq!(Loss::Silent.next(false), Next::Run);
    assert_eq!(Loss::Expired.next(false), Next::Timeout);
}
