//! The service's state.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use store::Machine;
use store::Memory;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Switches;
use super::switches::Dice;

/// An in-memory platform with its switches.
pub struct Service {
    pub(super) memory: Arc<Memory>,
    switches: watch::Sender<Switches>,
    dice: Mutex<Dice>,
    /// Rosters that cannot be seen yet, oldest first, with the time at which they can.
    pending: Mutex<VecDeque<(Instant, Vec<Machine>)>>,
    /// Calls that read.
    pub(super) reads: AtomicU64,
    /// Calls that wrote or tried to.
    pub(super) writes: AtomicU64,
}

/// The seed of lost answers until a test sets another one.
const DEFAULT_SEED: u64 = 1;

impl Service {
    /// Opens an empty service without faults.
    pub fn open() -> Arc<Self> {
        Arc::new(Self {
            memory: Memory::open(),
            switches: watch::Sender::default(),
            dice: Mutex::new(Dice::open(DEFAULT_SEED)),
            pending: Mutex::default(),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
        })
    }

    /// Returns the faults that are switched on.
    pub fn switches(&self) -> Switches {
        self.switches.borrow().clone()
    }

    /// Changes the faults.
    pub fn switch(&self, change: impl FnOnce(&mut Switches)) {
        self.switches.send_modify(change);
    }

    /// Starts the draws of lost answers anew.
    pub fn seed(&self, seed: u64) {
        *self.dice.lock().unwrap_or_else(PoisonError::into_inner) = Dice::open(seed);
    }

    /// Sets the roster; it can be seen after the roster's lag.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        let lag = Duration::from_millis(self.switches().roster_lag_ms);
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.push_back((Instant::now() + lag, machines));
    }

    /// Makes the rosters visible whose time has come.
    pub(super) fn settle_roster(&self) {
        let now = Instant::now();
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        while pending.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, machines)) = pending.pop_front() {
                self.memory.set_machines(machines);
            }
        }
    }

    /// Waits as long as the switches say; returns false if the call is refused.
    pub(super) async fn admit(&self) -> bool {
        let mut switches = self.switches.subscribe();
        let slow = Duration::from_millis(switches.borrow_and_update().slow_ms);
        tokio::time::sleep(slow).await;
        let now = switches.borrow_and_update().clone();
        if now.down && now.hang {
            let _ = switches.wait_for(|switches| !switches.down).await;
        }
        !self.switches.borrow().down
    }

    /// Draws whether the answer to a change is lost.
    pub(super) fn loses_answer(&self) -> bool {
        let probability = self.switches.borrow().lose_answers;
        let mut dice = self.dice.lock().unwrap_or_else(PoisonError::into_inner);
        dice.loses(probability)
    }

    pub(super) fn count(&self, counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
