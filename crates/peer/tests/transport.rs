//! Tests of requests and replies over loopback sockets.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use clock::Clock;
use clock::Manual;
use clock::Time;
use peer::Body;
use peer::Client;
use peer::Codec;
use peer::Error;
use peer::Frame;
use peer::Handler;
use peer::Identity;
use peer::Peer;
use peer::Refusal;
use peer::Server;
use peer::Transport;
use peer::Window;
use proptest::prelude::any;
use proptest::proptest;
use timeline::Ring;
use timeline::Timestamp;

const TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

struct Echo;

#[async_trait]
impl Handler for Echo {
    async fn handle(&self, sender: Peer, request: Vec<u8>) -> Option<Vec<u8>> {
        let mut reply = sender.name.as_bytes().to_vec();
        reply.extend(request);
        Some(reply)
    }
}

fn ring() -> Arc<Ring> {
    let clock: Arc<dyn Clock> = Arc::new(Manual::open(Time::ZERO));
    Ring::open(Arc::from("test"), clock, 16)
}

fn identity(fleet: &str, name: &str, incarnation: u64) -> Identity {
    Identity {
        fleet: Arc::from(fleet),
        name: Arc::from(name),
        incarnation,
    }
}

fn address() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

async fn server(address: &str, incarnation: u64, ring: Arc<Ring>) -> Server {
    Server::bind(
        address,
        identity("f", "server", incarnation),
        b"secret",
        ring,
        Arc::new(Echo),
    )
    .await
    .unwrap()
}

#[tokio::test]
async fn a_request_gets_its_reply() {
    let address = address();
    let _server = server(&address, 7, ring()).await;
    let client = Client::open(identity("f", "client", 1), b"secret", ring());
    let (peer, reply) = client.call(&address, vec![1, 2], TIMEOUT).await.unwrap();
    assert_eq!(&*peer.name, "server");
    assert_eq!(peer.incarnation, 7);
    assert_eq!(reply, b"client\x01\x02");
}

#[tokio::test]
async fn requests_with_another_secret_or_fleet_are_rejected() {
    let address = address();
    let events = ring();
    let _server = server(&address, 7, Arc::clone(&events)).await;
    for client in [
        Client::open(identity("f", "client", 1), b"other", ring()),
        Client::open(identity("g", "client", 1), b"secret", ring()),
    ] {
        let error = client.call(&address, vec![1], SHORT_TIMEOUT).await;
        assert!(matches!(error, Err(Error::Timeout { .. })), "{error:?}");
    }
    let refused = events.events_after(Timestamp::default());
    assert!(
        refused
            .iter()
            .any(|event| &*event.what == "refused-peer-message")
    );
}

#[test]
fn replayed_and_too_old_requests_are_rejected() {
    let mut window = Window::default();
    let from: Arc<str> = Arc::from("i1");
    assert!(window.accept(&from, 1, 5));
    assert!(!window.accept(&from, 1, 5));
    assert!(window.accept(&from, 2, 5));
    for id in 6..10_000 {
        assert!(window.accept(&from, 1, id));
    }
    assert!(!window.accept(&from, 1, 7));
}

#[test]
fn an_incarnation_mismatch_is_displayed_as_other_life() {
    assert_eq!(Refusal::IncarnationMismatch.to_string(), "other-life");
}

fn frame() -> Frame {
    Frame {
        version: 1,
        fleet: Arc::from("f"),
        from: Arc::from("i1"),
        incarnation: 3,
        to_incarnation: 4,
        id: 5,
        stamp: Timestamp::default(),
        body: Body::Request(vec![1, 2, 3]),
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_never_accepted(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        assert!(Codec::open(b"secret").decode(&bytes).is_err());
    }

    #[test]
    fn a_flipped_bit_is_never_accepted(index in 0_usize..50, bit in 0_u8..8) {
        let codec = Codec::open(b"secret");
        let mut bytes = codec.encode(&frame()).unwrap();
        let index = index % bytes.len();
        bytes[index] ^= 1 << bit;
        assert!(codec.decode(&bytes).is_err());
    }
}
