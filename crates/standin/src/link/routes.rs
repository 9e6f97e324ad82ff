//! The control port of the links.

use std::collections::BTreeMap;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::routing::post;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::Links;

type Shared = State<Arc<Links>>;

/// Returns the control port's routes.
pub fn control(links: Arc<Links>) -> Router {
    Router::new()
        .route("/state", get(state))
        .route("/cut", post(cut))
        .route("/heal", post(heal))
        .with_state(links)
}

#[derive(Deserialize)]
struct Pair {
    a: String,
    b: String,
}

async fn state(State(links): Shared) -> Json<Value> {
    let cuts: Vec<Value> = links
        .cuts()
        .iter()
        .map(|(a, b)| json!({"a": a, "b": b}))
        .collect();
    let bytes: BTreeMap<String, u64> = links
        .bytes()
        .into_iter()
        .map(|(address, bytes)| (address.to_string(), bytes))
        .collect();
    Json(json!({"cuts": cuts, "bytes": bytes}))
}

async fn cut(State(links): Shared, Json(pair): Json<Pair>) -> StatusCode {
    links.cut(&pair.a, &pair.b);
    StatusCode::NO_CONTENT
}

/// Heals the pair in the body, or all pairs if there is none.
async fn heal(State(links): Shared, pair: Option<Json<Pair>>) -> StatusCode {
    match pair {
        Some(Json(pair)) => links.heal(&pair.a, &pair.b),
        None => links.heal_all(),
    }
    StatusCode::NO_CONTENT
}
