//! Case: the answers to some writes are cut off before their end.

use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::world::Verdict;
use crate::world::World;
use crate::world::config;
use crate::world::pause;

/// How long the primary cuts off answers.
const CUT_FOR: Duration = Duration::from_millis(6_000);
/// How long the sessions go on after that.
const REST: Duration = Duration::from_millis(2_000);
/// Pause between two writes; longer than the lag of the replicas.
const PAUSE_MS: u64 = 80;
/// The primary cuts off the answer to one of this many writes.
const CUT_ONE_IN: u64 = 5;

/// Sessions at a read-your-writes route write and read in turn, and compare.
pub fn run(world: &mut World) -> Result<Verdict, String> {
    let service = world.add_service("catalog", &["a", "b", "c"]);
    world.configure(&config(1, "catalog", &["catalog"], 1));
    world.add_edge("edge-a-1", "a");
    world.add_edge("edge-b-1", "b");
    world.wait_ready()?;
    // Longer than the staleness bound of the route.
    pause(5_000);
    let mut clients = Vec::new();
    for (index, edge) in world.edges.iter().enumerate() {
        let name = format!("c{index}");
        let client = Client::open(edge.front, "jobs", "key-of-t1", &world.record, &name);
        clients.push(client.ok_or("the session was refused")?);
    }
    if world.has_trouble {
        service.cut_answers(CUT_ONE_IN);
    }
    let mut acknowledged = 0;
    let mut stale = Vec::new();
    let begun = Instant::now();
    let mut round = 0;
    while begun.elapsed() < CUT_FOR + REST {
        round += 1;
        if begun.elapsed() >= CUT_FOR {
            service.cut_answers(0);
        }
        for (index, client) in clients.iter_mut().enumerate() {
            let item = format!("job{index}");
            client.send(&format!("QUERY {index}w{round} WRITE {item} {round}"));
            let answer = client.answer().ok_or("the session ended")?;
            if !answer.iter().any(|line| line.starts_with("DONE")) {
                continue;
            }
            acknowledged += 1;
            client.send(&format!("QUERY {index}r{round} READ {item}"));
            let answer = client.answer().ok_or("the session ended")?;
            let row = answer.iter().find_map(|line| line.strip_prefix("ROW "));
            if let Some(row) = row.filter(|row| **row != round.to_string()) {
                let line = format!("session c{index} wrote {item}={round} and then read {row}");
                world.record.line(&format!("STALE: {line}"));
                stale.push(line);
            }
            pause(PAUSE_MS);
        }
    }
    if acknowledged == 0 {
        return Err("no write was acknowledged".to_owned());
    }
    Ok(match stale.is_empty() {
        true => Verdict::Held(format!("all {acknowledged} reads had the session's own commit")),
        false => Verdict::Broken(format!(
            "STALE: {} of {acknowledged} reads lacked the session's own commit, first: {}",
            stale.len(),
            stale[0]
        )),
    })
}
