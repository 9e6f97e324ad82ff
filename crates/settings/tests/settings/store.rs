//! The store over a table that fails.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use settings::Answer;
use settings::Snapshot;
use settings::Store;
use store::Condition;
use store::Error;
use store::Memory;
use store::Outcome;
use store::Row;
use store::Table;
use store::Write;
use test_case::test_case;

use crate::sample::change;

/// What a commit meets.
#[derive(Clone, Copy)]
enum Fate {
    Done,
    LostBefore,
    LostAfter,
    Refused,
}

struct Flaky {
    memory: Arc<Memory>,
    fates: Mutex<VecDeque<Fate>>,
}

fn failed(fate: Fate) -> Error {
    let (step, peer, why) = ("commit", "table".to_owned(), "test".to_owned());
    match fate {
        Fate::Refused => Error::Refused { step, peer, why },
        _ => Error::Unknown { step, peer, why },
    }
}

#[async_trait]
impl Table for Flaky {
    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        Table::get(&*self.memory, key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        self.memory.list(prefix).await
    }

    async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<Outcome, Error> {
        let fate = self.fates.lock().unwrap().pop_front().unwrap_or(Fate::Done);
        match fate {
            Fate::Done => self.memory.commit(conditions, writes).await,
            Fate::LostBefore | Fate::Refused => Err(failed(fate)),
            Fate::LostAfter => {
                self.memory.commit(conditions, writes).await?;
                Err(failed(fate))
            }
        }
    }
}

fn store(fates: &[Fate]) -> Store {
    Store::open(Arc::new(Flaky {
        memory: Memory::open(),
        fates: Mutex::new(fates.iter().copied().collect()),
    }))
}

#[test_case(&[] => 1 ; "no fault")]
#[test_case(&[Fate::LostBefore] => 1 ; "lost before the effect")]
#[test_case(&[Fate::LostAfter] => 1 ; "lost after the effect")]
#[test_case(&[Fate::LostBefore, Fate::LostAfter] => 1 ; "both")]
#[test_case(&[Fate::LostBefore, Fate::LostBefore, Fate::LostBefore] => 1 ; "lost three times")]
#[tokio::test]
async fn a_change_takes_effect_once(fates: &[Fate]) -> u64 {
    let store = store(fates);
    let change = change("c1", 0, "values/burst", 3);
    let answer = store.submit(change.clone(), 0, 0, false).await;
    assert!(matches!(answer, Answer::Accepted { .. }), "{answer:?}");
    let again = store.submit(change, 1, 0, false).await;
    assert!(
        matches!(again, Answer::Accepted { snapshot: None, .. }),
        "{again:?}"
    );
    let record = store.record("c1").await.unwrap().unwrap();
    assert_eq!(record.revision, 1);
    store.head().await.unwrap().revision
}

#[tokio::test]
async fn a_refused_commit_is_told_and_can_be_repeated() {
    let store = store(&[Fate::Refused]);
    let change = change("c1", 0, "values/burst", 3);
    let answer = store.submit(change.clone(), 0, 0, false).await;
    assert!(matches!(answer, Answer::NotDone { .. }), "{answer:?}");
    assert_eq!(store.snapshot().await.unwrap(), Snapshot::empty());
    let again = store.submit(change, 0, 0, false).await;
    assert!(
        matches!(
            again,
            Answer::Accepted {
                snapshot: Some(_),
                ..
            }
        ),
        "{again:?}"
    );
}

#[tokio::test]
async fn the_revision_in_force_is_put_back_once() {
    let store = store(&[]);
    let held = Snapshot::of(5, "c5", &crate::sample::tree());
    assert_eq!(store.restore(&held).await, Ok(true));
    assert_eq!(store.restore(&held).await, Ok(false));
    assert_eq!(store.snapshot().await, Ok(held));
}
