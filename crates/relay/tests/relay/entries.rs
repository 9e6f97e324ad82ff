//! Servers' entries that instances which read the store pass on to others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use endpoint::Role;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;
use rand_chacha::rand_core::SeedableRng;
use relay::peers::Catalog;
use relay::peers::Datagram;
use relay::peers::Entries;
use relay::peers::Payload;
use relay::peers::Transfer;
use relay::peers::Update;
use relay::peers::digest;
use relay::settings::Server;
use tokio::time::sleep;

use crate::world::GROUP;
use crate::world::World;

/// Maximum size of a datagram, and the part of it that the authentication code takes.
const DATAGRAM_BYTES_MAX: usize = 1_400;
const MAC_BYTES: usize = 16;

fn name(index: u32) -> Arc<str> {
    Arc::from(format!("a-server-with-quite-a-long-name-{index}"))
}

fn server(born: u64) -> Server {
    Server {
        group: Arc::from("a-group-with-a-long-name"),
        address: SocketAddr::from(([127, 0, 0, 1], 7)),
        zone: Arc::from("zone-1"),
        slots: 5,
        is_draining: false,
        role: Role::Replica,
        born,
        warmup_left_ms: 0,
    }
}

fn entries(count: u32) -> Entries {
    (0..count).map(|index| (name(index), server(1))).collect()
}

/// Applies one part; returns whether the answer is complete.
fn receive(transfer: &mut Transfer, part: Payload) -> bool {
    let Payload::Entries {
        id,
        part,
        count,
        version,
        digest,
        is_full,
        changes,
    } = part
    else {
        panic!("expected entries: {part:?}");
    };
    let update = Update {
        version,
        digest,
        is_full,
        changes,
    };
    transfer.on_part(id, part, count, update)
}

/// An instance one change behind gets that change in one datagram; one whose state is unknown gets
/// all entries.
#[test]
fn changed_entries_are_enough_for_whoever_knows_the_others() {
    let mut catalog = Catalog::default();
    let before = entries(24);
    catalog.record(7, &before);
    let mut after = before.clone();
    after.insert(name(3), server(2));
    after.remove(&name(5));
    catalog.record(8, &after);
    for (known, datagrams, is_full) in [(before, 1, false), (entries(2), 4, true)] {
        let mut transfer = Transfer::default();
        let id = transfer.request();
        let parts = catalog.answer(id, digest(&known));
        assert!(parts.len() <= datagrams, "datagrams={}", parts.len());
        let complete: Vec<bool> = parts
            .into_iter()
            .map(|part| receive(&mut transfer, part))
            .collect();
        assert_eq!(complete.iter().filter(|is_last| **is_last).count(), 1);
        let update = transfer.take().expect("an answer");
        assert_eq!(update.is_full, is_full);
        assert_eq!(update.apply_to(&known, 7), Some(after.clone()));
    }
}

/// A larger datagram would be cut off by the receiver.
#[test]
fn no_datagram_is_larger_than_the_receiver_reads() {
    let mut catalog = Catalog::default();
    catalog.record(u64::MAX, &entries(500));
    let parts = catalog.answer(u64::MAX, 0);
    assert!(parts.len() > 10);
    for payload in parts {
        let from = Arc::from("an-instance-with-a-long-name.".repeat(5));
        let datagram = Datagram { from, payload };
        let bytes = postcard::to_stdvec(&datagram).expect("plain data").len();
        assert!(bytes + MAC_BYTES <= DATAGRAM_BYTES_MAX, "bytes={bytes}");
    }
}

/// An instance may ask one whose entries are older than its own.
#[test]
fn older_entries_are_not_applied() {
    let mut catalog = Catalog::default();
    catalog.record(7, &entries(2));
    let mut transfer = Transfer::default();
    let id = transfer.request();
    for part in catalog.answer(id, 0) {
        receive(&mut transfer, part);
    }
    let update = transfer.take().expect("an answer");
    assert_eq!(update.apply_to(&entries(3), 8), None);
    assert_eq!(update.apply_to(&entries(3), 7), Some(entries(2)));
}

/// Parts of different answers must not be mixed, whatever is lost, late or repeated: what is applied
/// is always a state that the store held.
#[test]
fn only_states_of_the_store_are_applied() {
    let mut applied = 0;
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut catalog = Catalog::default();
        let mut newest = entries(24);
        let mut states = vec![newest.clone()];
        catalog.record(1, &newest);
        let (mut known, mut known_version) = (newest.clone(), 1);
        let mut transfer = Transfer::default();
        let mut in_flight: Vec<Payload> = Vec::new();
        for version in 2..60 {
            let index = rng.next_u32() % 30;
            if rng.next_u32().is_multiple_of(4) {
                newest.remove(&name(index));
            } else {
                newest.insert(name(index), server(version));
            }
            catalog.record(version, &newest);
            states.push(newest.clone());
            if rng.next_u32().is_multiple_of(2) {
                let id = transfer.request();
                // The state that the request names may be unknown, so all entries are sent.
                let known = match rng.next_u32().is_multiple_of(2) {
                    true => digest(&known),
                    false => 0,
                };
                in_flight.extend(catalog.answer(id, known));
            }
            for _ in 0..6 {
                if in_flight.is_empty() {
                    break;
                }
                let at = rng.next_u32() as usize % in_flight.len();
                let part = match rng.next_u32() % 4 {
                    0 => in_flight[at].clone(),
                    _ => in_flight.swap_remove(at),
                };
                if rng.next_u32().is_multiple_of(8) || !receive(&mut transfer, part) {
                    continue;
                }
                let update = transfer.take().expect("the answer is complete");
                if let Some(next) = update.apply_to(&known, known_version) {
                    let at = usize::try_from(update.version).expect("small") - 1;
                    assert_eq!(next, states[at], "seed {seed}");
                    assert!(update.version >= known_version);
                    (known, known_version) = (next, update.version);
                    applied += 1;
                }
            }
        }
    }
    assert!(applied > 500, "applied={applied}");
}

/// Only the instances that poll the store read a change; each of the others read all entries before.
#[tokio::test(start_paused = true)]
async fn a_changed_entry_is_read_by_the_pollers_only() {
    let world = World::open();
    world.servers.keep_history();
    let mut instances = Vec::new();
    for name in ["i1", "i2", "i3", "i4", "i5", "i6"] {
        instances.push(world.start(name).await);
    }
    sleep(Duration::from_secs(10)).await;
    let before = world.servers.deliveries();
    for change in 1..=3 {
        world.set_entry("c", 3, change % 2 == 1);
        sleep(Duration::from_secs(6)).await;
    }
    let reads = world.servers.deliveries() - before;
    println!("changes=3 instances=6 reads={reads}");
    assert_eq!(reads, 6, "two pollers read each of the three changes");
    drop(instances);
}

/// An entry of another writer made the task that follows the entries panic again and again, so that no
/// later entry took effect.
#[tokio::test(start_paused = true)]
async fn entries_with_the_largest_numbers_do_not_stop_the_following() {
    let world = World::open();
    let instance = world.start("i1").await;
    world.group.join("odd");
    world.servers.change(|rows| {
        let largest = Server {
            group: Arc::from(GROUP),
            slots: usize::MAX,
            warmup_left_ms: u64::MAX,
            ..server(u64::MAX)
        };
        rows.insert(Arc::from("odd"), largest);
    });
    sleep(Duration::from_secs(1)).await;
    world.set_entry("a", 1, true);
    sleep(Duration::from_secs(3)).await;
    assert_ne!(world.group.leader().as_deref(), Some("a"), "a leaves");
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    assert_eq!(client.read("x").await.as_deref(), Ok("1"));
}
