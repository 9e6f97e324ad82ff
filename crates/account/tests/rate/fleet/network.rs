//! Simulated messages and table calls, with loss, duplication and delay.

use account::rate::Action;
use account::rate::Message;
use account::rate::ROW_PREFIX;
use account::rate::Send;
use clock::Span;
use futures::FutureExt;
use rand::Rng;
use store::Error;
use store::Table;

use super::event::Answer;
use super::event::Call;
use super::event::Event;
use super::world::World;

const TABLE_TIMEOUT: Span = Span::from_millis(60);

impl World {
    /// Performs an action of a limiter.
    pub(super) fn act(&mut self, from: usize, life: u64, action: Action) {
        match action {
            Action::Send(Send { to, message }) => {
                let to = to.parse().expect("instance names are numbers");
                self.send(from, to, message);
            }
            Action::Read { id } => self.call(from, life, id, Call::Read),
            Action::Commit {
                id,
                conditions,
                writes,
            } => {
                self.call(from, life, id, Call::Commit(conditions, writes));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.partitioned.contains(&from) != self.partitioned.contains(&to)
            || self.chance(self.options.lost)
        {
            return;
        }
        if self.chance(self.options.repeated) {
            let delay = self.delay(30_000);
            let message = message.clone();
            self.at(delay, Event::Deliver(to, from, message));
        }
        let delay = self.delay(2_000);
        self.at(delay, Event::Deliver(to, from, message));
    }

    fn call(&mut self, from: usize, life: u64, id: u64, call: Call) {
        let lost = match call {
            Call::Read => Answer::Read(Err(unknown())),
            Call::Commit(..) => Answer::Commit(Err(unknown())),
        };
        // The timeout; the limiter ignores it if an answer arrived before.
        self.at(TABLE_TIMEOUT, Event::Answer(from, life, id, lost));
        let mut delay = self.delay(3_000);
        if self.chance(self.options.lost) {
            // A delayed call reaches the table long after its timeout.
            delay = self.delay(400_000);
        }
        self.at(delay, Event::Call(from, life, id, call));
    }

    /// Executes a call at the table and schedules its answer.
    pub(super) fn on_call(&mut self, event: Event) {
        let Event::Call(from, life, id, call) = event else {
            return;
        };
        if self.without_table.contains(&from) {
            return;
        }
        let answer = match call {
            Call::Read => Answer::Read(Ok(self.list())),
            Call::Commit(conditions, writes) => {
                // The transport duplicates some writes and loses the first answer.
                if self.chance(self.options.repeated / 3) {
                    let first = self.table.commit(conditions.clone(), writes.clone());
                    assert!(first.now_or_never().is_some());
                }
                let outcome = self.table.commit(conditions, writes).now_or_never();
                Answer::Commit(outcome.expect("the in-memory table answers at once"))
            }
        };
        if !self.chance(self.options.lost) {
            let delay = self.delay(3_000);
            self.at(delay, Event::Answer(from, life, id, answer));
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    fn delay(&mut self, max_micros: u64) -> Span {
        Span::from_micros(self.rng.random_range(200..=max_micros))
    }

    fn list(&self) -> Vec<store::Row> {
        self.table
            .list(ROW_PREFIX)
            .now_or_never()
            .expect("the in-memory table answers at once")
            .expect("the in-memory table does not fail")
    }
}

fn unknown() -> Error {
    Error::Unknown {
        step: "table",
        peer: String::from("simulated"),
        why: String::from("time-out"),
    }
}
