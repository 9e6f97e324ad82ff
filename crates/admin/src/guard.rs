//! Who may do what, and the record of what was done.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::StatusCode;
use axum::http::header::AUTHORIZATION;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use timeline::Kind;
use timeline::event;

use crate::App;
use crate::Operator;
use crate::Problem;
use crate::Role;

/// After this long a request is answered, whatever is still under way.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// What a handler tells the audit about its request, carried in the response's extensions.
#[derive(Clone, Debug)]
pub(crate) struct Audited {
    /// The change's id.
    pub(crate) change: Arc<str>,
}

/// Lets only known operators through, only writers change anything, and audits each change.
///
/// A change runs in a task of its own: it is carried out and audited even if the operator's
/// program hangs up.
pub(crate) async fn guard(
    State(app): State<Arc<App>>,
    mut request: Request,
    next: Next,
) -> Response {
    let Some(operator) = bearer(request.headers()).and_then(|secret| app.tokens().find(secret))
    else {
        audit(
            &app,
            "",
            &request_line(&request),
            "denied",
            StatusCode::UNAUTHORIZED,
            None,
        );
        let detail = "send a known token as `Authorization: Bearer TOKEN`";
        return Problem::new(StatusCode::UNAUTHORIZED, "unauthorized", detail).into_response();
    };
    let operator = operator.clone();
    let line = request_line(&request);
    let is_change = request.method() != Method::GET;
    if is_change && operator.role < Role::Write {
        audit(
            &app,
            &operator.name,
            &line,
            "denied",
            StatusCode::FORBIDDEN,
            None,
        );
        let detail = "this token may only read";
        return Problem::new(StatusCode::FORBIDDEN, "forbidden", detail).into_response();
    }
    request.extensions_mut().insert(operator.clone());
    let work = tokio::spawn(run(app, operator, line, is_change, next.run(request)));
    match tokio::time::timeout(REQUEST_TIMEOUT, work).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => {
            let detail = "the handler failed; see the log";
            Problem::new(StatusCode::INTERNAL_SERVER_ERROR, "failed", detail).into_response()
        }
        Err(_) => Problem::unknown("no answer in time").into_response(),
    }
}

async fn run(
    app: Arc<App>,
    operator: Operator,
    line: String,
    is_change: bool,
    work: impl Future<Output = Response>,
) -> Response {
    let response = work.await;
    if is_change {
        let change = response.extensions().get::<Audited>();
        let change = change.map(|audited| &*audited.change);
        audit(
            &app,
            &operator.name,
            &line,
            "request",
            response.status(),
            change,
        );
    }
    response
}

fn audit(
    app: &App,
    operator: &str,
    line: &str,
    what: &str,
    status: StatusCode,
    change: Option<&str>,
) {
    let mut event = event(Kind::Audit, what)
        .with("operator", operator)
        .with("call", line)
        .with("status", status.as_u16());
    if let Some(change) = change {
        event = event.with("change", change);
    }
    app.control().record(event);
}

fn request_line(request: &Request) -> String {
    format!("{} {}", request.method(), request.uri())
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, secret) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| secret.trim())
}
