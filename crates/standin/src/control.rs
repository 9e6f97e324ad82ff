//! Control ports: HTTP with JSON, for tests and the load tool.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::routing::post;
use rusqlite::types::Value as Cell;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::Error;
use crate::error::ListenSnafu;
use crate::group::Group;
use crate::group::Record;

/// Serves a router on an address and returns the address that was bound.
pub async fn bind(address: SocketAddr, router: Router) -> Result<SocketAddr, Error> {
    let peer = address.to_string();
    let listener = TcpListener::bind(address)
        .await
        .context(ListenSnafu { peer: &peer })?;
    let bound = listener.local_addr().context(ListenSnafu { peer })?;
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            log::warn!("kind=stop what=control error={:?}", error.to_string());
        }
    });
    Ok(bound)
}

type Shared = State<Arc<Group>>;

/// Returns the routes that steer a group.
pub fn group(group: Arc<Group>) -> Router {
    Router::new()
        .route("/state", get(state))
        .route("/log/{server}", get(records))
        .route("/server/{server}/{action}", post(act))
        .route("/lag", post(lag))
        .route("/cut", post(cut))
        .route("/heal", post(heal))
        .with_state(group)
}

async fn state(State(group): Shared) -> Json<Value> {
    let servers: Vec<Value> = group
        .servers
        .iter()
        .map(|server| {
            let status = server.status();
            json!({
                "name": server.name,
                "address": server.address().to_string(),
                "role": status.role,
                "received": status.received,
                "applied": status.applied,
                "alive": server.is_alive(),
                "paused": server.is_paused(),
                "transaction": server.open_transaction().map(|open| {
                    let ms = u64::try_from(open.since.elapsed().as_millis()).unwrap_or(u64::MAX);
                    json!({"open_ms": ms, "latest": open.latest})
                }),
                "running": server.running(),
                "primary_reads": server.reads(false),
                "replica_reads": server.reads(true),
            })
        })
        .collect();
    Json(json!({
        "group": group.name,
        "free_connections": group.free_connections(),
        "lag_ms": u64::try_from(group.lag().as_millis()).unwrap_or(u64::MAX),
        "servers": servers,
    }))
}

async fn records(
    State(group): Shared,
    Path(name): Path<String>,
) -> Result<Json<Vec<Value>>, StatusCode> {
    let index = group.index(&name).ok_or(StatusCode::NOT_FOUND)?;
    let records = group.servers[index].records();
    Ok(Json(
        records.iter().map(|record| record_json(record)).collect(),
    ))
}

fn record_json(record: &Record) -> Value {
    let statements: Vec<Value> = record
        .statements
        .iter()
        .map(|statement| {
            let values: Vec<Value> = statement.values.iter().map(cell_json).collect();
            json!({"text": statement.text, "values": values})
        })
        .collect();
    json!({
        "term": record.position.term,
        "offset": record.position.offset,
        "statements": statements,
    })
}

fn cell_json(cell: &Cell) -> Value {
    match cell {
        Cell::Null => Value::Null,
        Cell::Integer(number) => json!(number),
        Cell::Real(number) => json!(number),
        Cell::Text(text) => json!(text),
        Cell::Blob(bytes) => json!(bytes),
    }
}

async fn act(
    State(group): Shared,
    Path((name, action)): Path<(String, String)>,
) -> Result<StatusCode, StatusCode> {
    let index = group.index(&name).ok_or(StatusCode::NOT_FOUND)?;
    match action.as_str() {
        "kill" => group.kill(index),
        "restart" => {
            let started = group.restart(index).await;
            started.map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
        }
        "isolate" => group.isolate(index, true),
        "rejoin" => group.isolate(index, false),
        "pause" => group.servers[index].pause(true),
        "resume" => group.servers[index].pause(false),
        _ => return Err(StatusCode::NOT_FOUND),
    }
    Ok(StatusCode::NO_CONTENT)
}

#[derive(Deserialize)]
struct Lag {
    ms: u64,
}

async fn lag(State(group): Shared, Json(lag): Json<Lag>) -> StatusCode {
    group.set_lag_ms(lag.ms);
    StatusCode::NO_CONTENT
}

#[derive(Deserialize)]
struct Cut {
    a: String,
    b: String,
}

async fn cut(State(group): Shared, Json(cut): Json<Cut>) -> Result<StatusCode, StatusCode> {
    let one = group.index(&cut.a).ok_or(StatusCode::NOT_FOUND)?;
    let other = group.index(&cut.b).ok_or(StatusCode::NOT_FOUND)?;
    group.set_cut(one, other, true);
    Ok(StatusCode::NO_CONTENT)
}

/// Heals the pair in the body, or all pairs if there is none.
async fn heal(State(group): Shared, pair: Option<Json<Cut>>) -> Result<StatusCode, StatusCode> {
    let Some(Json(cut)) = pair else {
        group.heal();
        return Ok(StatusCode::NO_CONTENT);
    };
    let one = group.index(&cut.a).ok_or(StatusCode::NOT_FOUND)?;
    let other = group.index(&cut.b).ok_or(StatusCode::NOT_FOUND)?;
    group.set_cut(one, other, false);
    Ok(StatusCode::NO_CONTENT)
}
