//! The bounded ring of a process's latest events.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use clock::Clock;

use crate::Event;
use crate::Hybrid;
use crate::Timestamp;

/// Records events, stamps them, logs them and keeps the latest.
pub struct Ring {
    instance: Arc<str>,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

struct State {
    hybrid: Hybrid,
    events: VecDeque<Event>,
    /// `events` never holds more than this.
    capacity: usize,
}

impl Ring {
    /// Opens a ring that keeps `capacity` events.
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

    /// Records an event and writes it to the log.
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

    /// Returns a stamp for a message about to be sent.
    pub fn stamp(&self) -> Timestamp {
        self.lock().hybrid.tick(self.clock.wall_ms())
    }

    /// Takes note of the stamp of a received message.
    pub fn observe(&self, stamp: Timestamp) {
        self.lock().hybrid.observe(stamp);
    }

    /// Returns the kept events later than `after`, oldest first.
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
