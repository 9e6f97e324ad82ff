//! How the instances divide the connections of each server.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;

/// A report older than this counts as missing; reports come every second and may be lost.
const REPORT_AGE: Span = Span::from_secs(4);
/// The part of the connections, in percent, that is divided evenly, so that an instance whose load
/// has just come finds some.
const EVEN_PERCENT: u64 = 30;
/// The fewest connections to a server with which an instance can serve.
const SHARE_MIN: u64 = 2;

/// How loaded the other instances say they are.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// Statements a second and when that was reported, by instance.
    reports: BTreeMap<Arc<str>, (u64, Time)>,
}

impl Shares {
    /// Takes an instance's report.
    pub fn on_report(&mut self, now: Time, instance: &Arc<str>, load: u64) {
        self.reports.insert(Arc::clone(instance), (load, now));
    }

    /// Returns how many of `total` connections an instance with load `own` may hold, beside the
    /// live instances in `others`.
    ///
    /// Instances may see different reports; then the sum can be a little above the total, and the
    /// server refuses what is too much.
    pub fn share(&mut self, now: Time, own: u64, others: &[Arc<str>], total: usize) -> usize {
        self.reports.retain(|_, (_, at)| now < *at + REPORT_AGE);
        let reported: Vec<u64> = others
            .iter()
            .filter_map(|name| self.reports.get(name))
            .map(|(load, _)| *load)
            .collect();
        let known = own + reported.iter().sum::<u64>();
        let mean = known / (reported.len() as u64 + 1);
        // An instance that has not reported counts as one with the mean load.
        let missing = (others.len() - reported.len()) as u64;
        let sum = known + missing * mean;
        let total = total as u64;
        let instances = others.len() as u64 + 1;
        let share = match sum {
            0 => total / instances,
            sum => {
                let weight = EVEN_PERCENT * sum + (100 - EVEN_PERCENT) * own * instances;
                total * weight / (100 * instances * sum)
            }
        };
        let share = share.max(SHARE_MIN);
        usize::try_from(share).unwrap_or(usize::MAX)
    }
}
