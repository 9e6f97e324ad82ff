//! The interface as a service.

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::middleware;

use crate::Control;
use crate::Tokens;
use crate::guard::guard;
use crate::handlers;
use crate::routes;

/// Bytes of a request's body; a whole tree with 10,000 accounts fits in.
const BODY_BYTES_MAX: usize = 32 << 20;

/// What the requests share.
pub struct App {
    control: Arc<dyn Control>,
    tokens: Tokens,
}

impl App {
    /// Returns what is administered.
    pub fn control(&self) -> &dyn Control {
        &*self.control
    }

    /// Returns the tokens that count.
    pub fn tokens(&self) -> &Tokens {
        &self.tokens
    }
}

/// Returns the interface to a process, to be served by `axum::serve`.
pub fn router(control: Arc<dyn Control>, tokens: Tokens) -> Router {
    let app = Arc::new(App { control, tokens });
    let mut public = Router::new();
    let mut guarded = Router::new();
    for route in routes() {
        if route.is_public {
            public = public.route(route.path, route.handler);
        } else {
            guarded = guarded.route(route.path, route.handler);
        }
    }
    let guarded = guarded.layer(middleware::from_fn_with_state(Arc::clone(&app), guard));
    public
        .merge(guarded)
        .fallback(handlers::not_found)
        .method_not_allowed_fallback(handlers::wrong_method)
        .layer(DefaultBodyLimit::max(BODY_BYTES_MAX))
        .with_state(app)
}
