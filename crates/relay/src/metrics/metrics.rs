//! Metrics of the process.

use std::sync::Mutex;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::balance::State;
use crate::message::Code;
use crate::metrics::Calls;
use crate::metrics::Rejection;
use crate::node::lock;
use crate::schedule::Reason;

/// The upper bound of the first latency bucket, in seconds.
const LATENCY_FIRST_S: f64 = 0.001;
/// The number of latency buckets; each bound is twice the one before.
const LATENCY_BUCKETS: u16 = 14;

/// The label of a statement's outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    /// `ok` or the error code.
    code: String,
}

/// The label of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Refusal {
    /// The reason.
    reason: String,
}

/// The label of a forwarded statement that the other instance did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Failure {
    /// Why there is no answer.
    reason: String,
}

/// The label of an attempt to replace a primary that did not choose a server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Wait {
    /// What is missing.
    reason: String,
}

/// The label of a rejected datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Rejected {
    /// The reason.
    reason: String,
}

/// The label of an order to promote a server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ordered {
    /// What became of it.
    outcome: &'static str,
}

/// The label of a received datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Received {
    /// The version of the datagrams that the sender's build sends.
    version: u32,
}

/// The label of a server's state in the placement of reads.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Placement {
    /// `normal`, `outlier` or `recovering`.
    state: String,
}

/// Metrics of the process.
pub struct Metrics {
    registry: Mutex<Registry>,
    requests: Family<Outcome, Counter>,
    latency: Histogram,
    refusals: Family<Refusal, Counter>,
    /// Requests that wait for a connection to a server.
    pub waiting: Gauge,
    /// Requests that were given a connection to a server.
    pub admitted: Counter,
    servers: Family<Placement, Gauge>,
    /// Open sessions.
    pub sessions: Gauge,
    /// Bytes sent to other instances.
    pub peer_bytes: Counter,
    /// Probes that ask a server whether it leads.
    pub leader_questions: Counter,
    /// Answered statements, including failed ones.
    pub statements: Counter,
    /// Evacuated zones.
    pub zones_evacuated: Gauge,
    /// Statements sent to servers of evacuated zones.
    pub evacuated_statements: Counter,
    /// Commits that a server acknowledged and a replacement of it may have lost.
    pub commits_in_doubt: Counter,
    /// Replacements of a primary that ended without a result.
    pub failovers_unsuccessful: Counter,
    /// Calls to the platform's store.
    pub store_calls: Calls,
    /// Statements forwarded to another instance.
    pub forwarded: Counter,
    /// Forwarded statements that ran at this instance in the end.
    pub run_after_forward: Counter,
    /// Statements run for other instances.
    pub run_for_others: Counter,
    forward_failures: Family<Failure, Counter>,
    failover_waits: Family<Wait, Counter>,
    orders: Family<Ordered, Counter>,
    datagrams_received: Family<Received, Counter>,
    datagrams_rejected: Family<Rejected, Counter>,
}

impl Metrics {
    /// Opens the metrics, all at zero.
    pub fn open() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("yuccamount")),
            requests: Family::default(),
            latency: Histogram::new(exponential_buckets(LATENCY_FIRST_S, 2.0, LATENCY_BUCKETS)),
            refusals: Family::default(),
            waiting: Gauge::default(),
            admitted: Counter::default(),
            servers: Family::default(),
            sessions: Gauge::default(),
            peer_bytes: Counter::default(),
            leader_questions: Counter::default(),
            statements: Counter::default(),
            zones_evacuated: Gauge::default(),
            evacuated_statements: Counter::default(),
            commits_in_doubt: Counter::default(),
            failovers_unsuccessful: Counter::default(),
            store_calls: Calls::default(),
            forwarded: Counter::default(),
            run_after_forward: Counter::default(),
            run_for_others: Counter::default(),
            forward_failures: Family::default(),
            failover_waits: Family::default(),
            orders: Family::default(),
            datagrams_received: Family::default(),
            datagrams_rejected: Family::default(),
        };
        let mut registry = lock(&metrics.registry);
        registry.register(
            "statements",
            "Answered statements by code",
            metrics.requests.clone(),
        );
        registry.register(
            "statement_seconds",
            "Time from arrival to answer",
            metrics.latency.clone(),
        );
        registry.register(
            "refused",
            "Requests refused before they were offered to a server, by reason",
            metrics.refusals.clone(),
        );
        registry.register(
            "waiting",
            "Requests that wait for a connection to a server",
            metrics.waiting.clone(),
        );
        registry.register(
            "admitted",
            "Requests that were given a connection to a server",
            metrics.admitted.clone(),
        );
        registry.register(
            "servers",
            "Servers by state in the placement of reads",
            metrics.servers.clone(),
        );
        registry.register("sessions", "Open sessions", metrics.sessions.clone());
        registry.register(
            "peer_bytes",
            "Bytes sent to other instances",
            metrics.peer_bytes.clone(),
        );
        registry.register(
            "leader_questions",
            "Questions to servers whether they lead",
            metrics.leader_questions.clone(),
        );
        registry.register(
            "zones_evacuated",
            "Evacuated zones",
            metrics.zones_evacuated.clone(),
        );
        registry.register(
            "evacuated_statements",
            "Statements sent to servers of evacuated zones",
            metrics.evacuated_statements.clone(),
        );
        registry.register(
            "commits_in_doubt",
            "Commits that a server acknowledged and a replacement of it may have lost",
            metrics.commits_in_doubt.clone(),
        );
        registry.register(
            "failovers_unsuccessful",
            "Replacements of a primary that ended without a result",
            metrics.failovers_unsuccessful.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the platform's store by kind of call and of rows",
            metrics.store_calls.family(),
        );
        registry.register(
            "forwarded",
            "Statements forwarded to another instance",
            metrics.forwarded.clone(),
        );
        registry.register(
            "run_for_others",
            "Statements run for other instances",
            metrics.run_for_others.clone(),
        );
        registry.register(
            "forward_failures",
            "Statements that the other instance did not answer, by reason",
            metrics.forward_failures.clone(),
        );
        registry.register(
            "failover_waits",
            "Attempts to replace a primary that chose no server, by what was missing",
            metrics.failover_waits.clone(),
        );
        registry.register(
            "orders",
            "Orders to promote a server by outcome",
            metrics.orders.clone(),
        );
        registry.register(
            "datagrams_received",
            "Datagrams from other instances by version",
            metrics.datagrams_received.clone(),
        );
        registry.register(
            "datagrams_rejected",
            "Datagrams that were dropped unread, by reason",
            metrics.datagrams_rejected.clone(),
        );
        drop(registry);
        metrics
    }

    /// Counts an answered statement and its latency in microseconds; success has no code.
    pub fn request(&self, code: Option<Code>, micros: u64) {
        let code = code.map_or_else(|| "ok".to_owned(), |code| code.to_string());
        self.statements.inc();
        self.requests.get_or_create(&Outcome { code }).inc();
        let time = std::time::Duration::from_micros(micros);
        self.latency.observe(time.as_secs_f64());
    }

    /// Counts a request that was refused before it was offered to a server.
    pub fn refused(&self, reason: Reason) {
        let reason = reason.to_string();
        self.refusals.get_or_create(&Refusal { reason }).inc();
    }

    /// Counts a statement that another instance did not answer.
    pub fn forward_failure(&self, reason: &str) {
        let reason = reason.to_owned();
        self.forward_failures
            .get_or_create(&Failure { reason })
            .inc();
    }

    /// Counts an attempt to replace a primary that chose no server.
    pub fn failover_wait(&self, reason: &str) {
        let reason = reason.to_owned();
        self.failover_waits.get_or_create(&Wait { reason }).inc();
    }

    /// Counts an order to promote a server, by its outcome.
    pub fn order(&self, outcome: &'static str) {
        self.orders.get_or_create(&Ordered { outcome }).inc();
    }

    /// Counts a datagram of another instance.
    pub fn datagram_received(&self, version: u32) {
        self.datagrams_received
            .get_or_create(&Received { version })
            .inc();
    }

    /// Counts a datagram that was dropped unread.
    pub fn datagram_rejected(&self, reason: Rejection) {
        let reason = reason.to_string();
        self.datagrams_rejected
            .get_or_create(&Rejected { reason })
            .inc();
    }

    /// Returns the number of statements that this instance ran, for its callers or for others.
    pub fn statements_run(&self) -> u64 {
        let here = self.statements.get() + self.run_for_others.get() + self.run_after_forward.get();
        here.saturating_sub(self.forwarded.get())
    }

    /// Sets the numbers of servers by their states in the placement of reads.
    pub fn set_servers(&self, states: impl Iterator<Item = State>) {
        let mut counts = [State::Normal, State::Outlier, State::Recovering].map(|state| (state, 0));
        for state in states {
            for (_, count) in counts.iter_mut().filter(|(known, _)| *known == state) {
                *count += 1;
            }
        }
        for (state, count) in counts {
            let state = state.to_string();
            self.servers.get_or_create(&Placement { state }).set(count);
        }
    }

    /// Returns all metrics as OpenMetrics text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &lock(&self.registry)) {
            log::error!("event=metrics-not-encoded why=\"{error}\"");
        }
        text
    }
}
