//! The service's calls and its control port.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::Query;
use axum::extract::Request;
use axum::extract::State;
use axum::http::Method;
use axum::http::StatusCode;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use futures::stream;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use store::Condition;
use store::Error;
use store::Machine;
use store::Objects;
use store::Roster;
use store::Table;
use store::Write;

use super::Service;

type Shared = State<Arc<Service>>;

/// Returns the service's routes.
pub fn routes(service: Arc<Service>) -> Router {
    Router::new()
        .route("/table/row", get(row))
        .route("/table/rows", get(rows))
        .route("/table/commit", post(commit))
        .route("/objects", get(object).put(put_object))
        .route("/roster", get(roster))
        .layer(middleware::from_fn_with_state(
            Arc::clone(&service),
            misbehave,
        ))
        .with_state(service)
}

/// Returns the control port's routes.
pub fn control(service: Arc<Service>) -> Router {
    Router::new()
        .route("/state", get(state))
        .route("/down", post(down))
        .route("/slow", post(slow))
        .route("/lose-answers", post(lose_answers))
        .route("/roster-lag", post(roster_lag))
        .route("/roster", post(set_roster))
        .with_state(service)
}

/// Applies the switches to every call.
async fn misbehave(State(service): Shared, request: Request, next: Next) -> Response {
    if !service.admit().await {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let changes = request.method() != Method::GET;
    let counter = if changes {
        &service.writes
    } else {
        &service.reads
    };
    service.count(counter);
    let response = next.run(request).await;
    if changes && service.loses_answer() {
        return broken();
    }
    response
}

/// Returns an answer that ends the connection before it is whole.
fn broken() -> Response {
    let error = io::Error::other("answer lost");
    Body::from_stream(stream::once(async { Err::<Bytes, _>(error) })).into_response()
}

struct Failed(Error);

impl From<Error> for Failed {
    fn from(error: Error) -> Self {
        Self(error)
    }
}

impl IntoResponse for Failed {
    fn into_response(self) -> Response {
        (StatusCode::INTERNAL_SERVER_ERROR, self.0.to_string()).into_response()
    }
}

#[derive(Deserialize)]
struct Key {
    key: String,
}

async fn row(State(service): Shared, Query(query): Query<Key>) -> Result<Response, Failed> {
    let row = Table::get(&*service.memory, &query.key).await?;
    Ok(Json(row).into_response())
}

#[derive(Deserialize)]
struct Prefix {
    prefix: String,
}

async fn rows(State(service): Shared, Query(query): Query<Prefix>) -> Result<Response, Failed> {
    let rows = service.memory.list(&query.prefix).await?;
    Ok(Json(rows).into_response())
}

#[derive(Deserialize)]
struct Commit {
    conditions: Vec<Condition>,
    writes: Vec<Write>,
}

async fn commit(State(service): Shared, Json(commit): Json<Commit>) -> Result<Response, Failed> {
    let outcome = service
        .memory
        .commit(commit.conditions, commit.writes)
        .await?;
    Ok(Json(outcome).into_response())
}

#[derive(Deserialize)]
struct Name {
    name: String,
    expected: Option<u64>,
}

async fn object(State(service): Shared, Query(query): Query<Name>) -> Result<Response, Failed> {
    let Some(object) = Objects::get(&*service.memory, &query.name).await? else {
        return Ok(StatusCode::NOT_FOUND.into_response());
    };
    let version = [("x-version", object.version.to_string())];
    Ok((version, object.body.to_vec()).into_response())
}

async fn put_object(
    State(service): Shared,
    Query(query): Query<Name>,
    body: Bytes,
) -> Result<Response, Failed> {
    let body = Arc::from(&*body);
    match service
        .memory
        .put(&query.name, body, query.expected)
        .await?
    {
        Some(version) => Ok(Json(json!({"version": version})).into_response()),
        None => Ok(StatusCode::CONFLICT.into_response()),
    }
}

async fn roster(State(service): Shared) -> Result<Response, Failed> {
    service.settle_roster();
    let machines = service.memory.machines().await?;
    Ok(Json(machines).into_response())
}

async fn state(State(service): Shared) -> Json<Value> {
    Json(json!({
        "switches": service.switches(),
        "reads": service.reads.load(Ordering::Relaxed),
        "writes": service.writes.load(Ordering::Relaxed),
    }))
}

#[derive(Deserialize)]
struct Down {
    down: bool,
    #[serde(default)]
    hang: bool,
}

async fn down(State(service): Shared, Json(down): Json<Down>) -> StatusCode {
    service.switch(|switches| {
        switches.down = down.down;
        switches.hang = down.hang;
    });
    StatusCode::NO_CONTENT
}

#[derive(Deserialize)]
struct Delay {
    ms: u64,
}

async fn slow(State(service): Shared, Json(delay): Json<Delay>) -> StatusCode {
    service.switch(|switches| switches.slow_ms = delay.ms);
    StatusCode::NO_CONTENT
}

#[derive(Deserialize)]
struct Loss {
    probability: f64,
    seed: Option<u64>,
}

async fn lose_answers(State(service): Shared, Json(loss): Json<Loss>) -> StatusCode {
    if !(0.0..=1.0).contains(&loss.probability) {
        return StatusCode::BAD_REQUEST;
    }
    if let Some(seed) = loss.seed {
        service.seed(seed);
    }
    service.switch(|switches| switches.lose_answers = loss.probability);
    StatusCode::NO_CONTENT
}

async fn roster_lag(State(service): Shared, Json(delay): Json<Delay>) -> StatusCode {
    service.switch(|switches| switches.roster_lag_ms = delay.ms);
    StatusCode::NO_CONTENT
}

async fn set_roster(State(service): Shared, Json(machines): Json<Vec<Machine>>) -> StatusCode {
    service.set_machines(machines);
    StatusCode::NO_CONTENT
}
