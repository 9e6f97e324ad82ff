//! Events of the simulation.

use account::rate::Limit;
use account::rate::Message;
use clock::Time;
use store::Condition;
use store::Error;
use store::Outcome;
use store::Write;

/// A table call.
pub enum Call {
    Read,
    Commit(Vec<Condition>, Vec<Write>),
}

/// The answer to a table call.
pub enum Answer {
    Read(Result<Vec<store::Row>, Error>),
    Commit(Result<Outcome, Error>),
}

/// An event of the simulation.
pub enum Event {
    Tick(usize),
    Deliver(usize, usize, Message),
    Call(usize, u64, u64, Call),
    Answer(usize, u64, u64, Answer),
    Request(usize, u64, Option<Time>),
    Settings(usize, u64, Limit),
}
