//! One function per request.

use std::sync::Arc;

use axum::Extension;
use axum::Json;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::extract::rejection::QueryRejection;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use membership::Reason;
use membership::is_ready;
use serde::Deserialize;
use serde::Serialize;
use settings::Answer;
use settings::Change;
use settings::Operation;
use timeline::Event;

use crate::App;
use crate::ChangeStatus;
use crate::Endpoint;
use crate::Error;
use crate::Filter;
use crate::Group;
use crate::Handover;
use crate::Instance;
use crate::OPENAPI;
use crate::Operator;
use crate::Problem;
use crate::Role;
use crate::Session;
use crate::TreeView;
use crate::guard::Audited;

type Shared = State<Arc<App>>;
type Reply<T> = Result<Json<T>, Problem>;

/// The body of a change; the operator is taken from the token.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Submission {
    id: Arc<str>,
    base: u64,
    operations: Vec<Operation>,
}

/// The query of a change.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct ChangeQuery {
    dry_run: bool,
}

/// The query of a key's grant or withdrawal.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct KeyQuery {
    change: Arc<str>,
}

/// The answer of `/readyz`.
#[derive(Serialize)]
struct Readiness {
    is_ready: bool,
    reasons: Vec<Reason>,
}

pub(crate) async fn healthz() -> &'static str {
    "ok\n"
}

pub(crate) async fn readyz(State(app): Shared) -> Response {
    let reasons = app.control().readiness();
    let is_ready = is_ready(&reasons);
    let status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    (status, Json(Readiness { is_ready, reasons })).into_response()
}

pub(crate) async fn metrics(State(app): Shared) -> Response {
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    ([(CONTENT_TYPE, kind)], app.control().metrics()).into_response()
}

pub(crate) async fn openapi() -> Response {
    ([(CONTENT_TYPE, "application/json")], OPENAPI).into_response()
}

pub(crate) async fn tree(
    State(app): Shared,
    Extension(operator): Extension<Operator>,
) -> Reply<TreeView> {
    let view = app.control().tree().await?;
    Ok(Json(if operator.role < Role::Write {
        view.without_verifiers()
    } else {
        view
    }))
}

pub(crate) async fn change(
    State(app): Shared,
    Extension(operator): Extension<Operator>,
    query: Result<Query<ChangeQuery>, QueryRejection>,
    body: Bytes,
) -> Response {
    let Query(query) = match query {
        Ok(query) => query,
        Err(_) => return Problem::input("query", "", "dry_run=true or false").into_response(),
    };
    let submission: Submission = match serde_json::from_slice(&body) {
        Ok(submission) => submission,
        Err(error) => {
            let allowed = "JSON with id, base and operations of path and value";
            return Problem::input("body", error.to_string(), allowed).into_response();
        }
    };
    let change = Change {
        id: submission.id,
        base: submission.base,
        operator: operator.name,
        operations: submission.operations,
    };
    let id = Arc::clone(&change.id);
    let answer = app.control().change(change, query.dry_run).await;
    answered(&id, &answer, Json(&answer).into_response())
}

pub(crate) async fn change_status(
    State(app): Shared,
    Path(id): Path<String>,
) -> Reply<ChangeStatus> {
    let status = app.control().change_status(&id).await?;
    let status = status.ok_or(Error::Missing {
        path: "change",
        name: id,
    })?;
    Ok(Json(status))
}

pub(crate) async fn grant_key(
    State(app): Shared,
    Extension(operator): Extension<Operator>,
    Path(account): Path<String>,
    query: Result<Query<KeyQuery>, QueryRejection>,
) -> Result<Response, Problem> {
    let id = change_id(query).ok_or_else(no_change_id)?;
    let control = app.control();
    let granted = control.grant_key(&account, &id, &operator.name).await?;
    let answer = &granted.answer;
    Ok(answered(&id, answer, Json(&granted).into_response()))
}

pub(crate) async fn withdraw_key(
    State(app): Shared,
    Extension(operator): Extension<Operator>,
    Path((account, key)): Path<(String, String)>,
    query: Result<Query<KeyQuery>, QueryRejection>,
) -> Result<Response, Problem> {
    let id = change_id(query).ok_or_else(no_change_id)?;
    let control = app.control();
    let answer = control
        .withdraw_key(&account, &key, &id, &operator.name)
        .await?;
    Ok(answered(&id, &answer, Json(&answer).into_response()))
}

pub(crate) async fn groups(State(app): Shared) -> Reply<Vec<Group>> {
    Ok(Json(app.control().groups().await?))
}

pub(crate) async fn handover(
    State(app): Shared,
    Extension(operator): Extension<Operator>,
    Path(group): Path<String>,
) -> Reply<Handover> {
    Ok(Json(app.control().handover(&group, &operator.name).await?))
}

pub(crate) async fn instances(State(app): Shared) -> Reply<Vec<Instance>> {
    Ok(Json(app.control().instances().await?))
}

pub(crate) async fn endpoints(State(app): Shared) -> Reply<Vec<Endpoint>> {
    Ok(Json(app.control().endpoints().await?))
}

pub(crate) async fn sessions(State(app): Shared) -> Reply<Vec<Session>> {
    Ok(Json(app.control().sessions().await?))
}

pub(crate) async fn timeline(
    State(app): Shared,
    query: Result<Query<Filter>, QueryRejection>,
) -> Reply<Vec<Event>> {
    let Query(filter) = query.map_err(|error| {
        let allowed = "after_ms, after_count, kind, group, account, change, request, limit";
        Problem::input("query", error.body_text(), allowed)
    })?;
    let events = app.control().events_after(filter.after());
    Ok(Json(filter.choose(events)))
}

pub(crate) async fn not_found() -> Problem {
    let detail = "no such path; see /openapi.json";
    Problem::new(StatusCode::NOT_FOUND, "not-found", detail)
}

pub(crate) async fn wrong_method() -> Problem {
    let detail = "no such method on this path; see /openapi.json";
    Problem::new(StatusCode::METHOD_NOT_ALLOWED, "wrong-method", detail)
}

fn change_id(query: Result<Query<KeyQuery>, QueryRejection>) -> Option<Arc<str>> {
    query.ok().map(|Query(query)| query.change)
}

fn no_change_id() -> Problem {
    Problem::input("query", "", "change=ID, the id of the change to make")
}

/// Turns what became of a change into a response, noting the change for the audit.
fn answered(id: &Arc<str>, answer: &Answer, accepted: Response) -> Response {
    let mut response = match Problem::of_answer(answer) {
        None => accepted,
        Some(problem) => problem.into_response(),
    };
    let change = Arc::clone(id);
    response.extensions_mut().insert(Audited { change });
    response
}
