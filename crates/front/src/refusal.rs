//! Errors that clients are told.

use std::sync::Arc;

/// An error for a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The SQLSTATE.
    pub code: Arc<str>,
    /// What went wrong and what to do.
    pub message: String,
    /// Further detail, for instance the endpoint's.
    pub detail: Option<String>,
    /// A hint, for instance the endpoint's.
    pub hint: Option<String>,
    /// The statement was not run and will not be; never set while that is in doubt.
    pub not_run: bool,
    /// When the client may try again, in milliseconds from now.
    pub retry_after_ms: Option<u64>,
    /// The connection ends with this error.
    pub fatal: bool,
}

impl Refusal {
    /// Returns an error after which the connection stays open.
    pub fn error(code: &str, message: impl Into<String>) -> Self {
        Self {
            code: Arc::from(code),
            message: message.into(),
            detail: None,
            hint: None,
            not_run: false,
            retry_after_ms: None,
            fatal: false,
        }
    }

    /// Returns an error that ends the connection.
    pub fn fatal(code: &str, message: impl Into<String>) -> Self {
        Self {
            fatal: true,
            ..Self::error(code, message)
        }
    }

    /// States that the statement was not run, and when to come back if that is known.
    #[must_use]
    pub fn not_run(self, retry_after_ms: Option<u64>) -> Self {
        Self {
            not_run: true,
            retry_after_ms,
            ..self
        }
    }

    /// Returns the detail line: the machine-readable fields first, then the free text.
    pub fn detail_line(&self) -> Option<String> {
        let mut parts = Vec::new();
        if self.not_run {
            parts.push("not-run=true".to_owned());
        }
        if let Some(after) = self.retry_after_ms {
            parts.push(format!("retry-after-ms={after}"));
        }
        parts.extend(self.detail.clone());
        (!parts.is_empty()).then(|| parts.join(" "))
    }
}

impl From<endpoint::Error> for Refusal {
    fn from(error: endpoint::Error) -> Self {
        match error {
            endpoint::Error::Server {
                code,
                message,
                detail,
                hint,
                ..
            } => Self {
                code,
                message,
                detail,
                hint,
                not_run: false,
                retry_after_ms: None,
                fatal: false,
            },
            endpoint::Error::NotSent { .. } => {
                Self::error("08001", error.to_string()).not_run(None)
            }
            endpoint::Error::Unknown { .. } => Self::error("08007", error.to_string()),
        }
    }
}
