//! What a replacement logs and counts.

use std::sync::Arc;

use clock::Time;

use crate::failover::Bound;
use crate::failover::Survey;
use crate::failover::bound::Source;
use crate::failover::replacement::Replacement;
use crate::node::lock;

/// A waiting failover is logged once per this many attempts.
const ATTEMPTS_PER_LOG_LINE: u32 = 8;

impl Replacement<'_> {
    /// Logs a bound with what is known of the reply that it comes from.
    pub(super) fn log_bound(&self, bound: &Bound) {
        // Only this instance's own commits are known in detail.
        let last = self.group.last_commit();
        let last = last.filter(|_| bound.source == Source::Own);
        log::info!(
            "event=failover-bound group={} position={} source={} server={} age_ms={} unanswered={}",
            self.group.name,
            bound.position,
            bound.source,
            last.as_ref().map_or("-", |last| &*last.server),
            last.as_ref().map_or_else(
                || "-".to_owned(),
                |last| self.age_ms(last.acknowledged_at).to_string()
            ),
            last.as_ref()
                .map_or_else(|| "-".to_owned(), |last| last.unanswered.to_string())
        );
    }

    pub(super) fn age_ms(&self, at: Time) -> u64 {
        self.node.now().since(at).as_millis()
    }

    /// Warns of a replacement that ended without a result: the next one has the same task, so only a
    /// server's return or the operator ends the outage if this repeats.
    pub(super) fn report_outcome(&self, promoted: &Option<Arc<str>>) {
        let mut unsuccessful = lock(&self.group.unsuccessful_replacements);
        if promoted.is_some() {
            *unsuccessful = 0;
            return;
        }
        *unsuccessful += 1;
        self.node.metrics.failovers_unsuccessful.inc();
        log::warn!(
            "event=failover-unsuccessful group={} in_succession={unsuccessful} why=\"{}\" statuses=\"{}\"",
            self.group.name,
            self.missing,
            self.statuses.join(" ")
        );
    }

    /// Logs that a replacement waits, once per several attempts.
    pub(super) fn log_wait(&mut self, attempt: u32, why: &'static str, survey: &Survey) {
        self.missing = why;
        self.node.metrics.failover_wait(why);
        if attempt == 1 || attempt.is_multiple_of(ATTEMPTS_PER_LOG_LINE) {
            log::info!(
                "event=failover-waits group={} attempt={attempt} why=\"{why}\" command_term={} statuses=\"{}\" survey=\"{survey:?}\"",
                self.group.name,
                self.command_term,
                self.statuses.join(" ")
            );
        }
    }
}
