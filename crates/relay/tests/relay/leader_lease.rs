//! Random schedules of leader leases and replacements where replaced primaries go on as such.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use account::rate::Registration;
use clock::Span;
use clock::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use relay::failover::Revocation;
use relay::group::Appointment;
use relay::group::LEADER_LEASE;
use relay::group::LeaderLease;

const SCHEDULES: u64 = 10_000;
const STEPS: u64 = 120;
/// Milliseconds of a step.
const STEP_MS: u64 = 100;
const INSTANCES: usize = 4;
/// How long a registration lasts after the start of its write, in milliseconds.
const REGISTRATION_MS: u64 = 3_000;
/// How much longer others keep it, in milliseconds.
const REGISTRATION_MARGIN_MS: u64 = 200;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(100_000 + millis)
}

fn server(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn name(index: usize) -> Arc<str> {
    Arc::from(format!("i{index}"))
}

/// One instance: its lease, and whether it is cut off or does not run.
#[derive(Default)]
struct Instance {
    lease: LeaderLease,
    is_cut_off: bool,
    is_frozen: bool,
    /// From when until when it is registered in the table.
    registered: (u64, u64),
}

/// The replacement under way.
struct Replacement {
    revocation: Revocation,
    token: u64,
}

/// What the random schedule may break on purpose, to show that the check finds it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// The promotion does not wait for the other instances' leases.
    NoWait,
    /// Instances that don't answer are not waited for.
    OnlyAnswers,
}

struct World {
    random: ChaCha8Rng,
    instances: Vec<Instance>,
    /// The row in the table.
    row: Option<Appointment>,
    /// The row at each step so far.
    history: Vec<Option<Appointment>>,
    leader: SocketAddr,
    replacement: Option<Replacement>,
    defect: Defect,
}

impl World {
    fn open(seed: u64, defect: Defect) -> Self {
        let mut instances = Vec::new();
        instances.resize_with(INSTANCES, Instance::default);
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            instances,
            row: None,
            history: vec![None],
            leader: server(1),
            replacement: None,
            defect,
        }
    }

    fn step(&mut self, millis: u64) {
        for index in 0..INSTANCES {
            self.change_state(index);
            self.poll(index, millis);
        }
        match self.replacement.take() {
            None if self.random.random_bool(0.05) => self.begin(millis),
            None => {}
            Some(replacement) => self.go_on(millis, replacement),
        }
        self.history.push(self.row);
    }

    /// Cuts an instance off, freezes it or ends either.
    fn change_state(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if self.random.random_bool(0.05) {
            instance.is_cut_off = !instance.is_cut_off;
        }
        if self.random.random_bool(0.05) {
            instance.is_frozen = !instance.is_frozen;
        }
    }

    /// Receives the answer to a read that began up to half a second ago and shows the row as it was
    /// then or later.
    fn poll(&mut self, index: usize, millis: u64) {
        let delay = self.random.random_range(0..500);
        let instance = &mut self.instances[index];
        if instance.is_cut_off || instance.is_frozen || self.random.random_bool(0.7) {
            return;
        }
        if instance.registered.1 <= millis {
            instance.registered.0 = millis;
        }
        instance.registered.1 = instance.registered.1.max(millis + REGISTRATION_MS - delay);
        instance.lease.set_registration(Registration {
            since: at(instance.registered.0),
            until: at(instance.registered.1),
        });
        let begun = millis.saturating_sub(delay);
        let first = usize::try_from(begun / STEP_MS).expect("a short schedule");
        let first = first.min(self.history.len() - 1);
        let seen = self.random.random_range(first..self.history.len());
        instance.lease.on_read(at(begun), self.history[seen]);
    }

    fn begin(&mut self, millis: u64) {
        let token = self.row.map_or(0, |row| row.token) + 1;
        let leader = self.row.and_then(|row| row.leader);
        self.row = Some(Appointment {
            token,
            leader,
            is_settled: false,
            reign: 0,
            end: None,
        });
        let registered = (0..INSTANCES).filter(|index| {
            let until = self.instances[*index].registered.1;
            until > 0 && millis < until + REGISTRATION_MARGIN_MS
        });
        let registered: BTreeSet<Arc<str>> = registered.map(name).collect();
        let known = self.random.random_bool(0.8).then_some(registered);
        let revocation = Revocation::open(at(millis), LEADER_LEASE, known);
        self.replacement = Some(Replacement { revocation, token });
    }

    fn go_on(&mut self, millis: u64, mut replacement: Replacement) {
        for index in 0..INSTANCES {
            let instance = &mut self.instances[index];
            let is_reached = !instance.is_cut_off && !instance.is_frozen;
            // Requests and answers may be lost.
            if is_reached && self.random.random_bool(0.8) {
                instance.lease.revoke(replacement.token);
                if self.random.random_bool(0.8) {
                    replacement.revocation.on_given_up(&name(index));
                }
            }
        }
        let has_ended = match self.defect {
            Defect::None => replacement.revocation.has_ended(at(millis)),
            Defect::NoWait => true,
            Defect::OnlyAnswers => replacement.revocation.awaited().len() < INSTANCES,
        };
        if !has_ended {
            self.replacement = Some(replacement);
            return;
        }
        // The old primary goes on, but the group follows another server from now on.
        let next = self.leader.port() % 3 + 1;
        self.leader = server(next);
        self.row = Some(Appointment {
            token: replacement.token,
            leader: Some(self.leader),
            is_settled: true,
            reign: 0,
            end: None,
        });
    }

    /// Returns whether an instance would count an answer of a server that was replaced.
    fn is_violated(&self, millis: u64) -> bool {
        let servers: BTreeMap<u16, SocketAddr> = (1..=3).map(|port| (port, server(port))).collect();
        self.instances.iter().any(|instance| {
            let is_believed = |address: &SocketAddr| instance.lease.admits(*address);
            let is_held = instance.lease.is_held(at(millis));
            // Before the first replacement only the first server acts as primary.
            let acting = servers.values().filter(|address| {
                **address == self.leader || self.row.is_some_and(|row| row.leader.is_some())
            });
            is_held
                && acting
                    .filter(|address| is_believed(address))
                    .any(|address| *address != self.leader)
        })
    }
}

/// Returns the first seed whose schedule lets an instance count a replaced server's answer.
fn first_violation(schedules: u64, defect: Defect) -> Option<u64> {
    (0..schedules).find(|seed| {
        let mut world = World::open(*seed, defect);
        (1..=STEPS).any(|step| {
            world.step(step * STEP_MS);
            world.is_violated(step * STEP_MS)
        })
    })
}

#[test]
fn no_instance_counts_the_answer_of_a_replaced_primary() {
    let seed = first_violation(SCHEDULES, Defect::None);
    assert_eq!(seed, None, "run the schedule of this seed");
}

#[test]
fn the_schedules_find_promotions_that_do_not_wait() {
    assert!(first_violation(100, Defect::NoWait).is_some());
    assert!(first_violation(100, Defect::OnlyAnswers).is_some());
}

/// Guards against a holder that rejects the proofs of the server that it has promoted: the row names the
/// earlier leader until the replacement is settled.
#[test]
fn the_candidate_of_a_replacement_begins_its_reign() {
    let mut lease = LeaderLease::default();
    let appointment = Appointment {
        token: 4,
        leader: Some(server(1)),
        is_settled: true,
        reign: 3,
        end: None,
    };
    assert_eq!(lease.reign(), 0);
    lease.on_read(at(0), Some(appointment));
    assert_eq!(lease.reign(), 3);
    lease.revoke(7);
    lease.set_candidate(Some(server(2)));
    lease.revoke(8);
    assert_eq!(lease.reign(), 7, "token 8 is that of another holder");
    lease.set_candidate(None);
    assert_eq!(lease.reign(), 3);
}
