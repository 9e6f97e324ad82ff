//! The lifecycle of an instance.

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
use crate::external::Listener;
use crate::failover;
use crate::forward;
use crate::node::Dependencies;
use crate::node::Node;
use crate::node::Options;
use crate::node::lock;
use crate::peers;
use crate::peers::Peers;
use crate::session;
use crate::task;
use crate::task::background;

/// The interval of checks for new groups and for readiness.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The interval of load reports to other instances.
const LOAD_REPORT_INTERVAL: Span = Span::from_secs(1);
/// Time limit for fetching rate limit slices before callers are accepted; callers wait two seconds
/// for the start of their session.
const FIRST_SLICES_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The interval of the summary in the log.
const SUMMARY_INTERVAL: Span = Span::from_secs(10);
/// A stopping instance serves at least this long, until load balancers have noticed: they probe
/// once a second and need two failures.
const DRAIN_MIN: Duration = Duration::from_millis(2_500);
/// Every request is answered this long before the sessions of a stopping instance are cut, which
/// leaves time to send the reply.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Time reserved for returning the rate limit slices at the end of a stop.
const SLICE_RELEASE_TIME: Duration = Duration::from_millis(1_000);

/// Runs an instance until `stop` resolves; load balancers probe readiness at `ready_path`.
pub async fn run(
    options: Options,
    dependencies: Dependencies,
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
    let stop_timeout: Duration = options.stop_timeout.into();
    let node = Node::open(options, dependencies, peers, task::rate_policy());
    log::info!(
        "event=started zone={} peer={} life={}",
        node.options.zone,
        node.options.peer,
        node.incarnation
    );
    // Dropping the set aborts the tasks.
    let mut tasks = JoinSet::new();
    tasks.spawn(serve_probes(
        Arc::clone(&node),
        ready,
        ready_path.to_owned(),
    ));
    background::spawn(&mut tasks, "settings", &node, task::follow_revisions);
    background::spawn(&mut tasks, "servers", &node, task::follow_servers);
    background::spawn(&mut tasks, "leaders", &node, task::follow_appointments);
    background::spawn(&mut tasks, "reports", &node, task::follow_reports);
    background::spawn(&mut tasks, "secret", &node, task::load_secret);
    background::spawn(&mut tasks, "limiter", &node, task::run_limiter);
    background::spawn(&mut tasks, "peers", &node, peers::run);
    background::spawn(&mut tasks, "supervisor", &node, supervise);
    if node.options.is_forwarding {
        start_forwarding(&mut tasks, &node).await;
    }
    let accepting = tasks.spawn(accept(Arc::clone(&node), listener));
    stop.await;
    shut_down(&node, accepting, stop_timeout).await;
    log::info!("event=stopped");
    Ok(())
}

/// Runs statements for other instances and forwards statements to them.
///
/// Without the address, the row of this instance names no zone, so that nobody forwards to it.
async fn start_forwarding(tasks: &mut JoinSet<()>, node: &Arc<Node>) {
    match TcpListener::bind(node.options.peer).await {
        Ok(listener) => {
            let listener = Arc::new(listener);
            lock(&node.limiter).set_zone(&node.options.zone);
            background::spawn(tasks, "receiver", node, move |node| {
                forward::run_for_others(node, Arc::clone(&listener))
            });
        }
        Err(error) => log::warn!("event=forward-bind-failed why=\"{error}\""),
    }
    background::spawn(tasks, "links", node, forward::keep_links);
}

async fn accept(node: Arc<Node>, listener: Box<dyn Listener>) {
    // Before that the databases and keys are unknown, and every caller would exceed its account's
    // rate.
    node.wait_for_settings().await;
    if timeout(FIRST_SLICES_TIMEOUT, task::wait_for_slices(&node))
        .await
        .is_err()
    {
        log::warn!("event=accept-without-slices");
    }
    loop {
        match listener.accept().await {
            Ok(caller) => {
                tokio::spawn(session::serve(Arc::clone(&node), caller));
            }
            Err(error) => {
                log::warn!("event=accept-failed why=\"{error}\"");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Starts the tasks of each new group and keeps load reports and readiness up to date.
async fn supervise(node: Arc<Node>) {
    let mut watched = BTreeSet::new();
    let mut watches = JoinSet::new();
    let mut summarized = node.now();
    let mut reported = node.now();
    loop {
        if node.now() >= reported + LOAD_REPORT_INTERVAL {
            reported = node.now();
            node.report_load().await;
        }
        if node.now() >= summarized + SUMMARY_INTERVAL {
            summarized = node.now();
            log_summary(&node);
        }
        node.share_connections();
        node.count_servers();
        for group in node.groups() {
            if watched.insert(Arc::clone(&group.name)) {
                watches.spawn(task::leader::run(Arc::clone(&node), Arc::clone(&group)));
                watches.spawn(failover::watch_departed(Arc::clone(&node), group));
            }
        }
        let (changed, is_ready) = {
            let is_receiving = lock(&node.settings_reply).received() > 0;
            let mut readiness = lock(&node.readiness);
            (
                readiness.step(node.now(), is_receiving),
                readiness.is_ready(),
            )
        };
        if changed {
            log::info!("event=rotation ready={is_ready}");
        }
        if !is_ready {
            node.drain.notify_waiters();
        }
        // New settings may bring new groups.
        let _elapsed = timeout(CHECK_INTERVAL, node.applied.notified()).await;
    }
}

/// Logs the metrics for operators without access to the metrics endpoint.
fn log_summary(node: &Node) {
    let metrics = &node.metrics;
    log::info!(
        "event=summary sessions={} statements={} peer_bytes={} leader_questions={} revision={} \
         store_calls={} store_calls_by={}",
        metrics.sessions.get(),
        metrics.statements.get(),
        metrics.peer_bytes.get(),
        metrics.leader_questions.get(),
        node.revision().number,
        metrics.store_calls.total(),
        metrics.store_calls.summary()
    );
}

async fn serve_probes(node: Arc<Node>, listener: TcpListener, path: String) {
    let probed = Arc::clone(&node);
    let ready = move || {
        let node = Arc::clone(&probed);
        async move {
            let is_stopping = node.is_stopping.load(Ordering::Relaxed);
            if !is_stopping && lock(&node.readiness).is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    };
    let metrics = move || {
        let node = Arc::clone(&node);
        async move { node.metrics_text() }
    };
    let router = Router::new()
        .route(&path, get(ready))
        .route("/metrics", get(metrics));
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("event=probe-server-failed why=\"{error}\"");
    }
}

/// Shuts down gracefully: sessions close as soon as they are idle.
async fn shut_down(node: &Arc<Node>, accepting: AbortHandle, limit: Duration) {
    log::info!("event=stopping sessions={}", node.metrics.sessions.get());
    let begun = Instant::now();
    node.is_stopping.store(true, Ordering::Relaxed);
    let last = begun + limit.saturating_sub(SLICE_RELEASE_TIME);
    let cut = last + SLICE_RELEASE_TIME / 2;
    node.set_last_answer(cut - LAST_ANSWER_MARGIN);
    drain_sessions(node, begun + DRAIN_MIN, last).await;
    // From here on new callers are refused at once and connect to another instance.
    accepting.abort();
    drain_sessions(node, Instant::now(), cut).await;
    log::info!("event=sessions-ended left={}", node.metrics.sessions.get());
    task::release_slices(node).await;
}

/// Waits until no session is left, at least until `first` and at most until `last`.
async fn drain_sessions(node: &Arc<Node>, first: Instant, last: Instant) {
    while Instant::now() < last {
        node.drain.notify_waiters();
        let is_empty = node.metrics.sessions.get() == 0 && node.forwarder.running() == 0;
        if is_empty && Instant::now() >= first {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}
