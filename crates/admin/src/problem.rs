//! Errors as JSON.

use axum::Json;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::RETRY_AFTER;
use axum::response::IntoResponse;
use axum::response::Response;
use serde::Deserialize;
use serde::Serialize;
use settings::Answer;
use settings::Fault;
use settings::Record;

use crate::Error;

/// Milliseconds after which to try again what failed for a passing reason.
const RETRY_AFTER_MS: u64 = 1_000;

/// Why a request was refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The HTTP status.
    #[serde(skip)]
    pub status: u16,
    /// A short hyphenated name.
    pub error: String,
    /// What happened and what to do.
    pub detail: String,
    /// Where in the input.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// What was found there.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// What would have been accepted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub allowed: Option<String>,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// All faults of a refused change.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    /// The table's revision, for a conflict.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// The changes that were accepted in the meantime, for a conflict.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub since: Vec<Record>,
}

impl Problem {
    /// Describes a refusal.
    pub fn new(status: StatusCode, error: &str, detail: impl Into<String>) -> Self {
        Self {
            status: status.as_u16(),
            error: error.to_owned(),
            detail: detail.into(),
            ..Self::default()
        }
    }

    /// Describes a refused input.
    pub fn input(path: &str, value: impl Into<String>, allowed: impl Into<String>) -> Self {
        Self {
            path: Some(path.to_owned()),
            value: Some(value.into()),
            allowed: Some(allowed.into()),
            ..Self::new(StatusCode::BAD_REQUEST, "bad-input", "correct the request")
        }
    }

    fn retry_after(self, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }

    /// Describes an answer by which a change was not accepted; `None` if it was.
    pub fn of_answer(answer: &Answer) -> Option<Self> {
        match answer {
            Answer::Accepted { .. } | Answer::Acceptable { .. } => None,
            Answer::Conflict { revision, since } => Some(Self {
                revision: Some(*revision),
                since: since.clone(),
                ..Self::new(
                    StatusCode::CONFLICT,
                    "conflict",
                    "nothing was done: the tree has changed; look at the changes and submit anew \
                     against this revision",
                )
            }),
            Answer::Refused { faults } => Some(Self::refused(faults)),
            Answer::Reused { record } => Some(Self {
                since: vec![record.clone()],
                ..Self::new(
                    StatusCode::CONFLICT,
                    "id-reused",
                    "nothing was done: the id belongs to another change; choose a new one",
                )
            }),
            Answer::Behind { table, held } => {
                let detail = format!(
                    "nothing was done: the table holds revision {table}, in force is {held}; it \
                     is being put back"
                );
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Some(Self::new(status, "table-behind", detail).retry_after(RETRY_AFTER_MS))
            }
            Answer::NotDone { why } => {
                let detail = format!("nothing was done: {why}");
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Some(Self::new(status, "not-done", detail).retry_after(RETRY_AFTER_MS))
            }
            Answer::Unknown { why } => Some(Self::unknown(why)),
        }
    }

    /// Describes a change that may or may not have taken effect.
    pub fn unknown(why: &str) -> Self {
        let detail =
            format!("the change may or may not be accepted: repeat it with the same id: {why}");
        let status = StatusCode::GATEWAY_TIMEOUT;
        Self::new(status, "outcome-unknown", detail).retry_after(RETRY_AFTER_MS)
    }

    fn refused(faults: &[Fault]) -> Self {
        let first = faults.first();
        Self {
            path: first.map(|fault| fault.path.clone()),
            value: first.map(|fault| fault.value.clone()),
            allowed: first.map(|fault| fault.allowed.clone()),
            faults: faults.to_vec(),
            ..Self::new(
                StatusCode::UNPROCESSABLE_ENTITY,
                "refused",
                "nothing was done: correct the change",
            )
        }
    }
}

impl From<Error> for Problem {
    fn from(error: Error) -> Self {
        let detail = error.to_string();
        match error {
            Error::Missing { path, name } => Self {
                path: Some(path.to_owned()),
                value: Some(name),
                ..Self::new(StatusCode::NOT_FOUND, "not-found", detail)
            },
            Error::NotNow { retry_after_ms, .. } => {
                Self::new(StatusCode::SERVICE_UNAVAILABLE, "not-done", detail)
                    .retry_after(retry_after_ms)
            }
            Error::Tokens { .. } => {
                Self::new(StatusCode::INTERNAL_SERVER_ERROR, "bad-settings", detail)
            }
        }
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let seconds = self.retry_after_ms.map(|millis| millis.div_ceil(1_000));
        let mut response = (status, Json(self)).into_response();
        if let Some(seconds) = seconds {
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
