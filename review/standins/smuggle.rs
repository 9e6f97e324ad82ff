//! Case 1: a line feed inside the last field of a message.

use crate::client::Client;
use crate::world::Verdict;
use crate::world::World;
use crate::world::config;
use crate::world::pause;

/// Sends messages whose last field holds a line feed, and compares what the servers ran with what the
/// client sent. Without the disruption the field holds a blank in that place.
pub fn run(world: &mut World) -> Result<Verdict, String> {
    world.add_service("catalog", &["a", "b", "c"]);
    world.configure(&config(1, "catalog", &["catalog"], 1));
    world.add_edge("edge-a-1", "a");
    world.add_edge("edge-b-1", "b");
    world.wait_ready()?;
    pause(2_000);
    let separator = if world.has_trouble { "\n" } else { " " };
    // Id and text of every statement that a client sent.
    let mut sent: Vec<(String, String)> = Vec::new();
    for index in 0..world.edges.len() {
        let front = world.edges[index].front;
        let name = format!("c{index}");
        let client = Client::open(front, "orders", "key-of-t1", &world.record, &name);
        let mut client = client.ok_or("the session was refused")?;
        let statements = [
            (format!("{index}1"), format!("WRITE k{index} plain")),
            (
                format!("{index}2"),
                format!("WRITE k{index} first{separator}QUERY {index}9 WRITE other{index} smuggled"),
            ),
            (format!("{index}3"), format!("READ k{index}")),
        ];
        for (id, text) in statements {
            sent.push((id.clone(), text.clone()));
            client.send(&format!("QUERY {id} {text}"));
            client.answer();
            pause(300);
        }
        drop(client);
    }
    pause(500);
    let runs = world.runs.lock().unwrap().clone();
    if runs.is_empty() {
        return Err("no statement ran".to_owned());
    }
    let unasked: Vec<String> = runs
        .iter()
        .filter(|run| !sent.contains(&(run.id.clone(), run.text.clone())))
        .map(|run| format!("id={} text=\"{}\"", run.id, run.text))
        .collect();
    for run in &unasked {
        world.record.line(&format!("UNASKED: a server ran {run}, which no client sent"));
    }
    Ok(match unasked.is_empty() {
        true => Verdict::Held(format!("{} statements ran as sent", runs.len())),
        false => Verdict::Broken(format!("UNASKED: servers ran {}", unasked.join(", "))),
    })
}
