//! Case 2: the store returns from an older copy after a replacement of a primary.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::database::Order;
use crate::database::Service;
use crate::world::Verdict;
use crate::world::World;
use crate::world::config;
use crate::world::pause;

/// How long a leaving server goes on after its report.
const DRAIN_MS: u64 = 7_500;

/// Replaces the primary, lets the store return from a copy that is a few seconds old, replaces the
/// instance that gave the order and the primary again, and compares the fencing tokens of the orders.
pub fn run(world: &mut World) -> Result<Verdict, String> {
    let service = world.add_service("catalog", &["a", "b", "c"]);
    let text = config(1, "catalog", &["catalog"], 1);
    world.configure(&text);
    world.add_edge("edge-a-1", "a");
    world.add_edge("edge-b-1", "b");
    world.add_edge("edge-c-1", "c");
    world.wait_ready()?;
    pause(4_000);

    let before = world.store.copy();
    let (first, leaving) = release(&service, "a", 1)?;
    let left = Instant::now();
    pause(1_500);
    if world.has_trouble {
        world.record.line("the store is away");
        world.store.leave();
        pause(1_000);
        world.store.come_back(before);
        world.record.line("the store returns from an older copy");
        // What the operator and the servers wrote is written again.
        world.store.put("op", "config", &text);
        service.register_all();
    }
    let rest = Duration::from_millis(DRAIN_MS).saturating_sub(left.elapsed());
    std::thread::sleep(rest);
    service.end(&leaving);
    pause(1_000);

    // The machine that gave the order is replaced as planned: the new one comes first.
    world.add_edge("edge-a-2", "a");
    world.wait_ready()?;
    pause(2_000);
    let index = world.edges.iter().position(|edge| edge.name == first.holder);
    let index = index.ok_or("the holder is unknown")?;
    world.record.line(&format!("instance {} gets SIGTERM", first.holder));
    world.edges.remove(index).stop(Duration::from_secs(6));
    world.record.line(&format!("instance {} has ended", first.holder));
    // Longer than all leases of the instances.
    pause(12_000);

    let (_, leaving) = release(&service, "b", 2)?;
    pause(DRAIN_MS);
    service.end(&leaving);
    let orders = service.orders();
    for order in &orders {
        world.record.line(&format!(
            "accepted: server={} holder={} token={}",
            order.server, order.holder, order.token
        ));
    }
    let twice = orders.iter().find_map(|one| {
        let same = |other: &&Order| other.token == one.token && other.holder != one.holder;
        orders.iter().find(same).map(|other| (one.clone(), other.clone()))
    });
    Ok(match twice {
        Some((one, other)) => Verdict::Broken(format!(
            "ONE: {} promoted {} and {} promoted {}, both with the fencing token {}",
            one.holder, one.server, other.holder, other.server, one.token
        )),
        None => Verdict::Held("no two holders used one fencing token".to_owned()),
    })
}

/// Replaces the primary as planned: a new server starts first, then the old one drains. Returns the
/// accepted order number `count` and the old primary's id.
fn release(service: &Arc<Service>, zone: &str, count: usize) -> Result<(Order, String), String> {
    service.add_server(zone);
    pause(1_500);
    let leaving = service.primary().ok_or("there is no primary")?;
    service.drain(&leaving);
    let until = Instant::now() + Duration::from_secs(7);
    while Instant::now() < until {
        if let Some(order) = service.orders().get(count - 1) {
            return Ok((order.clone(), leaving));
        }
        pause(50);
    }
    Err("the primary was not replaced".to_owned())
}
