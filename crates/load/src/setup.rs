//! Makes a fresh fleet ready: the settings tree, the keys and the tables.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use reqwest::Method;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio_postgres::Client;
use tokio_postgres::NoTls;

use crate::Error;
use crate::deployment::Baseline;
use crate::deployment::DATABASE;
use crate::deployment::Deployment;
use crate::deployment::ENDPOINT_PASSWORD;
use crate::deployment::ENDPOINT_USER;
use crate::deployment::WRITE_TOKEN;
use crate::deployment::tree;
use crate::http::Http;
use crate::work::READS;

/// A granted key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Key {
    /// The id by which it is withdrawn.
    pub id: String,
    /// The key itself.
    pub key: String,
}

/// The keys by account.
pub type Keys = BTreeMap<String, Key>;

/// Longest wait for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two looks.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// Loads the tree, grants the keys and waits until every instance is ready.
pub async fn setup(
    deployment: &Deployment,
    baseline: Baseline,
    directory: &Path,
) -> Result<(), Error> {
    let http = Http::open()?;
    let admin = format!("http://{}", deployment.admin(0));
    let current = wait_for_tree(&http, &admin).await?;
    let change = json!({
        "id": "setup",
        "base": current["revision"],
        "operations": [{"path": "", "value": tree(deployment, baseline)}],
    });
    let url = format!("{admin}/v1/changes");
    http.post(&url, Some(WRITE_TOKEN), &change).await?;
    let control = format!("http://{}/roster", deployment.platform_control());
    http.post(&control, None, &roster(deployment, None)).await?;
    let mut keys = Keys::new();
    for account in deployment.accounts {
        keys.insert(
            account.name.to_owned(),
            grant(&http, &admin, account.name).await?,
        );
    }
    write_json(&directory.join("keys.json"), &keys)?;
    wait_for_settings(&http, deployment, &admin).await
}

async fn wait_for_tree(http: &Http, admin: &str) -> Result<Value, Error> {
    let url = format!("{admin}/v1/tree");
    let until = Instant::now() + READY_TIMEOUT;
    loop {
        match http.get(&url, Some(WRITE_TOKEN)).await {
            Err(error) if Instant::now() > until => return Err(error),
            Err(_) => tokio::time::sleep(READY_INTERVAL).await,
            Ok(tree) => return Ok(tree),
        }
    }
}

async fn grant(http: &Http, admin: &str, account: &str) -> Result<Key, Error> {
    let url = format!("{admin}/v1/accounts/{account}/keys?change=grant-{account}");
    let call = http.call(Method::POST, &url, Some(WRITE_TOKEN), None);
    let (status, granted) = call.await?;
    match (granted["key_id"].as_str(), granted["key"].as_str()) {
        (Some(id), Some(key)) => Ok(Key {
            id: id.to_owned(),
            key: key.to_owned(),
        }),
        _ => Err(Error::peer(
            "grant key",
            &url,
            format!("{status} {granted}"),
        )),
    }
}

/// Waits until all instances act on the newest revision and say that they are ready.
async fn wait_for_settings(http: &Http, deployment: &Deployment, admin: &str) -> Result<(), Error> {
    let newest = http
        .get(&format!("{admin}/v1/tree"), Some(WRITE_TOKEN))
        .await?;
    let until = Instant::now() + READY_TIMEOUT;
    for instance in 0..deployment.instances.len() {
        let base = format!("http://{}", deployment.admin(instance));
        while !is_ready(http, &base, &newest["revision"]).await {
            if Instant::now() > until {
                return Err(Error::peer("wait until ready", &base, "timed out"));
            }
            tokio::time::sleep(READY_INTERVAL).await;
        }
    }
    Ok(())
}

async fn is_ready(http: &Http, base: &str, revision: &Value) -> bool {
    let tree = http
        .get(&format!("{base}/v1/tree"), Some(WRITE_TOKEN))
        .await;
    let ready = http.get(&format!("{base}/readyz"), None).await;
    let seen = tree.is_ok_and(|tree| tree["revision"].as_u64() >= revision.as_u64());
    seen && ready.is_ok()
}

/// Returns the platform's list of machines, with one endpoint leaving.
pub fn roster(deployment: &Deployment, leaving: Option<&str>) -> Value {
    let instances = deployment
        .instances
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let name = deployment.instance(index);
            machine("instance", &name, zone, &deployment.listen(index), leaving)
        });
    let places = (0..deployment.groups.len())
        .flat_map(|group| (0..deployment.servers).map(move |server| (group, server)));
    let endpoints = places.map(|(group, server)| {
        let name = deployment.server(group, server);
        let zone = deployment.server_zone(group, server);
        let address = deployment.server_address(group, server);
        machine("endpoint", &name, zone, &address, leaving)
    });
    Value::Array(instances.chain(endpoints).collect())
}

fn machine(role: &str, name: &str, zone: &str, address: &str, leaving: Option<&str>) -> Value {
    let is_leaving = leaving == Some(name);
    let status = if is_leaving { "leaving" } else { "live" };
    json!({"name": name, "role": role, "zone": zone, "address": address, "status": status})
}

/// Creates the tables of one group empty and gives each caller its row.
pub async fn tables(
    deployment: &Deployment,
    group: usize,
    callers: &[String],
) -> Result<(), Error> {
    let (client, peer) = primary(deployment, group).await?;
    let failed = |error: tokio_postgres::Error| Error::peer("create tables", &peer, error);
    let text = "CREATE TABLE IF NOT EXISTS items (account TEXT, caller TEXT, seq BIGINT, \
                request TEXT); \
                CREATE INDEX IF NOT EXISTS items_by_caller ON items (caller, seq); \
                CREATE TABLE IF NOT EXISTS progress (caller TEXT PRIMARY KEY, version BIGINT); \
                CREATE TABLE IF NOT EXISTS probe (id BIGINT PRIMARY KEY, version BIGINT); \
                DELETE FROM items; DELETE FROM progress; DELETE FROM probe; \
                INSERT INTO probe (id, version) VALUES (1, 0)";
    client.batch_execute(text).await.map_err(failed)?;
    for caller in callers {
        let insert = format!("INSERT INTO progress (caller, version) VALUES ('{caller}', 0)");
        client.batch_execute(&insert).await.map_err(failed)?;
    }
    Ok(())
}

/// Connects to the primary of the highest term, past the proxy.
pub async fn primary(deployment: &Deployment, group: usize) -> Result<(Client, String), Error> {
    let server = primary_index(deployment, group).await?;
    let address = deployment.server_address(group, server);
    Ok((connect(&address).await?, address))
}

/// Returns the index of the live primary of the highest term.
pub async fn primary_index(deployment: &Deployment, group: usize) -> Result<usize, Error> {
    let http = Http::open()?;
    let control = deployment.group_control(group);
    let state = http.get(&format!("http://{control}/state"), None).await?;
    let servers = state["servers"].as_array().cloned().unwrap_or_default();
    servers
        .iter()
        .enumerate()
        .filter(|(_, server)| server["role"] == "primary" && server["alive"] == true)
        .max_by_key(|(_, server)| server["received"]["term"].as_u64())
        .map(|(index, _)| index)
        .ok_or_else(|| Error::peer("find primary", &control, "no live primary"))
}

/// Connects to a server, past the proxy.
pub async fn connect(address: &str) -> Result<Client, Error> {
    let failed = |error: tokio_postgres::Error| Error::peer("connect", address, error);
    let (host, port) = address.split_once(':').unwrap_or((address, "5432"));
    let mut config = tokio_postgres::Config::new();
    config
        .host(host)
        .port(port.parse().unwrap_or(5432))
        .user(ENDPOINT_USER)
        .password(ENDPOINT_PASSWORD)
        .dbname(DATABASE);
    let (client, connection) = config.connect(NoTls).await.map_err(failed)?;
    tokio::spawn(connection);
    Ok(client)
}

/// Returns how many reads of callers replicas served, and how many all servers did.
pub async fn count_reads(deployment: &Deployment) -> Result<(u64, u64), Error> {
    let http = Http::open()?;
    let (mut at_replicas, mut all) = (0, 0);
    for group in 0..deployment.groups.len() {
        for server in 0..deployment.servers {
            let (replica, primary) = server_reads(&http, deployment, group, server).await?;
            at_replicas += replica;
            all += replica + primary;
        }
    }
    Ok((at_replicas, all))
}

/// Returns how many reads of callers a server has run as a replica and as a primary.
pub async fn server_reads(
    http: &Http,
    deployment: &Deployment,
    group: usize,
    server: usize,
) -> Result<(u64, u64), Error> {
    let url = format!("http://{}/state", deployment.group_control(group));
    let state = http.get(&url, None).await?;
    let server = &state["servers"][server];
    let replica = of_callers(&server["replica_reads"]);
    Ok((replica, of_callers(&server["primary_reads"])))
}

fn of_callers(reads: &Value) -> u64 {
    let counted = reads.as_object().into_iter().flatten();
    counted
        .filter(|(text, _)| READS.iter().any(|part| text.contains(part)))
        .filter_map(|(_, count)| count.as_u64())
        .sum()
}

/// Writes a value as JSON.
pub fn write_json(path: &Path, value: &impl Serialize) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(value);
    let text = text.map_err(|error| Error::file("write", path, error))?;
    std::fs::write(path, text + "\n").map_err(|error| Error::file("write", path, error))
}

/// Reads JSON.
pub fn read_json<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| Error::file("read", path, error))?;
    serde_json::from_str(&text).map_err(|error| Error::file("read", path, error))
}
