//! One instance, from its start to its end.

use std::collections::BTreeSet;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use clock::Span;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Error;
use crate::border::Listener;
use crate::failover;
use crate::node::Node;
use crate::node::Options;
use crate::node::Parts;
use crate::node::lock;
use crate::peers;
use crate::peers::Peers;
use crate::session;
use crate::task;

/// How often groups without a watch and the rotation are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// The period of reports of the load to other instances.
const REPORT_EVERY: Span = Span::from_secs(1);
/// Longest wait for slices of the rates before callers are taken; callers wait two seconds for the
/// start of their session.
const FIRST_SLICES: Duration = Duration::from_millis(800);
/// The period of the summary in the log.
const SUMMARY_EVERY: Span = Span::from_secs(10);
/// A stopping instance serves at least this long, until balancers have seen that it stops: they
/// ask once a second and need two misses.
const LINGER: Duration = Duration::from_millis(2_500);
/// Time kept for giving back the slices at the end of a stop.
const RELEASE_TIME: Duration = Duration::from_millis(1_000);

/// Runs one instance until `stop` ends; `ready_path` is where balancers ask whether it is ready.
pub async fn run(
    options: Options,
    parts: Parts,
    listener: Box<dyn Listener>,
    ready_path: &str,
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let peers = Peers::bind(options.peer).await?;
    let ready = TcpListener::bind(options.ready)
        .await
        .map_err(|cause| Error::Setup {
            step: "bind the ready address",
            why: format!("{}: {cause}", options.ready),
        })?;
    let stop_limit: Duration = options.stop_limit.into();
    let node = Node::open(options, parts, peers, task::rate_policy());
    log::info!(
        "event=started zone={} peer={} life={}",
        node.options.zone,
        node.options.peer,
        node.life
    );
    // They end with the instance.
    let mut tasks = JoinSet::new();
    tasks.spawn(answer_probes(
        Arc::clone(&node),
        ready,
        ready_path.to_owned(),
    ));
    tasks.spawn(task::follow_revisions(Arc::clone(&node)));
    tasks.spawn(task::follow_servers(Arc::clone(&node)));
    tasks.spawn(task::load_secret(Arc::clone(&node)));
    tasks.spawn(task::run_limiter(Arc::clone(&node)));
    tasks.spawn(peers::run(Arc::clone(&node)));
    tasks.spawn(watch(Arc::clone(&node)));
    let accepting = tasks.spawn(accept(Arc::clone(&node), listener));
    stop.await;
    leave(&node, accepting, stop_limit).await;
    log::info!("event=stopped");
    Ok(())
}

async fn accept(node: Arc<Node>, listener: Box<dyn Listener>) {
    // Until then no caller could be told whether its database and key are there, and every one
    // would be above its account's rate.
    node.wait_for_settings().await;
    if timeout(FIRST_SLICES, task::wait_for_slices(&node))
        .await
        .is_err()
    {
        log::warn!("event=accepting-without-slices");
    }
    loop {
        match listener.accept().await {
            Ok(caller) => {
                tokio::spawn(session::serve(Arc::clone(&node), caller));
            }
            Err(error) => {
                log::warn!("event=caller-not-accepted why=\"{error}\"");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Starts a watch for each new group, and looks whether the instance can serve.
async fn watch(node: Arc<Node>) {
    let mut watched = BTreeSet::new();
    let mut watches = JoinSet::new();
    let mut summed_up = node.now();
    let mut reported = node.now();
    loop {
        if node.now() >= reported + REPORT_EVERY {
            reported = node.now();
            node.report_load().await;
        }
        if node.now() >= summed_up + SUMMARY_EVERY {
            summed_up = node.now();
            sum_up(&node);
        }
        for group in node.groups() {
            if watched.insert(Arc::clone(&group.name)) {
                watches.spawn(task::leader::run(Arc::clone(&node), Arc::clone(&group)));
                watches.spawn(failover::watch_departed(Arc::clone(&node), group));
            }
        }
        let (changed, is_ready) = {
            let mut rotation = lock(&node.rotation);
            (rotation.step(node.now()), rotation.is_ready())
        };
        if changed {
            log::info!("event=rotation ready={is_ready}");
        }
        if !is_ready {
            node.leaving.notify_waiters();
        }
        // New settings may bring new groups.
        let _elapsed = timeout(LOOK_EVERY, node.applied.notified()).await;
    }
}

/// Writes the counters to the log, for whoever has only the log.
fn sum_up(node: &Node) {
    let meter = &node.meter;
    log::info!(
        "event=summary sessions={} statements={} peer_bytes={} leader_questions={} revision={}",
        meter.sessions.get(),
        meter.statements.get(),
        meter.peer_bytes.get(),
        meter.leader_questions.get(),
        node.revision().number
    );
}

async fn answer_probes(node: Arc<Node>, listener: TcpListener, path: String) {
    let probed = Arc::clone(&node);
    let ready = move || {
        let node = Arc::clone(&probed);
        async move {
            let is_leaving = node.is_leaving.load(Ordering::Relaxed);
            if !is_leaving && lock(&node.rotation).is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    };
    let metrics = move || {
        let node = Arc::clone(&node);
        async move { node.meter.text() }
    };
    let router = Router::new()
        .route(&path, get(ready))
        .route("/metrics", get(metrics));
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("event=probes-ended why=\"{error}\"");
    }
}

/// Ends without cutting a request: sessions close as soon as they rest.
async fn leave(node: &Arc<Node>, accepting: AbortHandle, limit: Duration) {
    log::info!("event=stopping sessions={}", node.meter.sessions.get());
    let begun = Instant::now();
    node.is_leaving.store(true, Ordering::Relaxed);
    let last = begun + limit.saturating_sub(RELEASE_TIME);
    end_sessions(node, begun + LINGER, last).await;
    // From here on a new caller finds nobody and goes elsewhere at once.
    accepting.abort();
    end_sessions(node, Instant::now(), last + RELEASE_TIME / 2).await;
    log::info!("event=sessions-ended left={}", node.meter.sessions.get());
    task::release_slices(node).await;
}

/// Waits until no session is left, from `first` to `last`.
async fn end_sessions(node: &Arc<Node>, first: Instant, last: Instant) {
    while Instant::now() < last {
        node.leaving.notify_waiters();
        let is_empty = node.meter.sessions.get() == 0;
        if is_empty && Instant::now() >= first {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}
