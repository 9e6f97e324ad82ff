//! The load of servers as other instances report it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::Span;
use clock::Time;

/// Age up to which a report counts: instances report every 400 ms.
pub const LOADS_AGE_MAX: Span = Span::from_millis(600);
/// Half-life of the reported requests. A queue changes faster than it is reported, and instances
/// that follow each report change to and fro together.
pub const LOADS_HALF_LIFE: Span = Span::from_millis(1_200);
/// Maximum number of servers in a report, so that it fits into one datagram.
const LOADS_MAX: usize = 24;

/// Unanswered requests by group and server; servers without any are left out.
pub type Counts = BTreeMap<(Arc<str>, Arc<str>), u32>;

/// The latest reports of the instances that query this one.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    reports: BTreeMap<SocketAddr, (Counts, Time)>,
}

impl Loads {
    /// Records an instance's report.
    pub fn on_report(&mut self, now: Time, from: SocketAddr, counts: Counts) {
        self.reports.insert(from, (counts, now));
    }

    /// Estimates the requests of the `others` instances other than `receiver`, from `own` and the
    /// fresh reports.
    ///
    /// Each of several instances gets the reports of a part of the fleet only, so the sum is
    /// scaled up.
    pub fn estimate(
        &mut self,
        now: Time,
        own: &Counts,
        receiver: Option<SocketAddr>,
        others: usize,
    ) -> Counts {
        self.reports.retain(|_, (_, at)| now < *at + LOADS_AGE_MAX);
        let reports = self.reports.iter();
        let reports = reports.filter(|(from, _)| Some(**from) != receiver);
        let mut all: Vec<&Counts> = reports.map(|(_, (counts, _))| counts).collect();
        // An instance that estimates for itself knows its own requests.
        if receiver.is_some() {
            all.push(own);
        }
        let reporters = u64::try_from(all.len()).unwrap_or(u64::MAX).max(1);
        let others = u64::try_from(others).unwrap_or(u64::MAX);
        let mut sums: BTreeMap<(Arc<str>, Arc<str>), u64> = BTreeMap::new();
        for (server, count) in all.into_iter().flatten() {
            *sums.entry(server.clone()).or_default() += u64::from(*count);
        }
        let scaled = sums.into_iter().map(|(server, sum)| {
            let count = sum.saturating_mul(others) / reporters;
            (server, u32::try_from(count).unwrap_or(u32::MAX))
        });
        largest(scaled.collect())
    }
}

/// Returns the servers with the most requests, as many as fit into a datagram.
pub fn largest(counts: Counts) -> Counts {
    let mut counts: Vec<_> = counts.into_iter().filter(|(_, count)| *count > 0).collect();
    counts.sort_by_key(|(_, count)| Reverse(*count));
    counts.truncate(LOADS_MAX);
    counts.into_iter().collect()
}
