//! Read routing and floor updates.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;
use group::Source;
use session::Bootstrap;
use session::Candidate;
use session::Error;
use session::Floor;
use session::Floors;
use session::Request;
use session::Route;
use session::Router;
use session::Step;
use test_case::test_case;

const NOW: Time = Time::from_micros(10_000_000);

fn ms(millis: u64) -> Span {
    Span::from_millis(millis)
}

fn at(term: u64, offset: u64) -> Position {
    Position { term, offset }
}

/// A server in zone `za` or `zb` whose data is `age` milliseconds old.
fn server(name: &str, zone: &str, applied: Position, age: u64, load: u32) -> Candidate {
    let source = Source {
        endpoint: Arc::from(name),
        zone: Arc::from(zone),
        applied,
        fresh_at: Some(NOW - ms(age)),
    };
    Candidate { source, load }
}

fn decide(request: &Request, replicas: &[Candidate], primary: Option<&Candidate>) -> Route {
    let router = Router::open(Arc::from("za"), ms(60), ms(50));
    router.decide(NOW, request, replicas, primary)
}

fn request(floor: Position) -> Request {
    Request {
        started: NOW,
        deadline: NOW + ms(1_000),
        floor: Floor::at(floor),
        max_age: None,
    }
}

fn primary() -> Candidate {
    server("e0", "zb", at(1, u64::MAX), 20, 0)
}

#[test_case(1, 0, "e2"; "lower load first")]
#[test_case(0, 0, "e1"; "then the own zone")]
fn an_eligible_replica_is_chosen_by_load_and_zone(near: u32, far: u32, chosen: &str) {
    let replicas = [
        server("e1", "za", at(1, 10), 20, near),
        server("e2", "zb", at(1, 10), 20, far),
    ];
    let route = decide(&request(at(1, 10)), &replicas, Some(&primary()));
    assert_eq!(route, Route::Replica(Arc::from(chosen)));
}

#[test]
fn a_read_falls_back_to_the_primary_after_waiting_for_a_replica_behind_the_floor() {
    let replicas = [server("e1", "za", at(1, 9), 20, 0)];
    let mut request = request(at(1, 10));
    let route = decide(&request, &replicas, Some(&primary()));
    assert_eq!(route, Route::WaitUntil(NOW + ms(50)));
    request.started = NOW - ms(60);
    let route = decide(&request, &replicas, Some(&primary()));
    assert_eq!(route, Route::Primary(Arc::from("e0")));
}

#[test]
fn an_old_primary_never_serves_a_floor_of_a_later_term() {
    let mut request = request(at(2, 5));
    request.started = NOW - ms(60);
    let route = decide(&request, &[], Some(&primary()));
    assert!(matches!(route, Route::WaitUntil(_)), "{route:?}");
    request.deadline = NOW;
    let route = decide(&request, &[], Some(&primary()));
    assert!(matches!(route, Route::Refuse { .. }), "{route:?}");
}

#[test]
fn a_group_without_any_server_is_refused_at_once() {
    let route = decide(&request(at(1, 1)), &[], None);
    assert!(matches!(route, Route::Refuse { .. }), "{route:?}");
}

#[test_case(100, Route::Replica(Arc::from("e1")); "recent enough")]
#[test_case(99, Route::Primary(Arc::from("e0")); "too old")]
#[test_case(19, Route::WaitUntil(NOW + ms(50)); "the primary is too old as well")]
fn the_maximum_age_applies_to_replicas_and_to_the_primary(max_age: u64, expected: Route) {
    let replicas = [server("e1", "za", at(1, 9), 100, 0)];
    let mut request = request(Position::default());
    request.started = NOW - ms(60);
    request.max_age = Some(ms(max_age));
    assert_eq!(decide(&request, &replicas, Some(&primary())), expected);
}

#[test]
fn a_read_raises_the_floor_and_never_answers_below_it() {
    let mut floors = Floors::default();
    assert!(floors.raise("orders", at(1, 5)));
    assert_eq!(floors.observe("orders", "e1", at(1, 8)), Ok(true));
    assert_eq!(floors.observe("orders", "e1", at(1, 8)), Ok(false));
    let behind = floors.observe("orders", "e2", at(1, 7));
    assert!(
        matches!(behind, Err(Error::BehindFloor { .. })),
        "{behind:?}"
    );
    assert!(!floors.raise("orders", at(1, 6)));
    assert_eq!(floors.get("orders"), Floor::at(at(1, 8)));
    let mut other = Floors::default();
    other.raise("orders", at(2, 1));
    floors.merge(&other);
    assert_eq!(floors.get("orders"), Floor::at(at(2, 1)));
}

#[test]
fn a_session_without_a_token_ignores_queries_started_before_it_opened() {
    let mut bootstrap = Bootstrap::open(NOW);
    bootstrap.on_confirmed(NOW - ms(1), at(1, 4));
    assert_eq!(bootstrap.step(), Step::QueryPrimary);
    bootstrap.on_confirmed(NOW, at(1, 7));
    assert_eq!(bootstrap.step(), Step::Ready(Floor::at(at(1, 7))));
}
