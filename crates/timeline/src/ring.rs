//! A bounded buffer of a process's latest events.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use clock::Clock;

use crate::Event;
use crate::Hybrid;
use crate::Timestamp;

/// Timestamps and logs events, and keeps the latest ones.
pub struct Ring {
    instance: Arc<str>,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

struct State {
    hybrid: Hybrid,
    events: VecDeque<Event>,
    /// The maximum length of `events`.
    capacity: usize,
}

impl Ring {
    /// Creates a ring that keeps the latest `capacity` events.
    pub fn open(instance: Arc<str>, clock: Arc<dyn Clock>, capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            instance,
            clock,
            state: Mutex::new(State {
                hybrid: Hybrid::default(),
                events: VecDeque::with_capacity(capacity.min(1_024)),
                capacity,
            }),
        })
    }

    /// Timestamps an event, writes it to the log and evicts the oldest event if the ring is full.
    pub fn record(&self, mut event: Event) {
        let mut state = self.lock();
        event.stamp = state.hybrid.tick(self.clock.wall_ms());
        event.instance = Arc::clone(&self.instance);
        log::info!("{event}");
        if state.events.len() == state.capacity {
            state.events.pop_front();
        }
        state.events.push_back(event);
    }

    /// Returns a timestamp for an outgoing message.
    pub fn stamp(&self) -> Timestamp {
        self.lock().hybrid.tick(self.clock.wall_ms())
    }

    /// Advances the clock to the timestamp of a received message if that is later.
    pub fn observe(&self, stamp: Timestamp) {
        self.lock().hybrid.observe(stamp);
    }

    /// Returns the buffered events with a timestamp later than `after`, oldest first.
    pub fn events_after(&self, after: Timestamp) -> Vec<Event> {
        let state = self.lock();
        state
            .events
            .iter()
            .filter(|event| event.stamp > after)
            .cloned()
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
