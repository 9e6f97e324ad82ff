//! A seeded randomised run of several instances and operators over one table.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use futures::FutureExt;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use settings::Delta;
use settings::HEAD;
use settings::Head;
use settings::Holder;
use settings::Offer;
use settings::Policy;
use settings::Snapshot;
use settings::Source;
use settings::TREE;
use store::Condition;
use store::Memory;
use store::Outcome;
use store::Table;
use store::Write;

use crate::changes::get;
use crate::operators::Operator;

pub const INSTANCES: usize = 6;
const OPERATORS: usize = 3;
/// Milliseconds of one step of the run.
const STEP_MS: u64 = 10;
/// Steps with faults.
const FAULTY_STEPS: u64 = 600;
/// Steps between two reads of the head row by one instance.
const POLL_STEPS: u64 = 20;
/// Steps that a message takes at most.
pub const DELAY_STEPS: u64 = 40;
/// After the last fault, the steps until all instances must agree: one poll, the answer to it
/// and the answer to the read of the tree.
const BOUND_STEPS: u64 = POLL_STEPS + 2 * DELAY_STEPS;
const SEEDS: u64 = 40;

/// What the run leaves out, to show that it is needed.
#[derive(Clone, Copy)]
pub struct Rules {
    policy: Policy,
    has_polls: bool,
    has_conditions: bool,
}

const ALL_RULES: Rules = Rules {
    policy: Policy { is_monotonic: true },
    has_polls: true,
    has_conditions: true,
};

pub enum Message {
    Delta(Delta),
    Whole(Box<Snapshot>, Source),
    Head(Time, Head),
}

pub struct Fleet {
    pub rng: ChaCha8Rng,
    pub rules: Rules,
    pub step: u64,
    pub memory: Arc<Memory>,
    pub holders: Vec<Holder>,
    /// Instances that get no message until then.
    pub cut_until: Vec<u64>,
    pub operators: Vec<Operator>,
    /// Messages by the step at which they arrive.
    pub mail: BTreeMap<(u64, u64), (usize, Message)>,
    pub sent: u64,
    /// Transactions whose answer was lost and which arrive later.
    pub late: Vec<(u64, Vec<Condition>, Vec<Write>)>,
    /// Every snapshot that was ever in the table.
    pub archive: Vec<Snapshot>,
    pub accepted: BTreeSet<Arc<str>>,
    pub denied: BTreeSet<Arc<str>>,
    pub changes: u64,
}

impl Fleet {
    fn open(seed: u64, rules: Rules) -> Self {
        let name = |number: usize| Arc::from(format!("instance-{number}"));
        let holders = (0..INSTANCES).map(|number| Holder::with_policy(name(number), rules.policy));
        let operators = (0..OPERATORS).map(|_| Operator::default());
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            rules,
            step: 0,
            memory: Memory::open(),
            holders: holders.collect(),
            cut_until: vec![0; INSTANCES],
            operators: operators.collect(),
            mail: BTreeMap::new(),
            sent: 0,
            late: Vec::new(),
            archive: vec![Snapshot::empty()],
            accepted: BTreeSet::new(),
            denied: BTreeSet::new(),
            changes: 0,
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + Span::from_millis(self.step * STEP_MS)
    }

    pub fn is_faulty(&self) -> bool {
        self.step < FAULTY_STEPS
    }

    pub fn chance(&mut self, percent: u32) -> bool {
        self.is_faulty() && self.rng.random_ratio(percent, 100)
    }

    pub fn send(&mut self, to: usize, message: Message) {
        if self.chance(20) {
            return;
        }
        let at = self.step + self.rng.random_range(1..=DELAY_STEPS);
        self.sent += 1;
        self.mail.insert((at, self.sent), (to, message));
    }

    fn tick(&mut self) {
        self.step += 1;
        self.deliver();
        self.land_late();
        for operator in 0..OPERATORS {
            self.operate(operator);
        }
        for instance in 0..INSTANCES {
            self.poll(instance);
            self.disturb(instance);
        }
    }

    fn deliver(&mut self) {
        let later = self.mail.split_off(&(self.step + 1, 0));
        let due = std::mem::replace(&mut self.mail, later);
        for (to, message) in due.into_values() {
            if self.is_faulty() && self.step < self.cut_until[to] {
                continue;
            }
            self.receive(to, message);
        }
    }

    fn receive(&mut self, to: usize, message: Message) {
        let now = self.now();
        let before = self.holders[to].revision();
        let offer = match &message {
            Message::Delta(delta) => self.holders[to].offer_delta(now, delta, Source::Peer),
            Message::Whole(snapshot, source) => self.holders[to].offer(now, snapshot, *source),
            Message::Head(begun, head) => {
                self.holders[to].confirm(*begun, head.revision, &head.hash)
            }
        };
        let after = self.holders[to].revision();
        assert!(
            after >= before,
            "instance {to} went from {before} to {after}"
        );
        assert_ne!(offer, Offer::Corrupt, "nothing corrupt is sent in this run");
        if offer == Offer::Gap && self.rules.has_polls {
            let snapshot = self.table_snapshot();
            self.send(to, Message::Whole(Box::new(snapshot), Source::Table));
        }
    }

    fn land_late(&mut self) {
        let step = self.step;
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, ..)| *at <= step);
        self.late = later;
        let due: Vec<(u64, Vec<Condition>, Vec<Write>)> = due;
        for (_, conditions, writes) in due {
            self.commit(conditions, writes);
        }
    }

    pub fn commit(&mut self, mut conditions: Vec<Condition>, writes: Vec<Write>) -> Outcome {
        if !self.rules.has_conditions {
            conditions.clear();
        }
        let outcome = self.memory.commit(conditions, writes).now_or_never();
        let outcome = outcome.unwrap().unwrap();
        let snapshot = self.table_snapshot();
        let last = self.archive.last().unwrap().revision;
        assert!(
            snapshot.revision <= last + 1,
            "each change leads to the next revision"
        );
        if snapshot.revision > last {
            self.archive.push(snapshot);
        }
        outcome
    }

    pub fn table_snapshot(&self) -> Snapshot {
        Snapshot::read_row(get(&self.memory, TREE).as_ref()).unwrap()
    }

    fn poll(&mut self, instance: usize) {
        let is_due = (self.step + instance as u64).is_multiple_of(POLL_STEPS);
        if is_due && self.rules.has_polls {
            let head = Head::read(get(&self.memory, HEAD).as_ref()).unwrap();
            self.send(instance, Message::Head(self.now(), head));
        }
    }

    /// Cuts, restarts, and stale offers.
    fn disturb(&mut self, instance: usize) {
        if self.chance(1) {
            self.cut_until[instance] = self.step + self.rng.random_range(1..=100);
        }
        if self.chance(1) {
            let name: Arc<str> = Arc::from(format!("instance-{instance}"));
            self.holders[instance] = Holder::with_policy(name, self.rules.policy);
        }
        if self.chance(5) {
            let any = self.rng.random_range(0..self.archive.len());
            let source = [Source::Peer, Source::Objects, Source::Table];
            let source = source[self.rng.random_range(0..source.len())];
            let stale = self.archive[any].clone();
            self.send(instance, Message::Whole(Box::new(stale), source));
        }
    }

    fn run(mut self) -> Result<(), String> {
        for _ in 0..FAULTY_STEPS + BOUND_STEPS {
            self.tick();
        }
        let table = self.table_snapshot();
        self.check_answers(&table)?;
        for (instance, holder) in self.holders.iter().enumerate() {
            let revision = holder.revision();
            if revision != table.revision {
                let expected = table.revision;
                return Err(format!(
                    "instance {instance} holds {revision}, not {expected}"
                ));
            }
            if holder.held().map(|held| &held.snapshot) != Some(&table) {
                return Err(format!("instance {instance} holds another content"));
            }
        }
        Ok(())
    }

    fn check_answers(&self, table: &Snapshot) -> Result<(), String> {
        let tree = table.tree().map_err(|error| error.to_string())?;
        if tree.accounts.len() as u64 != table.revision {
            return Err("a change was applied twice or got lost".to_owned());
        }
        let is_in = |id: &&Arc<str>| tree.accounts.contains_key(&***id);
        if let Some(id) = self.accepted.iter().find(|id| !is_in(id)) {
            return Err(format!("{id} was accepted and is not in the tree"));
        }
        if let Some(id) = self.denied.iter().find(is_in) {
            return Err(format!("{id} was said not to be done and is in the tree"));
        }
        if self.accepted.len() < 10 {
            return Err("the run accepted too few changes to show anything".to_owned());
        }
        Ok(())
    }
}

#[test]
fn never_lower_and_equal_everywhere_after_the_bound() {
    for seed in 0..SEEDS {
        if let Err(why) = Fleet::open(seed, ALL_RULES).run() {
            panic!("seed {seed}: {why}");
        }
    }
}

#[test]
#[should_panic(expected = "was about to replace")]
fn without_the_rule_against_lower_revisions_the_run_fails() {
    let rules = Rules {
        policy: Policy {
            is_monotonic: false,
        },
        ..ALL_RULES
    };
    for seed in 0..SEEDS {
        Fleet::open(seed, rules)
            .run()
            .expect("the assertion comes first");
    }
}

#[test]
fn without_reads_of_the_head_the_instances_differ_after_the_bound() {
    let rules = Rules {
        has_polls: false,
        ..ALL_RULES
    };
    let failed = (0..SEEDS).filter(|seed| Fleet::open(*seed, rules).run().is_err());
    assert!(failed.count() > 0);
}

#[test]
fn without_the_conditions_of_the_commit_changes_get_lost_or_are_applied_twice() {
    let rules = Rules {
        has_conditions: false,
        ..ALL_RULES
    };
    for seed in 0..SEEDS {
        let fleet = std::panic::AssertUnwindSafe(Fleet::open(seed, rules));
        let run = std::panic::catch_unwind(move || fleet.0.run());
        assert!(!matches!(run, Ok(Ok(()))), "seed {seed} noticed nothing");
    }
}
