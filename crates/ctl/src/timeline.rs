//! The events of all instances, in one order.

use std::collections::BTreeMap;
use std::time::Duration;

use admin::Filter;
use timeline::Event;
use timeline::Timestamp;

use crate::Client;
use crate::Error;
use crate::Output;
use crate::changes::part;

/// Between two looks for new events.
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

/// Prints events, and goes on as they come if asked to.
///
/// While following, events of one look are sorted; a slow instance's may come after later ones.
pub(crate) async fn print(
    client: &Client,
    output: &mut Output<'_>,
    filter: &Filter,
    is_following: bool,
) -> Result<(), Error> {
    let mut seen: BTreeMap<String, Timestamp> = BTreeMap::new();
    loop {
        let events = collect(client, output, filter, &mut seen).await?;
        for event in &events {
            if output.is_json {
                output.line(&serde_json::to_string(event).expect("an event has plain values"))?;
            } else {
                output.line(&event.to_string())?;
            }
        }
        if !is_following {
            return Ok(());
        }
        tokio::time::sleep(FOLLOW_PAUSE).await;
    }
}

/// Fetches the new events of all instances that answer, oldest first.
async fn collect(
    client: &Client,
    output: &mut Output<'_>,
    filter: &Filter,
    seen: &mut BTreeMap<String, Timestamp>,
) -> Result<Vec<Event>, Error> {
    let mut merged = Vec::new();
    let mut failures = Vec::new();
    for address in client.addresses() {
        let after = seen.get(address).copied().unwrap_or(filter.after());
        match fetch(client, address, filter, after).await {
            Ok(events) => {
                if let Some(last) = events.last() {
                    seen.insert(address.clone(), last.stamp);
                }
                merged.extend(events);
            }
            Err(error) => failures.push(error),
        }
    }
    for error in &failures {
        output.note(&format!("missing: {error}"))?;
    }
    if failures.len() == client.addresses().len() {
        return Err(failures.remove(0));
    }
    merged.sort_by(|one, two| (one.stamp, &one.instance).cmp(&(two.stamp, &two.instance)));
    merged.dedup();
    Ok(merged)
}

async fn fetch(
    client: &Client,
    address: &str,
    filter: &Filter,
    after: Timestamp,
) -> Result<Vec<Event>, Error> {
    let mut query = vec![
        ("after_ms", after.wall_ms.to_string()),
        ("after_count", after.count.to_string()),
    ];
    let given = [
        ("kind", filter.kind.map(|kind| kind.to_string())),
        ("group", filter.group.clone()),
        ("account", filter.account.clone()),
        ("change", filter.change.clone()),
        ("request", filter.request.clone()),
    ];
    for (name, value) in given {
        query.extend(value.map(|value| (name, value)));
    }
    let query: Vec<String> = query
        .iter()
        .map(|(name, value)| format!("{name}={}", part(value)))
        .collect();
    let path = format!("/v1/timeline?{}", query.join("&"));
    client.get_from(address, &path).await
}
