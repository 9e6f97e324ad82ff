//! Division of each server's connections among the instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::node::Share;
use crate::node::share::MILLI;

/// A report older than this counts as missing; reports are sent every five seconds and may be lost.
const REPORT_AGE: Span = Span::from_secs(11);
/// One part in this many of the connections is divided evenly, so that an instance with sudden
/// load has some; the rest is divided by load.
const EVEN_DIVISOR: u64 = 2;
/// The minimum number of connections to a server with which an instance can serve, if there are
/// enough, in thousandths.
const EVEN_MIN: u64 = MILLI;
/// Connections that suffice for an instance without load, in thousandths.
const EVEN_MAX: u64 = 2 * MILLI;

/// The reported loads of the other instances.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// Load in statements per second and when it was reported, by instance.
    reports: BTreeMap<Arc<str>, (u64, Time)>,
    /// The mean load in statements per second that another instance reported, and when.
    mean: Option<(u64, Time)>,
}

impl Shares {
    /// Records an instance's load in statements per second.
    pub fn on_report(&mut self, now: Time, instance: &Arc<str>, load: u64) {
        self.reports.insert(Arc::clone(instance), (load, now));
    }

    /// Records the mean load of a part of the fleet.
    pub fn on_mean(&mut self, now: Time, mean: u64) {
        self.mean = Some((mean, now));
    }

    /// Returns the share of `total` connections of an instance with load `own` when `others` are
    /// the other live instances.
    ///
    /// The shares add up to at most the total if all instances see the same reports and there are
    /// no more instances than connections; otherwise the server refuses the excess.
    pub fn share(&mut self, now: Time, own: u64, others: &[Arc<str>], total: usize) -> Share {
        self.reports.retain(|_, (_, at)| now < *at + REPORT_AGE);
        let reported: Vec<u64> = others
            .iter()
            .filter_map(|name| self.reports.get(name))
            .map(|(load, _)| *load)
            .collect();
        let known = own + reported.iter().sum::<u64>();
        let mean = match self.mean.filter(|(_, at)| now < *at + REPORT_AGE) {
            Some((mean, _)) if reported.is_empty() => mean,
            _ => known / (reported.len() as u64 + 1),
        };
        // An instance without a recent report counts with the mean load.
        let missing = (others.len() - reported.len()) as u64;
        let sum = known + missing * mean;
        let total = total as u64;
        let instances = others.len() as u64 + 1;
        let total = total * MILLI;
        let even_share = total / instances;
        let even = (even_share / EVEN_DIVISOR).clamp(EVEN_MIN.min(even_share / 2), EVEN_MAX);
        let by_load = total.saturating_sub(even * instances);
        let milli = match sum {
            0 => even_share,
            sum => even + by_load * own / sum,
        };
        Share {
            milli,
            even_milli: even_share,
        }
    }
}
