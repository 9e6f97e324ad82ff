//! Accepts clients' connections and ends them in order.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Time;
use snafu::ResultExt;
use socket2::SockRef;
use socket2::TcpKeepalive;
use timeline::Kind;
use timeline::event;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Ending;
use crate::Error;
use crate::Options;
use crate::Refusal;
use crate::client;
use crate::error::BindSnafu;
use crate::shared::Shared;

/// How long accepting pauses after it failed, for instance for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long a connection is silent before its client is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);
/// How often a silent client is probed.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// How long connections may take to end once the deadline of `drain` has passed.
const CUT_TIMEOUT: Duration = Duration::from_secs(2);

/// A running listener; dropping it stops accepting and lets open connections go on.
pub struct Listener {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: CancellationToken,
    connections: TaskTracker,
}

impl Listener {
    /// Listens on the address and serves clients from here on.
    pub async fn bind(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let shared = Arc::new(Shared::open(options)?);
        let listener = TcpListener::bind(address).await;
        let listener = listener.context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let accepting = CancellationToken::new();
        let connections = TaskTracker::new();
        let accept = accept(
            listener,
            Arc::clone(&shared),
            accepting.clone(),
            connections.clone(),
        );
        tokio::spawn(accept);
        Ok(Self {
            address,
            shared,
            accepting,
            connections,
        })
    }

    /// Returns the address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open sessions.
    pub fn sessions(&self) -> usize {
        self.shared.session_count()
    }

    /// Accepts no further connections; open ones go on.
    pub fn stop_accepting(&self) {
        self.accepting.cancel();
    }

    /// Ends all connections between transactions, and cuts those left at the deadline.
    ///
    /// Returns the number of connections that were cut.
    pub async fn drain(&self, deadline: Time) -> usize {
        self.stop_accepting();
        self.connections.close();
        self.shared.stop.send_replace(Some(stopping(false)));
        let now = self.shared.options.clock.now();
        let left = Duration::from(deadline.since(now));
        if tokio::time::timeout(left, self.connections.wait())
            .await
            .is_ok()
        {
            return 0;
        }
        let cut = self.connections.len();
        let late = event(Kind::Stop, "drain-deadline").with("connections", cut);
        self.shared.options.ring.record(late);
        self.shared.stop.send_replace(Some(stopping(true)));
        // A connection that still does not end is dropped with its task.
        let _elapsed = tokio::time::timeout(CUT_TIMEOUT, self.connections.wait()).await;
        cut
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.accepting.cancel();
    }
}

fn stopping(at_once: bool) -> Ending {
    let refusal = Refusal::fatal("57P01", "this instance is stopping; connect again");
    Ending {
        refusal: Refusal {
            retry_after_ms: (!at_once).then_some(0),
            ..refusal
        },
        at_once,
        after_transaction: !at_once,
    }
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    accepting: CancellationToken,
    connections: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = accepting.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => start(&shared, &connections, stream, peer),
            Err(error) => {
                let failed = event(Kind::Input, "accept-failed").with("why", error);
                shared.options.ring.record(failed);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Sends small messages at once, and finds out about clients that vanished without a word.
fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

fn start(shared: &Arc<Shared>, connections: &TaskTracker, stream: TcpStream, peer: SocketAddr) {
    if let Err(error) = prepare(&stream) {
        log::debug!("step=accept peer={peer} why={error}");
    }
    connections.spawn(client::serve(Arc::clone(shared), stream, peer));
}
