//! Case: a client's connection ends in the middle of a message.

use crate::client::Client;
use crate::world::Verdict;
use crate::world::World;
use crate::world::config;
use crate::world::pause;

/// Clients end in the middle of a write and in the middle of a commit. Without the disruption they
/// send the whole messages.
pub fn run(world: &mut World) -> Result<Verdict, String> {
    world.add_service("catalog", &["a", "b", "c"]);
    world.configure(&config(1, "catalog", &["catalog"], 1));
    world.add_edge("edge-a-1", "a");
    world.add_edge("edge-b-1", "b");
    world.wait_ready()?;
    pause(2_000);
    // Id and text of every statement that a client sent, whole or in part.
    let mut sent: Vec<(String, String)> = Vec::new();
    let mut parts: Vec<(String, String)> = Vec::new();
    for index in 0..world.edges.len() {
        let front = world.edges[index].front;
        let open = |name: String| {
            let client = Client::open(front, "orders", "key-of-t1", &world.record, &name);
            client.ok_or("the session was refused")
        };

        // A write of 48 characters of data, of which the first 20 are sent.
        let mut client = open(format!("w{index}"))?;
        let (id, text) = (format!("{index}1"), format!("WRITE price{index} {}", "9".repeat(48)));
        let message = format!("QUERY {id} {text}");
        if world.has_trouble {
            client.send_part(&message[..message.len() - 28]);
            parts.push((id, text));
        } else {
            client.send(&message);
            client.answer();
            sent.push((id, text));
        }
        pause(500);

        // A transaction whose commit lacks its line end.
        let mut client = open(format!("t{index}"))?;
        for (number, text) in [(2, "BEGIN".to_owned()), (3, format!("WRITE stock{index} 1"))] {
            let id = format!("{index}{number}");
            client.send(&format!("QUERY {id} {text}"));
            client.answer();
            sent.push((id, text));
        }
        let (id, text) = (format!("{index}4"), "COMMIT".to_owned());
        if world.has_trouble {
            client.send_part(&format!("QUERY {id} {text}"));
            parts.push((id, text));
        } else {
            client.send(&format!("QUERY {id} {text}"));
            client.answer();
            sent.push((id, text));
        }
        pause(500);
    }
    let runs = world.runs.lock().unwrap().clone();
    if runs.is_empty() {
        return Err("no statement ran".to_owned());
    }
    let mut broken = Vec::new();
    for run in &runs {
        let statement = (run.id.clone(), run.text.clone());
        if sent.contains(&statement) {
            continue;
        }
        let why = match parts.contains(&statement) {
            true => "whose message the client never finished",
            false => "with a text that no client sent",
        };
        let line = format!("id={} text=\"{}\", {why}", run.id, run.text);
        world.record.line(&format!("UNASKED: a server ran {line}"));
        broken.push(line);
    }
    Ok(match broken.is_empty() {
        true => Verdict::Held(format!("{} statements ran as sent", runs.len())),
        false => Verdict::Broken(format!("UNASKED: servers ran {}", broken.join("; "))),
    })
}
