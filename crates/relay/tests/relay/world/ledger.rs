//! What callers were told of their writes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use relay::message::Failure;
use relay::message::Statement;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use super::Client;
use super::Group;
use super::Instance;

/// The answers to the callers' writes.
#[derive(Clone, Debug, Default)]
struct Answers {
    /// The item and the data of each acknowledged write, and when its answer arrived.
    acknowledged: Vec<((String, String), Instant)>,
    /// Each write that was not acknowledged.
    failed: Vec<(Failure, Instant)>,
    /// The number of writes and callers so far, which makes each write's data unique.
    begun: u64,
}

/// What callers were told of their writes.
///
/// The group counts what a server acknowledged; an instance may withhold that from its caller, who is
/// promised nothing then.
#[derive(Default)]
pub struct Ledger {
    answers: Mutex<Answers>,
}

impl Ledger {
    pub fn open() -> Arc<Self> {
        Arc::default()
    }

    fn number(&self) -> u64 {
        let mut answers = self.answers.lock().expect("no panic");
        answers.begun += 1;
        answers.begun
    }

    /// Writes once and records the answer; returns whether the session is still open.
    pub async fn write(&self, client: &mut Client) -> bool {
        let number = self.number();
        let write = (format!("k{number}"), number.to_string());
        let arguments = Arc::from(format!("{} {}", write.0, write.1));
        let statement = Statement::Write { arguments };
        let Some(reply) = client.try_run(statement).await else {
            return false;
        };
        let mut answers = self.answers.lock().expect("no panic");
        match reply.outcome {
            Ok(_) => answers.acknowledged.push((write, Instant::now())),
            Err(failure) => answers.failed.push((failure, Instant::now())),
        }
        true
    }

    /// Has `count` callers of an instance write all the time, each with a pause after each write.
    pub async fn write_through(
        self: &Arc<Self>,
        instance: &Instance,
        count: u32,
        pause: Duration,
    ) -> Writers {
        let mut tasks = Vec::new();
        for _ in 0..count {
            let mut client = instance.connect("orders").await;
            let ledger = Arc::clone(self);
            tasks.push(tokio::spawn(async move {
                loop {
                    // A server answers this while writes wait for a replica.
                    let value = Arc::from(ledger.number().to_string());
                    let name = Arc::from("trace");
                    let is_open = client.try_run(Statement::Set { name, value }).await;
                    if is_open.is_none() || !ledger.write(&mut client).await {
                        return;
                    }
                    sleep(pause).await;
                }
            }));
        }
        Writers { tasks }
    }

    /// Returns the number of acknowledged writes, and of the others by code.
    pub fn tally(&self) -> (usize, BTreeMap<String, usize>) {
        let acknowledged = self.answers.lock().expect("no panic").acknowledged.len();
        let mut failed = BTreeMap::new();
        for failure in self.failures() {
            *failed.entry(failure.code.to_string()).or_insert(0) += 1;
        }
        (acknowledged, failed)
    }

    /// Returns the writes that were not acknowledged.
    pub fn failures(&self) -> Vec<Failure> {
        let answers = self.answers.lock().expect("no panic");
        let failed = answers.failed.iter();
        failed.map(|(failure, _)| failure.clone()).collect()
    }

    /// Returns the longest time without an acknowledged write between `from` and now.
    pub fn longest_gap(&self, from: Instant) -> Duration {
        let answers = self.answers.lock().expect("no panic");
        let mut ends: Vec<Instant> = answers.acknowledged.iter().map(|(_, at)| *at).collect();
        ends.push(Instant::now());
        ends.sort();
        let mut last = from;
        let mut longest = Duration::ZERO;
        for end in ends.into_iter().filter(|end| *end >= from) {
            longest = longest.max(end - last);
            last = end;
        }
        longest
    }

    /// Returns the acknowledged writes that the leader's log lacks; `None` without a leader.
    pub fn lost(&self, group: &Group) -> Option<Vec<(String, String)>> {
        // Writes that are acknowledged later are later in the log too.
        let acknowledged = self.answers.lock().expect("no panic").acknowledged.clone();
        group.missing(acknowledged.iter().map(|(write, _)| write))
    }
}

/// Callers that write until this is dropped.
pub struct Writers {
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Writers {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
