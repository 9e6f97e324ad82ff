//! Searches the traces of a model for a broken invariant.

use std::collections::BTreeSet;
use std::collections::hash_map::DefaultHasher;
use std::fmt;
use std::fmt::Debug;
use std::fmt::Write;
use std::hash::Hasher;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A model whose events happen in any order.
pub trait Model {
    /// One moment.
    type State: Clone + Debug;
    /// What may happen next.
    type Event: Clone + Debug;

    /// Returns the first state.
    fn start(&self) -> Self::State;
    /// Returns the events that may happen in a state.
    fn events(&self, state: &Self::State) -> Vec<Self::Event>;
    /// Returns the state after an event.
    fn apply(&self, state: &Self::State, event: &Self::Event) -> Self::State;
    /// Returns the invariant that a state breaks.
    fn broken(&self, state: &Self::State) -> Option<String>;
    /// Returns how often an event happens in walks, relative to others.
    fn weight(&self, event: &Self::Event) -> usize;
    /// Goes on without faults; returns what never ends.
    fn unfinished(&self, state: &Self::State) -> Option<String>;
}

/// A trace that breaks an invariant.
#[derive(Clone, Debug)]
pub struct Trace<E> {
    /// The events, in order.
    pub events: Vec<E>,
    /// What is broken.
    pub why: String,
}

impl<E: Debug> fmt::Display for Trace<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.why)?;
        for event in &self.events {
            writeln!(f, "    {event:?},")?;
        }
        Ok(())
    }
}

/// What a search covered.
#[derive(Debug)]
pub struct Report<E> {
    /// The shortest broken trace; the first one found by walks.
    pub trace: Option<Trace<E>>,
    /// Different states seen.
    pub states: usize,
    /// The greatest number of events in a trace.
    pub depth: usize,
    /// Whether every trace of that depth was explored.
    pub is_complete: bool,
}

/// Explores all traces breadth first, up to `depth` events and `states_max` states.
pub fn explore<M: Model>(model: &M, depth: usize, states_max: usize) -> Report<M::Event> {
    let start = model.start();
    let mut seen = BTreeSet::from([digest(&start)]);
    // Each event with the index of the one before it.
    let mut links: Vec<(usize, Option<M::Event>)> = vec![(0, None)];
    let mut level = vec![(start, 0)];
    for reached in 1..=depth {
        let mut next = Vec::new();
        for (state, link) in &level {
            for event in model.events(state) {
                let after = model.apply(state, &event);
                if !seen.insert(digest(&after)) {
                    continue;
                }
                links.push((*link, Some(event)));
                let link = links.len() - 1;
                if let Some(why) = model.broken(&after) {
                    let events = path(&links, link);
                    return Report {
                        trace: Some(Trace { events, why }),
                        states: seen.len(),
                        depth: reached,
                        is_complete: true,
                    };
                }
                if seen.len() >= states_max {
                    return Report {
                        trace: None,
                        states: seen.len(),
                        depth: reached,
                        is_complete: false,
                    };
                }
                next.push((after, link));
            }
        }
        level = next;
    }
    Report {
        trace: None,
        states: seen.len(),
        depth,
        is_complete: true,
    }
}

/// Plays random traces of up to `depth` events, each with a calm continuation at its end, until one
/// breaks an invariant whose text contains `wanted`.
pub fn walk<M: Model>(
    model: &M,
    depth: usize,
    seeds: std::ops::Range<u64>,
    wanted: &str,
) -> Report<M::Event> {
    let mut seen = BTreeSet::new();
    let mut longest = 0;
    for seed in seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut state = model.start();
        let mut events = Vec::new();
        let mut why = None;
        while why.is_none() && events.len() < depth {
            let mut possible = model.events(&state);
            if possible.is_empty() {
                break;
            }
            let weights = possible.iter().map(|event| model.weight(event));
            let mut drawn = rng.random_range(0..weights.sum());
            possible.retain(|event| {
                let weight = model.weight(event);
                let is_drawn = drawn < weight;
                // Only the first of the rest can be drawn.
                drawn = if is_drawn { usize::MAX } else { drawn - weight };
                is_drawn
            });
            let event = possible.remove(0);
            state = model.apply(&state, &event);
            seen.insert(digest(&state));
            events.push(event);
            why = model.broken(&state);
        }
        longest = longest.max(events.len());
        why = why.or_else(|| model.unfinished(&state));
        if let Some(why) = why.filter(|why| why.contains(wanted)) {
            let why = format!("seed {seed}: {why}");
            return Report {
                trace: Some(shorten(model, events, why, wanted)),
                states: seen.len(),
                depth: longest,
                is_complete: false,
            };
        }
    }
    Report {
        trace: None,
        states: seen.len(),
        depth: longest,
        is_complete: false,
    }
}

/// Replays events; returns what they break, an error if one of them can't happen.
pub fn replay<M: Model>(model: &M, events: &[M::Event]) -> Result<Option<String>, String> {
    let mut state = model.start();
    for event in events {
        let text = format!("{event:?}");
        let is_possible = model
            .events(&state)
            .iter()
            .any(|possible| format!("{possible:?}") == text);
        if !is_possible {
            return Err(text);
        }
        state = model.apply(&state, event);
        if let Some(why) = model.broken(&state) {
            return Ok(Some(why));
        }
    }
    Ok(model.unfinished(&state))
}

/// Leaves out each event without which the trace still breaks an invariant.
fn shorten<M: Model>(
    model: &M,
    mut events: Vec<M::Event>,
    mut why: String,
    wanted: &str,
) -> Trace<M::Event> {
    let mut is_shorter = true;
    while is_shorter {
        is_shorter = false;
        for index in (0..events.len()).rev() {
            let mut fewer = events.clone();
            fewer.remove(index);
            if let Ok(Some(broken)) = replay(model, &fewer)
                && broken.contains(wanted)
            {
                events = fewer;
                why = broken;
                is_shorter = true;
            }
        }
    }
    Trace { events, why }
}

fn path<E: Clone>(links: &[(usize, Option<E>)], last: usize) -> Vec<E> {
    let mut events = Vec::new();
    let mut link = last;
    while let (before, Some(event)) = &links[link] {
        events.push(event.clone());
        link = *before;
    }
    events.reverse();
    events
}

/// Hashes the text of a state, as the product's types need no other hash.
struct Digest(DefaultHasher);

impl Write for Digest {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

fn digest(state: &impl Debug) -> u64 {
    let mut digest = Digest(DefaultHasher::new());
    write!(digest, "{state:?}").expect("a hash accepts any text");
    digest.0.finish()
}
