//! The counters and gauges of the process.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::node::Node;
use crate::node::lock;

/// The lowest bound of the latency buckets, in seconds.
const LATENCY_FIRST_S: f64 = 0.001;
/// The number of latency buckets, each twice as wide as the one before.
const LATENCY_BUCKETS: u16 = 14;

/// What a request came to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// `ok` or the SQLSTATE.
    pub code: String,
}

/// The kind of server that answered a read.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Target {
    /// `primary` or `replica`.
    pub role: String,
}

/// A database group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Group {
    /// The group's name.
    pub group: String,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Zone {
    /// The zone's name.
    pub zone: String,
}

/// The counters and gauges of the process.
pub struct Meter {
    registry: Mutex<Registry>,
    requests: Family<Outcome, Counter>,
    reads: Family<Target, Counter>,
    latency: Histogram,
    sessions: Gauge,
    revision: Gauge,
    terms: Family<Group, Gauge>,
    writable: Family<Group, Gauge>,
    evacuated: Family<Zone, Gauge>,
    slices: Gauge,
    peers: Gauge,
    table_age: Gauge<f64, AtomicU64>,
}

impl Meter {
    /// Opens the metrics, all of them zero.
    pub fn open() -> Self {
        let meter = Self {
            registry: Mutex::new(Registry::with_prefix("yuccamount")),
            requests: Family::default(),
            reads: Family::default(),
            latency: Histogram::new(exponential_buckets(LATENCY_FIRST_S, 2.0, LATENCY_BUCKETS)),
            sessions: Gauge::default(),
            revision: Gauge::default(),
            terms: Family::default(),
            writable: Family::default(),
            evacuated: Family::default(),
            slices: Gauge::default(),
            peers: Gauge::default(),
            table_age: Gauge::default(),
        };
        meter.register();
        meter
    }

    /// Counts a finished request.
    pub fn request(&self, code: &str, seconds: f64) {
        let outcome = Outcome {
            code: code.to_owned(),
        };
        self.requests.get_or_create(&outcome).inc();
        self.latency.observe(seconds);
    }

    /// Counts an answered read outside transactions.
    pub fn read(&self, is_replica: bool) {
        let role = if is_replica { "replica" } else { "primary" };
        let target = Target {
            role: role.to_owned(),
        };
        self.reads.get_or_create(&target).inc();
    }

    /// Returns all metrics as text.
    pub fn text(&self, node: &Node) -> String {
        self.refresh(node);
        let mut text = String::new();
        let registry = lock(&self.registry);
        if encode(&mut text, &registry).is_err() {
            log::error!("step=metrics error=\"not encodable\"");
        }
        text
    }

    fn register(&self) {
        let mut registry = lock(&self.registry);
        registry.register(
            "requests",
            "Finished requests by SQLSTATE",
            self.requests.clone(),
        );
        registry.register(
            "reads",
            "Answered reads outside transactions by role of the server",
            self.reads.clone(),
        );
        registry.register(
            "request_seconds",
            "Time from arrival to answer",
            self.latency.clone(),
        );
        registry.register("sessions", "Open sessions", self.sessions.clone());
        registry.register(
            "settings_revision",
            "Settings revision in force",
            self.revision.clone(),
        );
        registry.register(
            "group_term",
            "Latest known term of a group",
            self.terms.clone(),
        );
        registry.register(
            "group_writable",
            "Whether writes can be acknowledged, 0 or 1",
            self.writable.clone(),
        );
        registry.register(
            "zone_evacuated",
            "Whether nothing may be sent to a zone's servers, 0 or 1",
            self.evacuated.clone(),
        );
        registry.register(
            "rate_slices",
            "Slices of all rates that this instance may use",
            self.slices.clone(),
        );
        registry.register("peers", "Live peers", self.peers.clone());
        registry.register(
            "table_age_seconds",
            "Time since the table last answered, -1 if never",
            self.table_age.clone(),
        );
    }

    fn refresh(&self, node: &Node) {
        let now = node.now();
        self.sessions.set(integer(node.sessions.list().len()));
        let revision = lock(&node.holder).revision();
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        let slices = lock(&node.limiter).schedule().slice_count(now);
        self.slices.set(i64::from(slices));
        self.peers.set(integer(node.peers().len()));
        let heard = lock(&node.members).last_table_read();
        let age = heard.map_or(-1.0, |at| {
            std::time::Duration::from(now.since(at)).as_secs_f64()
        });
        self.table_age.set(age);
        self.evacuated.clear();
        if let Some(held) = node.held() {
            for (name, zone) in &held.tree.zones {
                let label = Zone {
                    zone: name.to_string(),
                };
                let gauge = self.evacuated.get_or_create(&label);
                gauge.set(i64::from(zone.evacuated));
            }
        }
        for handle in node.all_groups() {
            let label = Group {
                group: handle.name.to_string(),
            };
            let term = handle.view(|view, now| view.primary(now).map_or(0, |(_, term)| term));
            let is_writable = handle.view(|view, now| view.may_send_write(now).is_ok());
            self.terms
                .get_or_create(&label)
                .set(i64::try_from(term).unwrap_or(i64::MAX));
            self.writable
                .get_or_create(&label)
                .set(i64::from(is_writable));
        }
    }
}

fn integer(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
