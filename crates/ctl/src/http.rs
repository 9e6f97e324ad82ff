//! Requests to one instance.

use std::time::Duration;

use async_trait::async_trait;
use serde_json::Value;

use crate::Error;

/// How long to wait for an answer; instances answer sooner, see the guard of `admin`.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A request's method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "UPPERCASE")]
pub enum Method {
    /// Read.
    Get,
    /// Change.
    Post,
    /// Remove.
    Delete,
}

/// A request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The body, if any.
    pub body: Option<Value>,
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Sends requests to instances.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Sends one request and returns the answer, whatever its status.
    async fn send(&self, address: &str, request: &Request) -> Result<Reply, Error>;
}

/// Sends requests over HTTP.
pub struct Http {
    client: reqwest::Client,
    token: String,
}

impl Http {
    /// Opens a transport for an operator's token.
    pub fn open(token: &str) -> Self {
        Self {
            client: reqwest::Client::new(),
            token: token.to_owned(),
        }
    }
}

#[async_trait]
impl Transport for Http {
    async fn send(&self, address: &str, request: &Request) -> Result<Reply, Error> {
        let url = format!("http://{address}{}", request.path);
        let call = match request.method {
            Method::Get => self.client.get(url),
            Method::Post => self.client.post(url),
            Method::Delete => self.client.delete(url),
        };
        let mut call = call.bearer_auth(&self.token).timeout(REQUEST_TIMEOUT);
        if let Some(body) = &request.body {
            call = call.json(body);
        }
        let lost = |error: reqwest::Error| Error::Unreachable {
            step: format!("{} {}", request.method, request.path),
            peer: address.to_owned(),
            why: causes(&error),
            may_have_arrived: !error.is_connect(),
        };
        let response = call.send().await.map_err(lost)?;
        let status = response.status().as_u16();
        let body = response.bytes().await.map_err(lost)?.to_vec();
        Ok(Reply { status, body })
    }
}

/// Returns an error with all its causes.
fn causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
