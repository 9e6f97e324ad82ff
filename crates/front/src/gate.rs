//! The border to the rest of the proxy: who may log in, and what runs a session's requests.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;

use crate::Ended;
use crate::Refusal;
use crate::Request;
use crate::Response;
use crate::Transaction;

/// What a client said when it connected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The client account, sent as the user.
    pub account: Arc<str>,
    /// The route, sent as the database.
    pub database: Arc<str>,
    /// The client's address.
    pub peer: SocketAddr,
    /// The other startup parameters, such as `application_name`.
    pub parameters: BTreeMap<Arc<str>, String>,
}

/// What a SCRAM-SHA-256 login is checked against; it holds no key.
#[derive(Clone)]
pub struct Credential {
    /// The salt that all keys of the account share.
    pub salt: Vec<u8>,
    /// The iterations that all keys of the account share.
    pub iterations: u32,
    /// One verifier a key in force; a decoy for an unknown account has one that no key matches.
    pub verifiers: Vec<Verifier>,
}

/// The stored half of one key.
#[derive(Clone)]
pub struct Verifier {
    /// The key's name, which is not secret.
    pub id: Arc<str>,
    /// The SCRAM `StoredKey`.
    pub stored_key: [u8; 32],
    /// The SCRAM `ServerKey`.
    pub server_key: [u8; 32],
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(&self.verifiers).finish()
    }
}

impl fmt::Debug for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Verifier").field(&self.id).finish()
    }
}

/// Decides who may log in and opens sessions.
#[async_trait]
pub trait Gate: Send + Sync {
    /// Returns what the login is checked against, or `None` if the route is open to all.
    ///
    /// An unknown account gets a decoy whose salt is the same at every try.
    async fn credential(&self, hello: &Hello) -> Result<Option<Credential>, Refusal>;

    /// Opens a session; `key` names the key that matched, and is `None` on a route open to all.
    async fn open(&self, hello: Hello, key: Option<Arc<str>>) -> Result<Box<dyn Session>, Refusal>;
}

/// One client's session.
#[async_trait]
pub trait Session: Send {
    /// Runs a request and returns its whole answer.
    ///
    /// The future is dropped if the client vanishes; `close` is still called then.
    async fn run(&mut self, request: Request) -> Result<Response, Refusal>;

    /// Returns the transaction state after the latest request, also after a refused one.
    fn transaction(&self) -> Transaction;

    /// Asks how a statement would look, without running it.
    async fn describe(
        &mut self,
        statement: &sql::Statement,
        types: &[u32],
    ) -> Result<endpoint::Description, Refusal>;

    /// Returns what cancels the running statement.
    fn canceller(&self) -> Arc<dyn Cancel>;

    /// Returns where the session's end is announced.
    fn ended(&self) -> Ended;

    /// Ends the session and gives its connections back or drops them.
    async fn close(self: Box<Self>);
}

/// Cancels a session's running statement from another task.
#[async_trait]
pub trait Cancel: Send + Sync {
    /// Asks for the running statement to be cancelled; there is no promise that it is.
    async fn cancel(&self);
}
