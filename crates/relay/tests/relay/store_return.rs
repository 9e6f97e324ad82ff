//! Replacements of primaries around a return of the table from an older copy.

use std::time::Duration;

use relay::external::Order;
use relay::failover::Departures;
use store::Table;
use store::version;
use tokio::time::sleep;

use crate::world::GROUP;
use crate::world::World;

/// Retires the primary and returns the order by which it was replaced.
async fn retire(world: &World, server: &str, port: u16) -> Order {
    let before = world.group.orders().len();
    world.set_entry(server, port, true);
    for _ in 0..100 {
        sleep(Duration::from_millis(100)).await;
        if let Some(order) = world.group.orders().get(before) {
            return order.clone();
        }
    }
    panic!("{server} was not replaced");
}

/// The row of a replacement was lost and its holder, the only instance that knew the fencing token, was
/// gone: the next holder used the token again, so a late order of the first would have been accepted.
#[tokio::test]
async fn a_token_is_not_used_again_after_its_row_was_lost() {
    let world = World::open();
    let mut instances = Vec::new();
    for name in ["i1", "i2"] {
        instances.push((name, world.start(name).await));
    }
    let backup = world.table.back_up();
    let first = retire(&world, "a", 1).await;
    sleep(Duration::from_secs(1)).await;
    world.table.restore(backup);
    let holder = instances
        .iter()
        .position(|(name, _)| **name == *first.holder);
    let (_, holder) = instances.remove(holder.expect("one of the instances"));
    holder.crash().await;
    let port = if &*first.server == "b" { 2 } else { 3 };
    let second = retire(&world, &first.server, port).await;
    assert_ne!(first.holder, second.holder);
    assert!(first.token < second.token, "{first:?}, {second:?}");
}

/// The table may return between the read that a token rests on and the commit that acquires it; a token
/// of the former era may have been given to another instance as well.
#[tokio::test]
async fn no_token_of_the_former_era_is_used_after_the_table_returned() {
    let world = World::open();
    let (_instance, outpost) = world.start_apart("i1").await;
    outpost.restore_before_commit(world.table.back_up());
    let order = retire(&world, "a", 1).await;
    assert_eq!(world.table.era(), 1, "the table returned");
    assert_eq!(version::era(order.token), 1, "{order:?}");
}

/// An instance that starts after the return would not know that the departed server may hold commits.
#[tokio::test(start_paused = true)]
async fn departed_servers_are_recorded_again_after_the_table_returned() {
    let world = World::open();
    let _instance = world.start("i1").await;
    let backup = world.table.back_up();
    world.set_entry("c", 3, true);
    sleep(Duration::from_millis(500)).await;
    world.servers.change(|rows| {
        rows.remove("c");
    });
    for round in 0..2 {
        sleep(Duration::from_secs(4)).await;
        let row = world.table.get(&Departures::key(GROUP)).await;
        let row = row.expect("a read");
        let recorded = Departures::parse(GROUP, row.as_ref());
        assert!(recorded.contains_key("c"), "round {round}");
        world.table.restore(backup.clone());
    }
}
