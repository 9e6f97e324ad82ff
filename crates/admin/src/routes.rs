//! The table of requests.

use std::sync::Arc;

use axum::http::Method;
use axum::routing::MethodRouter;
use axum::routing::delete;
use axum::routing::get;
use axum::routing::post;

use crate::App;
use crate::handlers;

/// The OpenAPI description, which a test compares with [`routes`].
pub const OPENAPI: &str = include_str!("openapi.json");

/// One kind of request.
pub struct Route {
    /// The method.
    pub method: Method,
    /// The path, with parameters in braces.
    pub path: &'static str,
    /// Whether it needs no token.
    pub is_public: bool,
    pub(crate) handler: MethodRouter<Arc<App>>,
}

/// Lists all kinds of request.
pub fn routes() -> Vec<Route> {
    let key = "/v1/accounts/{account}/keys/{key}";
    vec![
        public("/healthz", get(handlers::healthz)),
        public("/readyz", get(handlers::readyz)),
        public("/metrics", get(handlers::metrics)),
        public("/openapi.json", get(handlers::openapi)),
        reading("/v1/tree", get(handlers::tree)),
        changing(Method::POST, "/v1/changes", post(handlers::change)),
        reading("/v1/changes/{id}", get(handlers::change_status)),
        changing(
            Method::POST,
            "/v1/accounts/{account}/keys",
            post(handlers::grant_key),
        ),
        changing(Method::DELETE, key, delete(handlers::withdraw_key)),
        reading("/v1/groups", get(handlers::groups)),
        changing(
            Method::POST,
            "/v1/groups/{group}/handover",
            post(handlers::handover),
        ),
        reading("/v1/instances", get(handlers::instances)),
        reading("/v1/endpoints", get(handlers::endpoints)),
        reading("/v1/sessions", get(handlers::sessions)),
        reading("/v1/timeline", get(handlers::timeline)),
    ]
}

fn public(path: &'static str, handler: MethodRouter<Arc<App>>) -> Route {
    Route {
        is_public: true,
        ..reading(path, handler)
    }
}

fn reading(path: &'static str, handler: MethodRouter<Arc<App>>) -> Route {
    changing(Method::GET, path, handler)
}

fn changing(method: Method, path: &'static str, handler: MethodRouter<Arc<App>>) -> Route {
    Route {
        method,
        path,
        is_public: false,
        handler,
    }
}
