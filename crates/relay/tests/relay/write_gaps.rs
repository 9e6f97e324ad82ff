//! How long and in which events callers' writes are not acknowledged.

use std::time::Duration;

use test_case::test_case;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::Ledger;
use crate::world::Switch;
use crate::world::World;

/// Longest time without an acknowledged write where all instances are well.
const GAP_MAX: Duration = Duration::from_secs(4);
/// The same where a registered instance is dead.
const GAP_MAX_WITH_DEAD_INSTANCE: Duration = Duration::from_secs(6);
/// The pause of a caller between two writes.
const PAUSE: Duration = Duration::from_millis(10);
/// Instances know each other's registrations after this time.
const DISCOVERY: Duration = Duration::from_secs(4);

/// Writes failed while only the table was out of reach and all servers were well.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test]
async fn writes_go_on_while_the_table_is_down(world: World) {
    let switch = Switch::open();
    let ledger = Ledger::open();
    let (first, one) = world.start_at(&switch, "i1").await;
    let (second, two) = world.start_at(&switch, "i2").await;
    sleep(DISCOVERY).await;
    let _writers = ledger.write_through(&first, 2, PAUSE).await;
    let _others = ledger.write_through(&second, 2, PAUSE).await;
    sleep(Duration::from_millis(500)).await;
    let sites = [one, two];
    let begun = Instant::now();
    world.set_table_down(&sites, true);
    sleep(Duration::from_secs(6)).await;
    world.set_table_down(&sites, false);
    sleep(Duration::from_secs(1)).await;
    assert!(ledger.failures().is_empty(), "{:?}", ledger.failures());
    let gap = ledger.longest_gap(begun);
    assert!(gap < Duration::from_millis(500), "the gap was {gap:?}");
    assert_eq!(ledger.lost(&world.group), Some(Vec::new()));
}

/// Writes failed while a primary that leaves handed over.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test]
async fn no_write_fails_while_a_primary_that_leaves_hands_over(world: World) {
    let switch = Switch::open();
    let ledger = Ledger::open();
    let (first, _one) = world.start_at(&switch, "i1").await;
    let (second, _two) = world.start_at(&switch, "i2").await;
    sleep(DISCOVERY).await;
    let _writers = ledger.write_through(&first, 2, PAUSE).await;
    let _others = ledger.write_through(&second, 2, PAUSE).await;
    sleep(Duration::from_millis(500)).await;
    let begun = Instant::now();
    world.set_entry("a", 1, true);
    sleep(Duration::from_secs(4)).await;
    assert_ne!(world.group.leader().as_deref(), Some("a"));
    assert!(ledger.failures().is_empty(), "{:?}", ledger.failures());
    let gap = ledger.longest_gap(begun);
    assert!(gap < Duration::from_secs(3), "the gap was {gap:?}");
    assert_eq!(ledger.lost(&world.group), Some(Vec::new()));
}

/// A crashed primary was replaced too late, as the replacement waited for an instance.
#[test_case(World::open(), false; "all instances live and fences are checked")]
#[test_case(World::open_unchecked(), false; "all instances live and fences are unchecked")]
#[test_case(World::open(), true; "an instance is dead and fences are checked")]
#[test_case(World::open_unchecked(), true; "an instance is dead and fences are unchecked")]
#[tokio::test]
async fn a_crashed_primary_is_replaced_in_time(world: World, has_dead_instance: bool) {
    let switch = Switch::open();
    let ledger = Ledger::open();
    let (first, _one) = world.start_at(&switch, "i1").await;
    let (second, _two) = world.start_at(&switch, "i2").await;
    let (third, _three) = world.start_at(&switch, "i3").await;
    sleep(DISCOVERY).await;
    let _writers = ledger.write_through(&first, 2, PAUSE).await;
    let _others = ledger.write_through(&second, 2, PAUSE).await;
    sleep(Duration::from_millis(500)).await;
    let begun = Instant::now();
    if has_dead_instance {
        third.task.abort();
    }
    world.group.crash("a");
    sleep(Duration::from_secs(9)).await;
    let bound = match has_dead_instance {
        true => GAP_MAX_WITH_DEAD_INSTANCE,
        false => GAP_MAX,
    };
    let gap = ledger.longest_gap(begun);
    println!("the gap was {gap:?}, answers {:?}", ledger.tally());
    assert!(gap < bound, "the gap was {gap:?}");
    assert!(world.group.leader().is_some_and(|leader| &*leader != "a"));
    assert_eq!(ledger.lost(&world.group), Some(Vec::new()));
}
