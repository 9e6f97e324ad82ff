//! Which revision an instance acts on, and which ones its peers act on.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::CutOff;
use crate::Delta;
use crate::Effective;
use crate::Snapshot;
use crate::Standing;
use crate::State;
use crate::Tree;

/// Revisions of which the time of application is remembered.
const APPLIED_KEPT: usize = 256;

/// Where a revision came from.
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
pub enum Source {
    /// Another instance.
    Peer,
    /// The object store.
    Objects,
    /// The platform's table.
    Table,
}

/// What became of an offered revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Offer {
    /// It is now in force.
    Applied,
    /// It is already in force.
    Same,
    /// A later one is in force; nothing was changed.
    Older,
    /// Revisions between are missing: fetch the whole tree.
    Gap,
    /// Its content is wrong; nothing was changed.
    Corrupt,
}

/// What is known of a peer.
#[derive(Clone, Debug)]
struct Known {
    life: u64,
    /// Never decreases during one life.
    revision: u64,
    heard: Time,
}

/// The revision that one instance acts on.
#[derive(Debug)]
pub struct Holder {
    instance: Arc<str>,
    policy: Policy,
    held: Option<Held>,
    /// The latest moment at which the held revision was known to be the table's latest.
    confirmed: Option<Time>,
    /// When the latest revisions were applied here.
    applied: BTreeMap<u64, Time>,
    peers: BTreeMap<Arc<str>, Known>,
}

/// The revision in force.
#[derive(Clone, Debug)]
pub struct Held {
    /// The snapshot, whose revision never decreases.
    pub snapshot: Snapshot,
    /// Its tree.
    pub tree: Arc<Tree>,
    /// Where it came from.
    pub source: Source,
}

/// Rules that tests switch off to show that they are needed.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Whether lower revisions are turned away.
    pub is_monotonic: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self { is_monotonic: true }
    }
}

impl Holder {
    /// Opens a holder without settings.
    pub fn open(instance: Arc<str>) -> Self {
        Self::with_policy(instance, Policy::default())
    }

    /// Opens a holder with other rules, for tests.
    #[doc(hidden)]
    pub fn with_policy(instance: Arc<str>, policy: Policy) -> Self {
        Self {
            instance,
            policy,
            held: None,
            confirmed: None,
            applied: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Returns what is in force.
    pub fn held(&self) -> Option<&Held> {
        self.held.as_ref()
    }

    /// Returns the revision in force, 0 before the first.
    pub fn revision(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.snapshot.revision)
    }

    /// Takes a whole snapshot, read or received at `now`.
    pub fn offer(&mut self, now: Time, snapshot: &Snapshot, source: Source) -> Offer {
        if let Some(held) = &self.held {
            let turned_away = self.compare(&held.snapshot, snapshot.revision, &snapshot.hash);
            if let Some(offer) = turned_away {
                return offer;
            }
        }
        match snapshot.tree() {
            Ok(tree) => self.take(now, snapshot.clone(), tree, source),
            Err(_) => Offer::Corrupt,
        }
    }

    /// Takes a single change on top of the revision in force.
    pub fn offer_delta(&mut self, now: Time, delta: &Delta, source: Source) -> Offer {
        let Some(held) = &self.held else {
            return Offer::Gap;
        };
        let turned_away = self.compare(&held.snapshot, delta.revision, &delta.hash);
        if let Some(offer) = turned_away {
            return offer;
        }
        if delta.revision != held.snapshot.revision + 1 || !held.tree.is_editable() {
            return Offer::Gap;
        }
        let Ok(snapshot) = delta.on(&held.tree) else {
            return Offer::Corrupt;
        };
        if snapshot.hash != delta.hash {
            return Offer::Corrupt;
        }
        match snapshot.tree() {
            Ok(tree) => self.take(now, snapshot, tree, source),
            Err(_) => Offer::Corrupt,
        }
    }

    /// Takes the revision that the table's head row showed in a read begun at `begun`.
    ///
    /// An answer that a peer relays counts from the moment that its own read began, which is
    /// the start of this instance's request less the age that the peer stated.
    pub fn confirm(&mut self, begun: Time, revision: u64, hash: &str) -> Offer {
        let Some(held) = &self.held else {
            return Offer::Gap;
        };
        let offer = match self.compare(&held.snapshot, revision, hash) {
            Some(offer) => offer,
            None => return Offer::Gap,
        };
        if offer == Offer::Same {
            self.confirmed = self.confirmed.max(Some(begun));
        }
        offer
    }

    /// Returns the latest moment at which the held revision was known to be the latest.
    pub fn confirmed(&self) -> Option<Time> {
        self.confirmed
    }

    /// Returns true if requests under these values may be served at `now`.
    pub fn may_act(&self, now: Time, effective: &Effective) -> bool {
        if self.held.is_none() {
            return false;
        }
        match effective.when_cut_off {
            CutOff::Serve => true,
            CutOff::Refuse => self
                .confirmed
                .is_some_and(|at| now <= at + Span::from_millis(effective.cut_off_ms)),
        }
    }

    /// Takes note of the revision that a peer says it acts on.
    ///
    /// A message that arrives late never lowers what is known of the same life of a peer.
    pub fn note(&mut self, now: Time, peer: &Arc<str>, life: u64, revision: u64) {
        let known = self.peers.entry(Arc::clone(peer)).or_insert(Known {
            life,
            revision,
            heard: now,
        });
        if known.life != life {
            *known = Known {
                life,
                revision,
                heard: now,
            };
        }
        known.revision = known.revision.max(revision);
        known.heard = known.heard.max(now);
    }

    /// Takes note of an instance by its lease row, without having heard from it.
    ///
    /// Each instance that may act on settings is listed, so that a change is not said to be in
    /// force everywhere while one was never asked.
    pub fn expect(&mut self, peer: &Arc<str>, life: u64, revision: u64) {
        let is_other_life = |known: &Known| known.life != life;
        if self.peers.get(peer).is_none_or(is_other_life) {
            let known = Known {
                life,
                revision,
                heard: Time::ZERO,
            };
            self.peers.insert(Arc::clone(peer), known);
        }
    }

    /// Forgets a peer that is gone.
    pub fn forget(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Tells where a revision is in force; a peer silent since before `silent_since` is cut off.
    pub fn in_force(&self, now: Time, revision: u64, silent_since: Time) -> Vec<Standing> {
        let own = Standing {
            instance: Arc::clone(&self.instance),
            revision: self.revision(),
            state: self.own_state(revision),
            acts_for_ms: None,
        };
        let peers = self.peers.iter().map(|(name, known)| {
            let state = known.state(revision, silent_since);
            Standing {
                instance: Arc::clone(name),
                revision: known.revision,
                state,
                acts_for_ms: self.acts_for_ms(now, revision, state),
            }
        });
        std::iter::once(own).chain(peers).collect()
    }

    fn own_state(&self, revision: u64) -> State {
        if self.revision() >= revision {
            State::InForce
        } else {
            State::Behind
        }
    }

    /// Bounds how long a peer may go on with settings from before `revision`.
    ///
    /// The peer cannot have confirmed them after the revision was accepted, and this instance
    /// applied the revision after that.
    fn acts_for_ms(&self, now: Time, revision: u64, state: State) -> Option<u64> {
        if state == State::InForce {
            return None;
        }
        let effective = self.held.as_ref()?.tree.resolve_root();
        if effective.when_cut_off == CutOff::Serve {
            return None;
        }
        let applied = self.applied.range(revision..).next()?.1;
        let until = *applied + Span::from_millis(effective.cut_off_ms);
        Some(until.since(now).as_millis())
    }

    /// Returns why an offer is turned away, or `None` if it is later than what is held.
    fn compare(&self, held: &Snapshot, revision: u64, hash: &str) -> Option<Offer> {
        if revision == held.revision {
            let is_same = *held.hash == *hash;
            return Some(if is_same { Offer::Same } else { Offer::Corrupt });
        }
        let is_older = revision < held.revision && self.policy.is_monotonic;
        is_older.then_some(Offer::Older)
    }

    fn take(&mut self, now: Time, snapshot: Snapshot, tree: Tree, source: Source) -> Offer {
        if let Some(held) = &self.held {
            assert!(
                snapshot.revision > held.snapshot.revision,
                "revision {} was about to replace {}",
                snapshot.revision,
                held.snapshot.revision
            );
        }
        self.applied.insert(snapshot.revision, now);
        while self.applied.len() > APPLIED_KEPT {
            self.applied.pop_first();
        }
        self.held = Some(Held {
            snapshot,
            tree: Arc::new(tree),
            source,
        });
        Offer::Applied
    }
}

impl Known {
    fn state(&self, revision: u64, silent_since: Time) -> State {
        if self.revision >= revision {
            State::InForce
        } else if self.heard < silent_since {
            State::CutOff
        } else {
            State::Behind
        }
    }
}
