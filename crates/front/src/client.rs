//! One client from its first byte to its last.

use std::net::SocketAddr;
use std::sync::Arc;

use std::time::Duration;

use timeline::Kind;
use timeline::event;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

use crate::Error;
use crate::Refusal;
use crate::connection::Connection;
use crate::login;
use crate::login::Entry;
use crate::reply;
use crate::shared::Shared;
use crate::wire::Wire;

/// When a client that found no room may come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Serves one client.
pub async fn serve(shared: Arc<Shared>, stream: TcpStream, peer: SocketAddr) {
    let Ok(permit) = Arc::clone(&shared.logins).try_acquire_owned() else {
        let wire = Wire::new(Box::new(stream), peer, shared.options.limits.write);
        return refuse(&shared, wire, "logins").await;
    };
    match enter(&shared, stream, peer).await {
        Ok(Entry::Session {
            wire,
            session,
            account,
            long_key,
        }) => {
            drop(permit);
            let Ok(permit) = Arc::clone(&shared.sessions).try_acquire_owned() else {
                session.close().await;
                return refuse(&shared, *wire, "sessions").await;
            };
            let connection = Connection::new(Arc::clone(&shared), *wire, session, account);
            run(connection, long_key, permit).await;
        }
        Ok(Entry::Cancel(request)) => {
            let known = shared.cancels.find(request.pid, &request.secret_key);
            let what = if known.is_some() {
                "cancel"
            } else {
                "cancel-unknown"
            };
            shared
                .options
                .ring
                .record(event(Kind::Session, what).with("peer", peer));
            if let Some(cancel) = known {
                cancel.cancel().await;
            }
        }
        Ok(Entry::Refused) => {}
        Err(error) => record(&shared, &error, peer),
    }
}

async fn enter(shared: &Shared, stream: TcpStream, peer: SocketAddr) -> Result<Entry, Error> {
    let limit = Duration::from(shared.options.limits.startup);
    let mut stop = shared.stop.subscribe();
    tokio::select! {
        entered = login::enter(shared, stream, peer) => entered,
        () = tokio::time::sleep(limit) => Err(Error::Timeout { step: "login", peer }),
        _ = stop.wait_for(Option::is_some) => Err(Error::Closed { step: "login", peer }),
    }
}

async fn run(connection: Connection, long_key: bool, permit: OwnedSemaphorePermit) {
    connection.run(long_key).await;
    drop(permit);
}

/// Tells a client that there is no room.
async fn refuse(shared: &Shared, mut wire: Wire, what: &str) {
    let full = event(Kind::Session, "refused")
        .with("peer", wire.peer())
        .with("limit", what);
    shared.options.ring.record(full);
    let refusal = Refusal::fatal("53300", "too many connections at this instance");
    let refusal = refusal.not_run(Some(RETRY_AFTER_MS));
    if wire.send(reply::error(&refusal)).await.is_ok() {
        wire.close().await;
    }
}

/// Records why a connection ended.
pub fn record(shared: &Shared, error: &Error, peer: SocketAddr) {
    let kind = if error.is_input() {
        Kind::Input
    } else {
        Kind::Session
    };
    let ended = event(kind, "connection-failed")
        .with("peer", peer)
        .with("why", error);
    shared.options.ring.record(ended);
}
