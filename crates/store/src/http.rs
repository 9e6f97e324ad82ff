//! An HTTP client of the platform's JSON API.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use reqwest::Client;
use reqwest::ClientBuilder;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::header::CONTENT_TYPE;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::Condition;
use crate::Error;
use crate::Machine;
use crate::Object;
use crate::Objects;
use crate::Outcome;
use crate::Roster;
use crate::Row;
use crate::Table;
use crate::Write;

/// The header that carries an object's version.
const VERSION_HEADER: &str = "x-version";

/// The slowest rate at which a large write is still sent to its end, in bytes a second.
const UPLOAD_RATE_MIN: u32 = 64_000;

/// A client of the platform's JSON API.
pub struct Http {
    /// Gives up a call once no part of its reply has arrived for the time limit.
    reader: Client,
    /// Has no time limit of its own: that of a write depends on its size.
    writer: Client,
    /// The time limit for a reply to begin or go on.
    limit: Duration,
    /// The base URL, without a trailing slash.
    base: String,
}

#[derive(Serialize)]
struct Transaction {
    conditions: Vec<Condition>,
    writes: Vec<Write>,
}

#[derive(Deserialize)]
struct PutResponse {
    version: u64,
}

impl Http {
    /// Opens a client of the platform at the URL `base`.
    ///
    /// A read is given up once no part of its reply has arrived for `limit`. A write has that time
    /// and what its body needs at `UPLOAD_RATE_MIN`.
    pub fn open(base: &str, limit: Duration) -> Result<Arc<Self>, Error> {
        let build = |builder: ClientBuilder| {
            let built = builder.connect_timeout(limit).no_proxy().build();
            built.map_err(|cause| Error::Refused {
                step: "open",
                peer: base.to_owned(),
                why: cause.to_string(),
            })
        };
        Ok(Arc::new(Self {
            reader: build(Client::builder().read_timeout(limit))?,
            writer: build(Client::builder())?,
            limit,
            base: base.trim_end_matches('/').to_owned(),
        }))
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    /// Sends a read-only request; every failure means that it had no effect.
    async fn read(&self, step: &'static str, request: RequestBuilder) -> Result<Response, Error> {
        let response = request.send().await;
        let response = response.map_err(|cause| self.refused(step, cause.to_string()))?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(self.refused(step, response.status().to_string()))
    }

    /// Sends a write. The outcome is unknown after a server error, or if the request fails after the
    /// connection was made.
    async fn write(
        &self,
        step: &'static str,
        request: RequestBuilder,
        body: Vec<u8>,
    ) -> Result<Response, Error> {
        // CAST: a body is far below 2^32 bytes.
        let upload = Duration::from_secs(1) * body.len() as u32 / UPLOAD_RATE_MIN;
        let request = request.timeout(self.limit + upload).body(body);
        match request.send().await {
            Ok(response) if response.status().is_server_error() => {
                Err(self.unknown(step, response.status().to_string()))
            }
            Ok(response) => Ok(response),
            Err(cause) if cause.is_connect() => Err(self.refused(step, cause.to_string())),
            Err(cause) => Err(self.unknown(step, cause.to_string())),
        }
    }

    /// Receives the reply to a read.
    async fn receive<T: DeserializeOwned>(
        &self,
        step: &'static str,
        response: Response,
    ) -> Result<T, Error> {
        let body = response.json().await;
        body.map_err(|cause| self.refused(step, cause.to_string()))
    }

    /// Receives the reply to a write, which may have taken effect even if the reply can't be received.
    async fn receive_outcome<T: DeserializeOwned>(
        &self,
        step: &'static str,
        response: Response,
    ) -> Result<T, Error> {
        let body = response.json().await;
        body.map_err(|cause| self.unknown(step, cause.to_string()))
    }

    fn refused(&self, step: &'static str, why: String) -> Error {
        Error::Refused {
            step,
            peer: self.base.clone(),
            why,
        }
    }

    fn unknown(&self, step: &'static str, why: String) -> Error {
        Error::Unknown {
            step,
            peer: self.base.clone(),
            why,
        }
    }
}

#[async_trait]
impl Table for Http {
    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        let request = self.reader.get(self.url("/table/row"));
        let response = self.read("get", request.query(&[("key", key)])).await?;
        self.receive("get", response).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let request = self.reader.get(self.url("/table/rows"));
        let request = request.query(&[("prefix", prefix)]);
        let response = self.read("list", request).await?;
        self.receive("list", response).await
    }

    async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<Outcome, Error> {
        let transaction = Transaction { conditions, writes };
        let body = serde_json::to_vec(&transaction).expect("a transaction serializes to JSON");
        let request = self.writer.post(self.url("/table/commit"));
        let request = request.header(CONTENT_TYPE, "application/json");
        let response = self.write("commit", request, body).await?;
        if !response.status().is_success() {
            return Err(self.refused("commit", response.status().to_string()));
        }
        self.receive_outcome("commit", response).await
    }
}

#[async_trait]
impl Objects for Http {
    async fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        let request = self.reader.get(self.url("/objects"));
        let response = request.query(&[("name", name)]).send().await;
        let response = response.map_err(|cause| self.refused("object", cause.to_string()))?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(self.refused("object", response.status().to_string()));
        }
        let version = response
            .headers()
            .get(VERSION_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok())
            .ok_or_else(|| {
                self.refused("object", "the response has no version header".to_owned())
            })?;
        let body = response.bytes().await;
        let body = body.map_err(|cause| self.refused("object", cause.to_string()))?;
        Ok(Some(Object {
            body: Arc::from(&body[..]),
            version,
        }))
    }

    async fn put(
        &self,
        name: &str,
        body: Arc<[u8]>,
        expected: Option<u64>,
    ) -> Result<Option<u64>, Error> {
        let mut request = self.writer.put(self.url("/objects"));
        request = request.query(&[("name", name)]);
        if let Some(version) = expected {
            request = request.query(&[("expected", version)]);
        }
        let response = self.write("put", request, body.to_vec()).await?;
        if response.status() == StatusCode::CONFLICT {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(self.refused("put", response.status().to_string()));
        }
        let response: PutResponse = self.receive_outcome("put", response).await?;
        Ok(Some(response.version))
    }
}

#[async_trait]
impl Roster for Http {
    async fn machines(&self) -> Result<Vec<Machine>, Error> {
        let request = self.reader.get(self.url("/roster"));
        let response = self.read("roster", request).await?;
        let entries: Vec<Box<RawValue>> = self.receive("roster", response).await?;
        Ok(entries.iter().filter_map(|entry| machine(entry)).collect())
    }
}

/// Returns the machine of a roster entry; one that can't be read leaves the others in force.
fn machine(entry: &RawValue) -> Option<Machine> {
    let machine = serde_json::from_str(entry.get());
    let machine = machine.inspect_err(|why| log::warn!("event=machine-unreadable why=\"{why}\""));
    machine.ok()
}
