//! The operators of the randomised run, whose calls to the table fail.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;
use serde_json::json;
use settings::Answer;
use settings::Change;
use settings::Delta;
use settings::Edit;
use settings::Step;
use store::Error;
use store::Row;

use crate::changes::get;
use crate::fleet::DELAY_STEPS;
use crate::fleet::Fleet;
use crate::fleet::INSTANCES;
use crate::fleet::Message;
use crate::sample::change;

/// One operator and the change under way.
#[derive(Default)]
pub struct Operator {
    edit: Option<(Edit, Step, Change)>,
    /// The step at which the current action is answered.
    busy_until: u64,
}

impl Fleet {
    pub fn operate(&mut self, operator: usize) {
        if self.step < self.operators[operator].busy_until {
            return;
        }
        self.operators[operator].busy_until = self.step + self.rng.random_range(1..=10);
        match self.operators[operator].edit.take() {
            None => self.begin(operator),
            Some((mut edit, step, change)) => {
                let next = self.act(&mut edit, step);
                if let Step::Done(answer) = next {
                    self.conclude(&change, answer);
                } else {
                    self.operators[operator].edit = Some((edit, next, change));
                }
            }
        }
    }

    fn begin(&mut self, operator: usize) {
        if !self.is_faulty() {
            return;
        }
        self.changes += 1;
        let id = format!("c{}", self.changes);
        let via = self.rng.random_range(0..INSTANCES);
        let held = self.holders[via].revision();
        let base = if self.rng.random_ratio(3, 4) {
            self.table_snapshot().revision
        } else {
            held
        };
        let change = change(&id, base, &format!("accounts/{id}"), json!({}));
        let (edit, step) = Edit::begin(change.clone(), held, 0, false);
        self.operators[operator].edit = Some((edit, step, change));
    }

    fn act(&mut self, edit: &mut Edit, step: Step) -> Step {
        match step {
            Step::Read { keys } => {
                if self.chance(10) {
                    return edit.on_rows(Err(lost()));
                }
                let rows: BTreeMap<Arc<str>, Row> = keys
                    .iter()
                    .filter_map(|key| get(&self.memory, key))
                    .map(|row| (Arc::clone(&row.key), row))
                    .collect();
                edit.on_rows(Ok(rows))
            }
            Step::Commit { conditions, writes } => {
                if self.chance(15) {
                    let at = self.step + self.rng.random_range(1..=DELAY_STEPS);
                    self.late.push((at, conditions, writes));
                    return edit.on_outcome(Err(lost()));
                }
                let outcome = self.commit(conditions, writes);
                if self.chance(15) {
                    return edit.on_outcome(Err(lost()));
                }
                edit.on_outcome(Ok(outcome))
            }
            Step::Done(_) => unreachable!("a finished edit is concluded"),
        }
    }

    fn conclude(&mut self, change: &Change, answer: Answer) {
        match answer {
            Answer::Accepted { snapshot, .. } => {
                self.accepted.insert(Arc::clone(&change.id));
                let Some(snapshot) = snapshot else {
                    return;
                };
                for to in 0..INSTANCES {
                    let delta = Delta::of(change, &snapshot);
                    self.send(to, Message::Delta(delta.clone()));
                    if self.chance(20) {
                        self.send(to, Message::Delta(delta));
                    }
                }
            }
            Answer::Unknown { .. } => {}
            _ => {
                self.denied.insert(Arc::clone(&change.id));
            }
        }
    }
}

fn lost() -> Error {
    Error::Unknown {
        step: "call",
        peer: "table".to_owned(),
        why: "lost".to_owned(),
    }
}
