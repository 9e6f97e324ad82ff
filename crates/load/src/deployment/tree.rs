//! The settings tree of a deployment.

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use super::DATABASE;
use super::Deployment;
use super::ENDPOINT_USER;

/// What a run is compared with.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Baseline {
    /// Nothing; the settings that the deployment wants.
    #[default]
    None,
    /// All reads go to the primary.
    PrimaryOnly,
    /// Instances that are cut off go on with the keys last known.
    ServeCutOff,
}

/// Connections of a group that are kept free for probes and checks.
const SPARE_CONNECTIONS: usize = 5;
/// The schema version of the tree.
const SCHEMA: u32 = 1;

/// Returns the tree, without keys.
pub fn tree(deployment: &Deployment, baseline: Baseline) -> Value {
    json!({
        "schema": SCHEMA,
        "values": {
            "deadline_ms": deployment.deadline_ms,
            "read_from_replicas": baseline != Baseline::PrimaryOnly,
            "when_cut_off": when_cut_off(baseline),
        },
        "services": { deployment.service: { "routes": routes(deployment) } },
        "accounts": accounts(deployment),
        "groups": groups(deployment),
    })
}

fn when_cut_off(baseline: Baseline) -> &'static str {
    match baseline {
        Baseline::ServeCutOff => "serve",
        Baseline::None | Baseline::PrimaryOnly => "refuse",
    }
}

fn routes(deployment: &Deployment) -> Value {
    let names: Vec<&str> = deployment
        .accounts
        .iter()
        .map(|account| account.name)
        .collect();
    let each = deployment.groups.iter().map(|group| {
        let route = json!({"group": group.name, "database": DATABASE, "accounts": names});
        (group.name.to_owned(), route)
    });
    Value::Object(each.collect::<Map<_, _>>())
}

fn accounts(deployment: &Deployment) -> Value {
    let each = deployment.accounts.iter().map(|account| {
        let values = json!({"rate_per_s": account.rate, "burst": account.burst});
        (account.name.to_owned(), json!({"values": values}))
    });
    Value::Object(each.collect::<Map<_, _>>())
}

fn groups(deployment: &Deployment) -> Value {
    let each = (0..deployment.groups.len()).map(|group| {
        let endpoints = (0..deployment.servers).map(|server| {
            let endpoint = json!({
                "zone": deployment.server_zone(group, server),
                "address": deployment.server_address(group, server),
            });
            (deployment.server(group, server), endpoint)
        });
        let connections = (deployment.connections - SPARE_CONNECTIONS) / deployment.servers;
        let settings = json!({
            "values": {"connections": connections},
            "endpoints": endpoints.collect::<Map<_, _>>(),
            "slots": deployment.slots,
            "user": ENDPOINT_USER,
            "password_ref": "endpoint",
        });
        (deployment.groups[group].name.to_owned(), settings)
    });
    Value::Object(each.collect::<Map<_, _>>())
}
