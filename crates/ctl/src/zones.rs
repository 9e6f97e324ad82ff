//! Availability zones: evacuating them, and listing what runs there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use admin::Endpoint;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use settings::Operation;
use settings::Tree;

use crate::Client;
use crate::Error;
use crate::Options;
use crate::Output;
use crate::changes;
use crate::tree;

/// An availability zone as listed.
#[derive(Debug, Default, Serialize)]
struct Row {
    zone: Arc<str>,
    /// Whether nothing may be sent to the zone's servers.
    is_evacuated: bool,
    /// The number of servers in the settings.
    endpoints: usize,
    /// The number of servers that the asked instance reaches.
    up: usize,
    /// The servers that are primaries.
    primaries: BTreeSet<Arc<str>>,
}

/// Evacuates a zone, or takes its evacuation back.
///
/// Repeating either is no error and changes nothing.
pub(crate) async fn evacuate(
    client: &Client,
    options: &Options,
    output: &mut Output<'_>,
    zone: &str,
    is_undo: bool,
) -> Result<(), Error> {
    let view = tree::current(client).await?;
    let known = zones(&view.tree);
    if !known.contains(zone) {
        let names: Vec<&str> = known.iter().map(AsRef::as_ref).collect();
        return Err(Error::Usage {
            why: format!(
                "{zone}: no server is in this zone; known zones: {}",
                names.join(", ")
            ),
        });
    }
    if view.tree.is_evacuated(zone) != is_undo && options.id.is_none() {
        let revision = view.revision;
        return output.note(&format!(
            "revision={revision} zone={zone} evacuated={} changed=false",
            !is_undo
        ));
    }
    let operation = Operation {
        path: Arc::from(format!("zones/{zone}")),
        value: if is_undo {
            Value::Null
        } else {
            json!({"evacuated": true})
        },
    };
    let base = options.base.unwrap_or(view.revision);
    changes::submit(client, options, output, base, vec![operation]).await
}

/// Prints the zones.
pub(crate) async fn status(client: &Client, output: &mut Output<'_>) -> Result<(), Error> {
    let view = tree::current(client).await?;
    let endpoints: Vec<Endpoint> = client.get("/v1/endpoints").await?;
    let rows = rows(&view.tree, &endpoints);
    let titles = ["ZONE", "EVACUATED", "ENDPOINTS", "UP", "PRIMARIES"];
    output.table(&rows, &titles, |row| {
        let primaries: Vec<&str> = row.primaries.iter().map(AsRef::as_ref).collect();
        vec![
            row.zone.to_string(),
            row.is_evacuated.to_string(),
            row.endpoints.to_string(),
            row.up.to_string(),
            if primaries.is_empty() {
                "-".to_owned()
            } else {
                primaries.join(",")
            },
        ]
    })
}

/// Returns the zones that the settings name.
fn zones(tree: &Tree) -> BTreeSet<Arc<str>> {
    let endpoints = tree
        .groups
        .values()
        .flat_map(|group| group.endpoints.values());
    endpoints
        .map(|endpoint| Arc::clone(&endpoint.zone))
        .chain(tree.zones.keys().cloned())
        .collect()
}

fn rows(tree: &Tree, endpoints: &[Endpoint]) -> Vec<Row> {
    let mut rows: BTreeMap<Arc<str>, Row> = zones(tree)
        .into_iter()
        .map(|zone| {
            let row = Row {
                is_evacuated: tree.is_evacuated(&zone),
                zone: Arc::clone(&zone),
                ..Row::default()
            };
            (zone, row)
        })
        .collect();
    let configured = tree
        .groups
        .values()
        .flat_map(|group| group.endpoints.values());
    for endpoint in configured {
        if let Some(row) = rows.get_mut(&endpoint.zone) {
            row.endpoints += 1;
        }
    }
    for endpoint in endpoints {
        let Some(row) = rows.get_mut(&endpoint.zone) else {
            continue;
        };
        row.up += usize::from(&*endpoint.state == "up");
        if &*endpoint.role == "primary" {
            row.primaries.insert(Arc::clone(&endpoint.name));
        }
    }
    rows.into_values().collect()
}
