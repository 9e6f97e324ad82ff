//! JSON over HTTP to control and admin ports.

use std::time::Duration;

use reqwest::Client;
use reqwest::Method;
use reqwest::StatusCode;
use serde_json::Value;

use crate::Error;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A client of control and admin ports.
#[derive(Clone)]
pub struct Http {
    client: Client,
}

impl Http {
    /// Opens a client.
    pub fn open() -> Result<Self, Error> {
        let client = Client::builder().timeout(TIMEOUT).no_proxy().build();
        let client = client.map_err(|error| Error::peer("open client", "", error))?;
        Ok(Self { client })
    }

    /// Sends a request and returns its status and its JSON answer, `null` if there is none.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        token: Option<&str>,
        body: Option<&Value>,
    ) -> Result<(StatusCode, Value), Error> {
        let mut request = self.client.request(method, url);
        if let Some(token) = token {
            request = request.bearer_auth(token);
        }
        if let Some(body) = body {
            request = request.json(body);
        }
        let failed = |error: reqwest::Error| Error::peer("call", url, error);
        let response = request.send().await.map_err(failed)?;
        let status = response.status();
        let text = response.text().await.map_err(failed)?;
        Ok((status, serde_json::from_str(&text).unwrap_or_default()))
    }

    /// Gets JSON.
    pub async fn get(&self, url: &str, token: Option<&str>) -> Result<Value, Error> {
        let (status, value) = self.call(Method::GET, url, token, None).await?;
        accepted(url, status, value)
    }

    /// Posts JSON and expects success.
    pub async fn post(&self, url: &str, token: Option<&str>, body: &Value) -> Result<Value, Error> {
        let (status, value) = self.call(Method::POST, url, token, Some(body)).await?;
        accepted(url, status, value)
    }
}

fn accepted(url: &str, status: StatusCode, value: Value) -> Result<Value, Error> {
    if status.is_success() {
        return Ok(value);
    }
    Err(Error::peer("call", url, format!("{status} {value}")))
}
