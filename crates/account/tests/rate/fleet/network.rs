//! Messages between instances and calls to the table, with losses and delays.

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
    /// Does what a ledger wants done.
    pub(super) fn act(&mut self, from: usize, life: u64, action: Action) {
        match action {
            Action::Send(Send { to, message }) => {
                let to = to.parse().expect("names are numbers");
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
        if self.cut.contains(&from) != self.cut.contains(&to) || self.chance(self.options.lost) {
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
        // The time-out; the ledger ignores it if an answer came before.
        self.at(TABLE_TIMEOUT, Event::Answer(from, life, id, lost));
        let mut delay = self.delay(3_000);
        if self.chance(self.options.lost) {
            // A call that was held up takes effect long after its time-out.
            delay = self.delay(400_000);
        }
        self.at(delay, Event::Call(from, life, id, call));
    }

    /// Lets a call reach the table.
    pub(super) fn on_call(&mut self, event: Event) {
        let Event::Call(from, life, id, call) = event else {
            return;
        };
        if self.no_table.contains(&from) {
            return;
        }
        let answer = match call {
            Call::Read => Answer::Read(Ok(self.list())),
            Call::Commit(conditions, writes) => {
                // The transport sends some writes twice; the first answer is lost.
                if self.chance(self.options.repeated / 3) {
                    let first = self.table.commit(conditions.clone(), writes.clone());
                    assert!(first.now_or_never().is_some());
                }
                let outcome = self.table.commit(conditions, writes).now_or_never();
                Answer::Commit(outcome.expect("memory answers at once"))
            }
        };
        if !self.chance(self.options.lost) {
            let delay = self.delay(3_000);
            self.at(delay, Event::Answer(from, life, id, answer));
        }
    }

    fn chance(&mut self, of_1000: u32) -> bool {
        self.rng.random_range(0..1_000) < of_1000
    }

    fn delay(&mut self, most: u64) -> Span {
        Span::from_micros(self.rng.random_range(200..=most))
    }

    fn list(&self) -> Vec<store::Row> {
        self.table
            .list(ROW_PREFIX)
            .now_or_never()
            .expect("memory answers at once")
            .expect("memory does not fail")
    }
}

fn unknown() -> Error {
    Error::Unknown {
        step: "table",
        peer: String::from("simulated"),
        why: String::from("time-out"),
    }
}
