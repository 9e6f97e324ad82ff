//! The life of the process: start, serving, planned stop.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use account::key;
use account::rate;
use account::rate::Limiter;
use clock::Boot;
use clock::Clock;
use clock::Span;
use endpoint::Postgres;
use front::Limits;
use front::Listener;
use front::Tls;
use membership::Lease;
use membership::Members;
use membership::Phase;
use membership::Renewer;
use peer::Client;
use peer::Identity;
use peer::Server;
use rand::Rng;
use settings::Holder;
use settings::Start;
use store::Http;
use timeline::Kind;
use timeline::Ring;
use timeline::event;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::conf::Options;
use crate::error::Error;
use crate::gate::Gate;
use crate::logs;
use crate::metrics::Meter;
use crate::node::Node;
use crate::node::Registry;
use crate::node::lock;
use crate::task;
use crate::task::Responder;

/// Events that the process keeps.
const RING_CAPACITY: usize = 20_000;

/// Maximum time without any part of an answer from the platform's service.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a planned stop waits for transactions if no settings say so, in milliseconds.
const DRAIN_MS: u64 = 30_000;

/// How long the balancer is given to see that the instance is no longer ready.
const UNREADY_FIRST: Duration = Duration::from_millis(300);

/// Runs an instance until it is told to stop.
pub async fn run(options: Options) -> Result<(), Error> {
    logs::open(options.log_level)?;
    let instance = Instance::open(options).await?;
    wait_for_stop().await?;
    instance.stop().await;
    Ok(())
}

/// One running instance.
pub struct Instance {
    node: Arc<Node>,
    listener: Listener,
    _peers: Server,
    admin: AbortHandle,
}

impl Instance {
    /// Opens all ports and starts all tasks.
    pub async fn open(options: Options) -> Result<Self, Error> {
        let node = open(options)?;
        let peers = listen_for_peers(&node).await?;
        let admin = TcpListener::bind(&*node.options.admin)
            .await
            .map_err(|cause| bind("listen for operators", &node.options.admin, &cause))?;
        let router = crate::control::router(&node)?;
        let admin = tokio::spawn(async move { axum::serve(admin, router).await });
        task::spawn(&node);
        let listener = listen(&node).await?;
        node.ring.record(
            event(Kind::Start, "serving")
                .with("listen", &node.options.listen)
                .with("zone", &node.options.zone),
        );
        Ok(Self {
            node,
            listener,
            _peers: peers,
            admin: admin.abort_handle(),
        })
    }

    /// Returns the state that the instance's tasks share.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Ends what runs, gives everything back and tells what had to be cut.
    pub async fn stop(self) {
        let node = &self.node;
        node.ring.record(event(Kind::Stop, "begun"));
        node.is_stopping.store(true, Ordering::Relaxed);
        lock(&node.renewer).leave(node.now());
        tokio::time::sleep(UNREADY_FIRST).await;
        let stop_ms = node
            .held()
            .map_or(DRAIN_MS, |held| held.tree.resolve_root().stop_ms);
        let deadline = node.now() + Span::from_millis(stop_ms);
        let cut = self.listener.drain(deadline).await;
        task::return_slices(node).await;
        for handle in node.all_groups() {
            handle.stop.cancel();
        }
        task::release_lease(node).await;
        self.admin.abort();
        node.ring.record(event(Kind::Stop, "done").with("cut", cut));
    }
}

async fn listen_for_peers(node: &Arc<Node>) -> Result<Server, Error> {
    let identity = Identity {
        fleet: Arc::clone(&node.options.fleet),
        name: Arc::clone(&node.options.name),
        incarnation: node.incarnation,
    };
    Server::bind(
        &node.options.peer,
        identity,
        node.options.fleet_secret.as_bytes(),
        Arc::clone(&node.ring),
        Responder::open(Arc::clone(node)),
    )
    .await
    .map_err(|cause| bind("listen for peers", &node.options.peer, &cause))
}

fn open(options: Options) -> Result<Arc<Node>, Error> {
    // Proofs and leases must also end while the machine is suspended.
    let clock: Arc<dyn Clock> = Arc::new(Boot);
    let ring = Ring::open(Arc::clone(&options.name), Arc::clone(&clock), RING_CAPACITY);
    let platform =
        Http::open(&options.platform, PLATFORM_TIMEOUT).map_err(|cause| Error::Setup {
            step: "platform client",
            why: cause.to_string(),
        })?;
    let incarnation = rand::rng().random_range(1..u64::MAX);
    let identity = Identity {
        fleet: Arc::clone(&options.fleet),
        name: Arc::clone(&options.name),
        incarnation,
    };
    let transport = Client::open(identity, options.fleet_secret.as_bytes(), Arc::clone(&ring));
    let peer: SocketAddr = options.peer.parse().map_err(|_| Error::Flag {
        flag: "--peer".to_owned(),
        value: options.peer.to_string(),
        allowed: "an IP number and a port, IP:PORT".to_owned(),
    })?;
    let limiter = Limiter::open(&options.name, incarnation, peer, rate::Policy::default());
    Ok(Arc::new(Node {
        incarnation,
        ring,
        table: platform.clone(),
        objects: platform.clone(),
        roster: platform,
        connector: Postgres::open(),
        transport,
        holder: Mutex::new(Holder::open(Arc::clone(&options.name))),
        members: Mutex::new(Members::open(member(&options, incarnation))),
        renewer: Mutex::new(Renewer::open(lease(&options, incarnation))),
        start: Mutex::new(Start::begin(
            clock.now(),
            rand::rng().random_range(0..1_000),
        )),
        is_lease_released: tokio::sync::Mutex::new(false),
        lease_span: Mutex::new(None),
        keyring: Mutex::new(key::Keyring::open(key::Policy::default())),
        limiter: Mutex::new(limiter),
        limiter_wake: Notify::new(),
        tokens_added: Notify::new(),
        applying: Mutex::default(),
        leaving: Mutex::default(),
        evacuated: Mutex::default(),
        groups: Mutex::new(BTreeMap::new()),
        meter: Meter::open(),
        sessions: Registry::default(),
        tokens: tokens(&options),
        settings: watch::channel(None).0,
        is_stopping: AtomicBool::new(false),
        sequence: AtomicU64::new(0),
        clock,
        options,
    }))
}

fn member(options: &Options, life: u64) -> membership::Identity {
    membership::Identity {
        fleet: Arc::clone(&options.fleet),
        name: Arc::clone(&options.name),
        life,
        zone: Arc::clone(&options.zone),
    }
}

fn lease(options: &Options, life: u64) -> Lease {
    Lease {
        name: Arc::clone(&options.name),
        life,
        zone: Arc::clone(&options.zone),
        address: Arc::clone(&options.peer),
        admin: Arc::clone(&options.admin),
        lease_ms: settings::Effective::default().lease_ms,
        phase: Phase::Live,
        revision: 0,
    }
}

/// Names each secret by its hash, so that instances agree on the names during a rotation.
fn tokens(options: &Options) -> session::Keyring {
    let current = options.fleet_secret.as_bytes();
    let ring = session::Keyring::open(secret_id(current), Arc::from(current));
    match &options.previous_fleet_secret {
        Some(previous) => {
            let previous = previous.as_bytes();
            ring.with_previous(secret_id(previous), Arc::from(previous))
        }
        None => ring,
    }
}

fn secret_id(secret: &[u8]) -> u32 {
    use sha2::Digest;
    let hash = sha2::Sha256::digest(secret);
    u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]])
}

async fn listen(node: &Arc<Node>) -> Result<Listener, Error> {
    let address: SocketAddr = node.options.listen.parse().map_err(|_| Error::Flag {
        flag: "--listen".to_owned(),
        value: node.options.listen.to_string(),
        allowed: "an IP number and a port, IP:PORT".to_owned(),
    })?;
    let tls = node.options.tls.as_ref().map(|(certificate, key)| Tls {
        certificate: certificate.clone(),
        key: key.clone(),
        required: true,
    });
    let options = front::Options {
        gate: Gate::open(Arc::clone(node)),
        ring: Arc::clone(&node.ring),
        clock: Arc::clone(&node.clock),
        tls,
        limits: Limits::default(),
    };
    Listener::bind(address, options)
        .await
        .map_err(|cause| bind("listen for callers", &node.options.listen, &cause))
}

async fn wait_for_stop() -> Result<(), Error> {
    let setup = |cause: std::io::Error| Error::Setup {
        step: "signals",
        why: cause.to_string(),
    };
    let mut terminate = signal(SignalKind::terminate()).map_err(setup)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(setup)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn bind(step: &'static str, peer: &str, cause: &dyn std::fmt::Display) -> Error {
    Error::Bind {
        step,
        peer: peer.to_owned(),
        why: cause.to_string(),
    }
}
