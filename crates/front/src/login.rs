//! From the first byte to an open session.

use std::net::SocketAddr;
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use bytes::Bytes;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::SslNegotiationMetaMessage;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::response::GssEncResponse;
use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::NegotiateProtocolVersion;
use pgwire::messages::startup::PasswordMessageFamily;
use pgwire::messages::startup::Startup;
use timeline::Kind;
use timeline::event;
use tokio::net::TcpStream;

use crate::Credential;
use crate::Error;
use crate::Exchange;
use crate::Hello;
use crate::Outcome;
use crate::Refusal;
use crate::Session;
use crate::codec::guarded;
use crate::reply;
use crate::scram::MECHANISM;
use crate::shared::Shared;
use crate::wire::Wire;

/// The newest minor version of protocol 3 that is spoken.
const NEWEST_MINOR: u16 = 2;
/// The longest accepted name of an account or a route, in bytes.
const NAME_BYTES: usize = 128;
/// Characters of a client's text that an event holds.
const EVENT_CHARS: usize = 256;
/// Values by which a client says that it asks for no replication.
const OFF: [&str; 4] = ["false", "off", "no", "0"];
/// The bytes of the server's part of the nonce.
const NONCE_BYTES: usize = 18;

/// What a new connection turned out to be.
pub enum Entry {
    /// A client that logged in.
    Session {
        /// The connection.
        wire: Box<Wire>,
        /// Its session.
        session: Box<dyn Session>,
        /// The name of the client account.
        account: Arc<str>,
        /// Whether the client knows long cancel keys.
        long_key: bool,
    },
    /// A request to cancel another connection's statement.
    Cancel(CancelRequest),
    /// A client that was refused and has been told so.
    Refused,
}

/// Takes a new connection up to an open session.
pub async fn enter(shared: &Shared, stream: TcpStream, peer: SocketAddr) -> Result<Entry, Error> {
    let (mut wire, first, secure) = negotiate(shared, stream, peer).await?;
    let startup = match first {
        PgWireFrontendMessage::Startup(startup) => startup,
        PgWireFrontendMessage::CancelRequest(request) => return Ok(Entry::Cancel(request)),
        _ => return Err(unexpected("startup", peer)),
    };
    wire.codec().begin_login();
    let minor = agree(&mut wire, &startup).await?;
    let hello = hello(&startup, peer);
    let account = Arc::from(printable(&hello.account));
    match log_in(shared, &mut wire, hello, secure).await? {
        Ok(session) => Ok(Entry::Session {
            wire: Box::new(wire),
            session,
            account,
            long_key: minor >= NEWEST_MINOR,
        }),
        Err(refusal) => {
            refuse(shared, wire, &account, &refusal).await?;
            Ok(Entry::Refused)
        }
    }
}

/// Answers requests for encryption until the startup message or a cancel request comes.
async fn negotiate(
    shared: &Shared,
    stream: TcpStream,
    peer: SocketAddr,
) -> Result<(Wire, PgWireFrontendMessage, bool), Error> {
    let write = shared.options.limits.write;
    let mut wire = Wire::new(Box::new(stream), peer, write);
    let mut secure = false;
    loop {
        let request = match wire.next().await? {
            PgWireFrontendMessage::SslNegotiation(request) => request,
            other => return Ok((wire, other, secure)),
        };
        match (request, &shared.acceptor) {
            (SslNegotiationMetaMessage::PostgresSsl(_), Some(acceptor)) if !secure => {
                let accept = PgWireBackendMessage::SslResponse(SslResponse::Accept);
                wire.send(accept).await?;
                let encrypted = acceptor.accept(wire.into_stream()?).await;
                let encrypted = encrypted.map_err(|error| Error::Malformed {
                    step: "negotiate",
                    peer,
                    why: error.to_string(),
                })?;
                wire = Wire::new(Box::new(encrypted), peer, write);
                secure = true;
            }
            (SslNegotiationMetaMessage::PostgresSsl(_), _) => {
                let refuse = PgWireBackendMessage::SslResponse(SslResponse::Refuse);
                wire.send(refuse).await?;
            }
            _ => {
                let refuse = PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse);
                wire.send(refuse).await?;
            }
        }
    }
}

/// Agrees on the protocol's minor version and returns it.
async fn agree(wire: &mut Wire, startup: &Startup) -> Result<u16, Error> {
    let asked = startup.protocol_number_minor;
    let options: Vec<String> = startup
        .parameters
        .keys()
        .filter(|name| name.starts_with("_pq_."))
        .cloned()
        .collect();
    let minor = if asked < NEWEST_MINOR {
        0
    } else {
        NEWEST_MINOR
    };
    if asked > NEWEST_MINOR || !options.is_empty() {
        let newest = Startup::PROTOCOL_VERSION_3_0 + i32::from(minor);
        let message = NegotiateProtocolVersion::new(newest, options);
        wire.feed(PgWireBackendMessage::NegotiateProtocolVersion(message))
            .await?;
    }
    Ok(minor)
}

fn hello(startup: &Startup, peer: SocketAddr) -> Hello {
    let mut parameters = startup.parameters.clone();
    let account = parameters.remove("user").unwrap_or_default();
    let database = parameters.remove("database").unwrap_or_default();
    parameters.retain(|name, _| !name.starts_with("_pq_."));
    let options = parameters.get("options").cloned().unwrap_or_default();
    parameters.extend(own_options(&options));
    Hello {
        account: Arc::from(account),
        database: Arc::from(database),
        peer,
        parameters: parameters
            .into_iter()
            .map(|(name, value)| (Arc::from(name), value))
            .collect(),
    }
}

/// Returns the proxy's own variables of `-c yuccamount.NAME=VALUE`, such as a token from another
/// session.
fn own_options(options: &str) -> Vec<(String, String)> {
    let words: Vec<&str> = options.split_ascii_whitespace().collect();
    let mut own = Vec::new();
    for (index, word) in words.iter().enumerate() {
        let joined = word.strip_prefix("-c").or(word.strip_prefix("--"));
        let setting = match joined {
            Some("") => words.get(index + 1).copied(),
            joined => joined,
        };
        let Some((name, value)) = setting.and_then(|setting| setting.split_once('=')) else {
            continue;
        };
        if name.starts_with("yuccamount.") {
            own.push((name.to_owned(), value.to_owned()));
        }
    }
    own
}

/// Checks the key, if the route asks for one, and opens the session.
async fn log_in(
    shared: &Shared,
    wire: &mut Wire,
    hello: Hello,
    secure: bool,
) -> Result<Result<Box<dyn Session>, Refusal>, Error> {
    if let Err(refusal) = admissible(shared, &hello, secure) {
        return Ok(Err(refusal));
    }
    let credential = match shared.options.gate.credential(&hello).await {
        Ok(credential) => credential,
        Err(refusal) => return Ok(Err(refusal)),
    };
    let key = match credential {
        None => None,
        Some(credential) => match check(wire, credential).await? {
            Outcome::Accepted { key, server_final } => {
                let message = Authentication::SASLFinal(Bytes::from(server_final));
                wire.feed(PgWireBackendMessage::Authentication(message))
                    .await?;
                Some(key)
            }
            Outcome::Rejected => {
                shared.count_failure(&hello);
                return Ok(Err(wrong_key(&hello.account)));
            }
        },
    };
    Ok(shared.options.gate.open(hello, key).await)
}

/// Refuses what needs no look at the key.
fn admissible(shared: &Shared, hello: &Hello, secure: bool) -> Result<(), Refusal> {
    if hello.account.is_empty() {
        return Err(Refusal::fatal(
            "28000",
            "no user name; send the client account as user",
        ));
    }
    if hello.account.len() > NAME_BYTES || hello.database.len() > NAME_BYTES {
        return Err(Refusal::fatal(
            "28000",
            "the user or database name is too long",
        ));
    }
    if shared.requires_tls() && !secure {
        return Err(Refusal::fatal(
            "28000",
            "TLS is required; connect with sslmode=require",
        ));
    }
    let replication = hello.parameters.get("replication");
    if replication.is_some_and(|value| !OFF.contains(&value.as_str())) {
        return Err(Refusal::fatal(
            "0A000",
            "replication is not served; connect to the endpoint",
        ));
    }
    let encoding = hello.parameters.get("client_encoding");
    if encoding.is_some_and(|name| !is_utf8(name)) {
        return Err(Refusal::fatal(
            "22023",
            "only client_encoding UTF8 is served",
        ));
    }
    if let Some(wait) = shared.login_blocked_for(hello) {
        let refusal = Refusal::fatal("53300", "too many failed logins; try again later");
        return Err(refusal.not_run(Some(wait.as_millis().max(1))));
    }
    Ok(())
}

fn is_utf8(encoding: &str) -> bool {
    let plain: String = encoding
        .chars()
        .filter(char::is_ascii_alphanumeric)
        .collect();
    plain.eq_ignore_ascii_case("utf8") || plain.eq_ignore_ascii_case("unicode")
}

/// The same text for an unknown account, a wrong key and a withdrawn key.
fn wrong_key(account: &str) -> Refusal {
    let message = format!("password authentication failed for user \"{account}\"");
    Refusal::fatal("28P01", message)
}

/// Runs the exchange of messages that proves a key.
async fn check(wire: &mut Wire, credential: Credential) -> Result<Outcome, Error> {
    let peer = wire.peer();
    let offer = Authentication::SASL(vec![MECHANISM.to_owned()]);
    wire.send(PgWireBackendMessage::Authentication(offer))
        .await?;
    let first = password(wire).await?;
    let first = guarded(|| first.into_sasl_initial_response());
    let first = first.map_err(|why| malformed(peer, why))?;
    if first.auth_method != MECHANISM {
        return Err(malformed(peer, "another mechanism than SCRAM-SHA-256"));
    }
    let nonce = STANDARD_NO_PAD.encode(rand::random::<[u8; NONCE_BYTES]>());
    let exchange = Exchange::begin(credential, &first.data.unwrap_or_default(), &nonce)
        .map_err(|why| malformed(peer, why))?;
    let challenge = Bytes::from(exchange.server_first().to_owned());
    wire.send(PgWireBackendMessage::Authentication(
        Authentication::SASLContinue(challenge),
    ))
    .await?;
    let last = password(wire).await?;
    let last = guarded(|| last.into_sasl_response());
    let last = last.map_err(|why| malformed(peer, why))?;
    exchange
        .finish(&last.data)
        .map_err(|why| malformed(peer, why))
}

async fn password(wire: &mut Wire) -> Result<PasswordMessageFamily, Error> {
    match wire.next().await? {
        PgWireFrontendMessage::PasswordMessageFamily(message) => Ok(message),
        PgWireFrontendMessage::Terminate(_) => Err(Error::Closed {
            step: "login",
            peer: wire.peer(),
        }),
        _ => Err(unexpected("login", wire.peer())),
    }
}

/// Tells the client why it is refused.
async fn refuse(
    shared: &Shared,
    mut wire: Wire,
    account: &str,
    refusal: &Refusal,
) -> Result<(), Error> {
    let refused = event(Kind::Key, "login-refused")
        .with("account", account)
        .with("peer", wire.peer())
        .with("code", &refusal.code)
        .with("why", printable(&refusal.message));
    shared.options.ring.record(refused);
    let refusal = Refusal {
        fatal: true,
        ..refusal.clone()
    };
    wire.send(reply::error(&refusal)).await?;
    wire.close().await;
    Ok(())
}

/// Returns a client's text as an event may hold it: bounded, and without control characters.
fn printable(text: &str) -> String {
    text.chars()
        .take(EVENT_CHARS)
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}

fn malformed(peer: SocketAddr, why: impl ToString) -> Error {
    Error::Malformed {
        step: "login",
        peer,
        why: why.to_string(),
    }
}

fn unexpected(step: &'static str, peer: SocketAddr) -> Error {
    Error::Malformed {
        step,
        peer,
        why: "a message that does not belong here".to_owned(),
    }
}
