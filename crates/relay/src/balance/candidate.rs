//! A server that a read may be sent to.

use std::sync::Arc;

use crate::balance::Summary;

/// Time for which opening a connection holds a slot of the server.
const OPEN_MS: f64 = 12.0;
/// Round trip between availability zones, 1 to 1.8 ms, and the price of the bytes.
const ZONE_MS: f64 = 2.0;
/// Price of a slot of the leader, since only it can serve writes. It exceeds that of opening a
/// connection, else reads would stay with the leader while replicas have no connections yet.
const LEADER_MS: f64 = 18.0;
/// Reply times up to this multiple of the fastest server's count as equal, since the kinds of
/// statements that an instance happened to send differ as much.
const EQUAL_REPLIES: f64 = 2.0;
/// Failure rates that exceed the lowest one by no more than this count as equal: it is less than
/// one of the 16 requests that an average covers at most.
const EQUAL_FAILURES: f64 = 0.05;
/// Lower bound of the success rate, so that times stay finite.
const SUCCESS_MIN: f64 = 0.05;

/// A server that a read may be sent to.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The server's id.
    pub server: Arc<str>,
    /// What requests to it showed.
    pub summary: Summary,
    /// Requests that are queued for it or not yet answered by it.
    pub waiting: usize,
    /// The mean of the same for all other instances, as far as they reported it recently.
    pub elsewhere: f64,
    /// Those of `waiting` that may commit, which hold a slot until replicas have confirmed.
    pub writes: usize,
    /// The statements that it runs at the same time.
    pub slots: usize,
    /// Whether a connection of the account is idle.
    pub has_idle: bool,
    /// Whether it is in another availability zone.
    pub is_far: bool,
    /// Whether it is the leader.
    pub is_leader: bool,
}

impl Candidate {
    /// Returns the expected time in milliseconds until a read succeeds, where `fastest_ms` is the
    /// fastest server's reply time and `base_rate` the lowest rate of failures.
    pub fn expected_ms(&self, fastest_ms: f64, base_rate: f64) -> f64 {
        let summary = &self.summary;
        let measured = (summary.reply_ms * summary.replies + fastest_ms) / (summary.replies + 1.0);
        let reply = fastest_ms + (measured - EQUAL_REPLIES * fastest_ms).max(0.0);
        let mut ahead = self.waiting;
        if self.is_leader {
            ahead += self.writes;
        }
        let queued = (count(ahead) + self.elsewhere) / count(self.slots.max(1)) * fastest_ms;
        let commits = (summary.commit_ms - EQUAL_REPLIES * fastest_ms).max(0.0);
        let open = if self.has_idle { 0.0 } else { OPEN_MS };
        let leader = if self.is_leader { LEADER_MS } else { 0.0 };
        let zone = if self.is_far { ZONE_MS } else { 0.0 };
        let once = reply + queued.max(summary.wait_ms).max(commits) + open + leader + zone;
        let excess = (summary.failure_rate - base_rate - EQUAL_FAILURES).max(0.0);
        once / (1.0 - excess).max(SUCCESS_MIN)
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
