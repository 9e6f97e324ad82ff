//! How an instance without a disk gets its first settings, and when it may serve.

use clock::Span;
use clock::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::Source;

/// Peers are asked alone for this long.
const PEERS_FIRST: Span = Span::from_millis(300);
/// After this long without a confirmation, unconfirmed settings may be acted on.
pub const START_GRACE: Span = Span::from_secs(3);
/// Between two questions to the same source, before the jitter.
const ASK_AGAIN: Span = Span::from_millis(500);
/// The longest pause between two questions to the table or the object store.
const ASK_AGAIN_MAX: Span = Span::from_secs(8);

/// On what ground an instance serves.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Ground {
    /// The table, or a peer that had just read it, showed that the settings are the latest.
    Confirmed,
    /// The table gave no answer, and a peer of the fleet acts on these settings.
    Peer,
    /// Neither the table nor a peer gave an answer, and the object store had these settings.
    Objects,
}

/// The start of one instance, until it has settings that it may act on.
///
/// Peers come first, so that many instances that start at once do not all read the table.
#[derive(Debug)]
pub struct Start {
    begun: Time,
    /// When peers are asked next.
    peers_due: Time,
    /// When the object store and the table are asked next.
    stores_due: Time,
    /// Grows with each question to the stores.
    stores_pause: Span,
    /// Where unconfirmed settings came from; a peer counts more than the object store.
    unconfirmed: Option<Ground>,
    /// Set once and never changed.
    ground: Option<Ground>,
}

impl Start {
    /// Begins; `jitter` is from 0 to 999 and spreads the first reads of instances that start at
    /// once.
    pub fn begin(now: Time, jitter: u64) -> Self {
        Self {
            begun: now,
            peers_due: now,
            stores_due: now + PEERS_FIRST + part(ASK_AGAIN, jitter),
            stores_pause: ASK_AGAIN,
            unconfirmed: None,
            ground: None,
        }
    }

    /// Returns the sources to ask now, each for its latest snapshot; `jitter` is from 0 to 999.
    pub fn ask(&mut self, now: Time, jitter: u64) -> Vec<Source> {
        let mut sources = Vec::new();
        if self.ground.is_some() {
            return sources;
        }
        if now >= self.peers_due {
            self.peers_due = now + ASK_AGAIN;
            sources.push(Source::Peer);
        }
        if now >= self.stores_due {
            self.stores_due = now + self.stores_pause + part(self.stores_pause, jitter);
            self.stores_pause = (self.stores_pause + self.stores_pause).min(ASK_AGAIN_MAX);
            sources.push(Source::Objects);
            sources.push(Source::Table);
        }
        sources
    }

    /// Returns when to call [`Start::ask`] or [`Start::ground`] next.
    pub fn due(&self) -> Time {
        if self.ground.is_some() {
            return Time::NEVER;
        }
        let stores = self.peers_due.min(self.stores_due);
        match self.unconfirmed {
            Some(_) => stores.min(self.begun + START_GRACE),
            None => stores,
        }
    }

    /// Takes note that settings from a source were taken over.
    pub fn on_settings(&mut self, source: Source) {
        let ground = match source {
            Source::Peer => Ground::Peer,
            Source::Objects => Ground::Objects,
            // The table's answer counts by `on_confirmed`.
            Source::Table => return,
        };
        self.unconfirmed = match self.unconfirmed {
            Some(known) => Some(known.min(ground)),
            None => Some(ground),
        };
    }

    /// Takes note that the settings held were confirmed to be the latest.
    pub fn on_confirmed(&mut self) {
        self.ground.get_or_insert(Ground::Confirmed);
    }

    /// Returns on what ground the instance may serve, `None` if it may not yet.
    pub fn ground(&mut self, now: Time) -> Option<Ground> {
        if self.ground.is_none() && now >= self.begun + START_GRACE {
            self.ground = self.unconfirmed;
        }
        self.ground
    }
}

/// Returns a share of a span, in thousandths.
fn part(span: Span, thousandths: u64) -> Span {
    assert!(thousandths < 1_000, "jitter is from 0 to 999");
    Span::from_micros(span.as_micros() / 1_000 * thousandths)
}
