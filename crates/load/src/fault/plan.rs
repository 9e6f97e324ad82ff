//! Which steps make up a fault.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Action;
use super::Fault;
use super::Step;
use crate::deployment::Deployment;

/// Parts of the run at which most faults begin and end.
const BEGIN: f64 = 0.25;
const END: f64 = 0.65;
/// Replication lag of replicas that are behind.
const BEHIND_MS: u64 = 5_000;
/// Time of a call to a slow platform.
const SLOW_MS: u64 = 800;
/// Share of answers lost.
const LOST: f64 = 0.5;
/// Time for which an instance is paused, longer than its lease.
const PAUSE: Duration = Duration::from_secs(5);
/// Pause between two races of operators.
const RACE_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the steps of all faults, in the order of time.
pub fn plan(deployment: &Deployment, faults: &[Fault], seed: u64, span: Duration) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    for fault in faults {
        let mut planner = Planner {
            deployment,
            span,
            random: &mut random,
            steps: &mut steps,
        };
        planner.add(*fault);
    }
    steps.sort_by_key(|step| step.at);
    steps
}

struct Planner<'a> {
    deployment: &'a Deployment,
    span: Duration,
    random: &'a mut ChaCha8Rng,
    steps: &'a mut Vec<Step>,
}

impl Planner<'_> {
    fn add(&mut self, fault: Fault) {
        let group = self.random.random_range(0..self.deployment.groups.len());
        let zone = self.random.random_range(0..self.deployment.zones.len());
        let instance = self.random.random_range(0..self.deployment.instances.len());
        let seed = self.random.random();
        match fault {
            Fault::Calm | Fault::Flood => {}
            Fault::PrimaryKilled => self.pair(
                Action::KillPrimary { group },
                Action::RestartServer { group },
            ),
            Fault::PrimaryIsolated => self.pair(
                Action::IsolatePrimary { group },
                Action::RejoinPrimary { group },
            ),
            Fault::ReplicasBehind => {
                let ms = self.deployment.lag_ms;
                self.pair(Action::Lag { ms: BEHIND_MS }, Action::Lag { ms });
            }
            Fault::InstanceKilled => {
                let signal = "KILL";
                self.pair(
                    Action::Signal { instance, signal },
                    Action::Start { instance },
                );
            }
            Fault::InstancePaused => self.paused(instance),
            Fault::ZoneCut => self.pair(
                Action::Zone { zone, cut: true },
                Action::Zone { zone, cut: false },
            ),
            Fault::TableDown => self.pair(
                Action::TableDown { down: true },
                Action::TableDown { down: false },
            ),
            Fault::TableSlow => self.pair(
                Action::TableSlow { ms: SLOW_MS },
                Action::TableSlow { ms: 0 },
            ),
            Fault::AnswersLost => self.pair(lose(LOST, seed), lose(0.0, seed)),
            Fault::KeyWithdrawn => {
                let account = self.deployment.withdrawn_account();
                self.at(self.span.mul_f64(BEGIN), Action::WithdrawKey { account });
            }
            Fault::RacingOperators => self.races(),
            Fault::Handover => self.at(self.span.mul_f64(BEGIN), Action::Handover { group }),
            Fault::EndpointLeaving => self.at(self.span.mul_f64(BEGIN), Action::Leave { group }),
            Fault::RollingRestart => self.rolling(),
        }
    }

    fn at(&mut self, at: Duration, action: Action) {
        self.steps.push(Step { at, action });
    }

    fn pair(&mut self, begin: Action, end: Action) {
        self.at(self.span.mul_f64(BEGIN), begin);
        self.at(self.span.mul_f64(END), end);
    }

    fn paused(&mut self, instance: usize) {
        let begin = self.span.mul_f64(BEGIN);
        let (stop, resume) = ("STOP", "CONT");
        self.at(
            begin,
            Action::Signal {
                instance,
                signal: stop,
            },
        );
        self.at(
            begin + PAUSE,
            Action::Signal {
                instance,
                signal: resume,
            },
        );
    }

    fn races(&mut self) {
        let mut at = self.span.mul_f64(BEGIN);
        let mut number = 0;
        while at < self.span.mul_f64(END) {
            self.at(at, Action::Race { number });
            at += RACE_INTERVAL;
            number += 1;
        }
    }

    fn rolling(&mut self) {
        let count = self.deployment.instances.len();
        // CAST: there are few instances.
        let step = self.span.mul_f64(END) / count as u32;
        for instance in 0..count {
            let begin = self.span.mul_f64(0.1) + step * instance as u32;
            let signal = "TERM";
            self.at(begin, Action::Signal { instance, signal });
            self.at(begin + step / 2, Action::Start { instance });
        }
    }
}

fn lose(probability: f64, seed: u64) -> Action {
    Action::LoseAnswers { probability, seed }
}
