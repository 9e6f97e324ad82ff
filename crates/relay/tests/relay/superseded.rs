//! Holders of a failover lease that learn that another instance replaces the primary.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use relay::failover::Lease;
use relay::peers::Datagram;
use relay::peers::Payload;
use seal::Authenticator;
use store::Outcome;
use store::Table;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::world::GROUP;
use crate::world::Instance;
use crate::world::World;

/// The limit of each wait for something that a test needs.
const WAIT_MAX: Duration = Duration::from_secs(10);
/// An instance reads the groups' rows at least this often.
const ROWS_READ_WITHIN: Duration = Duration::from_secs(1);

/// Another instance that replaces the primary.
struct Successor {
    socket: UdpSocket,
    seal: Authenticator,
}

impl Successor {
    async fn open(world: &World) -> Self {
        let row = world.table.get("fleet/secret").await.expect("a read");
        let secret = row.expect("the fleet's secret").value;
        Self {
            socket: UdpSocket::bind("127.0.0.1:0").await.expect("a port"),
            seal: Authenticator::open(secret.as_bytes(), b"yuccamount relay 1", 16),
        }
    }

    /// Asks an instance to end its reliance on the primary until it has confirmed that.
    async fn end_reliance(&self, to: SocketAddr, token: u64) {
        let datagram = Datagram {
            from: Arc::from("i2"),
            payload: Payload::EndReliance {
                id: 1,
                group: Arc::from(GROUP),
                token,
            },
        };
        let mut bytes = datagram.encode().expect("a datagram");
        self.seal.append_tag(&mut bytes);
        let begun = Instant::now();
        let mut buffer = [0; 2_000];
        loop {
            assert!(begun.elapsed() < WAIT_MAX, "no answer");
            self.socket.send_to(&bytes, to).await.expect("a send");
            let received = self.socket.recv_from(&mut buffer);
            let Ok(Ok((length, _))) = timeout(Duration::from_millis(100), received).await else {
                continue;
            };
            let payload = self.seal.verify(&buffer[..length]).expect("a tag");
            let (datagram, _) = Datagram::decode(payload).expect("a datagram");
            if matches!(datagram.payload, Payload::RelianceEnded { id: 1, .. }) {
                return;
            }
        }
    }
}

/// Starts an instance that orders a promotion again and again; returns its token.
async fn start_ordering(world: &World) -> (Instance, u64) {
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    world.group.lose_orders();
    world.group.set_silent("a", true);
    let begun = Instant::now();
    loop {
        if let Some(order) = world.group.orders().first() {
            return (instance, order.token);
        }
        assert!(begun.elapsed() < WAIT_MAX, "no order");
        sleep(Duration::from_millis(10)).await;
    }
}

fn orders_with(world: &World, token: u64) -> usize {
    let orders = world.group.orders();
    orders.iter().filter(|order| order.token == token).count()
}

/// A holder confirmed to a newer replacement that it relies on the primary no more, and went on with
/// orders of its own, as long as its row was recent.
#[tokio::test]
async fn nothing_is_ordered_after_a_newer_replacement_was_confirmed() {
    let world = World::open_unchecked();
    let (_instance, token) = start_ordering(&world).await;
    let successor = Successor::open(&world).await;
    successor.end_reliance(world.peer("i1"), token + 1).await;
    let before = orders_with(&world, token);
    sleep(Duration::from_millis(1_500)).await;
    let after = orders_with(&world, token);
    assert_eq!(after, before, "the former holder went on");
}

/// A holder whose row another instance has taken over must not go on until it writes the row again.
#[tokio::test]
async fn nothing_is_ordered_after_the_row_of_a_newer_replacement_was_read() {
    let world = World::open_unchecked();
    let (_instance, token) = start_ordering(&world).await;
    let key = Lease::key(GROUP);
    let row = world.table.get(&key).await.expect("a read").expect("a row");
    let lease = Lease::parse(&row).expect("a lease");
    let successor = Lease {
        holder: Arc::from("i2"),
        incarnation: lease.incarnation + 1,
        token: token + 1,
        ..lease
    };
    let (condition, write) = successor.compare_and_set(GROUP, Some(&row));
    let taken = world.table.commit(vec![condition], vec![write]).await;
    assert!(matches!(taken, Ok(Outcome::Committed { .. })));
    sleep(ROWS_READ_WITHIN).await;
    let before = orders_with(&world, token);
    sleep(Duration::from_millis(1_500)).await;
    let after = orders_with(&world, token);
    assert_eq!(after, before, "the former holder went on");
}
