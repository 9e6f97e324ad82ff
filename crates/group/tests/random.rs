//! Runs seeded random schedules on a simulated fleet and checks the invariants after each.

mod simulation;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use clock::Span;
use group::Policy;
use group::Proof;
use simulation::Simulation;

const MS: u64 = 1_000;

/// The default number of schedules.
///
/// `YUCCAMOUNT_SCHEDULES` sets another number and `YUCCAMOUNT_SEED` the first seed.
const SCHEDULES: u64 = 2_000;

/// When the faults of a schedule end.
const FAULTS_END: u64 = 2_200 * MS;

/// When the last fault has healed.
const HEALED: u64 = FAULTS_END + 500 * MS + simulation::LONGEST_FAULT;

/// When the fleet must have recovered from the last fault.
const RECOVERED: u64 = HEALED + 2_000 * MS;

/// When a schedule ends; a write must have been acknowledged after the recovery.
const END: u64 = RECOVERED + 300 * MS;

/// Returns durations shorter than the defaults, so that more happens in a schedule.
fn policy(proof: Proof) -> Policy {
    Policy {
        proof_lease: Span::from_millis(300),
        clock_drift: Span::ZERO,
        refusal_timeout: Span::from_millis(150),
        silence_timeout: Span::from_millis(250),
        poll_interval: Span::from_millis(50),
        extra_poll_interval: Span::from_millis(30),
        promotion_stagger: Span::from_millis(20),
        handover_max_staleness: Span::from_millis(300),
        proof,
    }
}

fn run(seed: u64, policy: Policy) -> Simulation {
    let mut simulation = Simulation::new(seed, policy);
    simulation.faulty_until = FAULTS_END;
    simulation.after(100 * MS, Simulation::client);
    simulation.after(200 * MS, Simulation::fault);
    simulation.run_until(END);
    let servers = std::mem::take(&mut simulation.servers);
    simulation.history.finish(&servers);
    simulation.servers = servers;
    if simulation.history.last_ack < RECOVERED {
        let last = simulation.history.last_ack;
        let row = format!("{:?}", simulation.row);
        simulation
            .history
            .fail(format!("no write was acknowledged after {last}; row {row}"));
    }
    simulation
}

/// Returns a number from an environment variable, or the default.
fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs `count` seeds on all cores and returns the failures.
fn failures(count: u64, policy: &Policy) -> Vec<(u64, String)> {
    let first = setting("YUCCAMOUNT_SEED", 0);
    let next = AtomicU64::new(first);
    let totals = [const { AtomicU64::new(0) }; 5];
    let mut found = Vec::new();
    thread::scope(|scope| {
        let work = || {
            let mut found = Vec::new();
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + count {
                    return found;
                }
                match catch_unwind(AssertUnwindSafe(|| run(seed, policy.clone()).history)) {
                    Ok(history) => {
                        let counts = [
                            history.acked.len() as u64,
                            history.given_up as u64,
                            history.reads,
                            history.replica_reads,
                            history.promotions,
                        ];
                        for (total, count) in totals.iter().zip(counts) {
                            total.fetch_add(count, Ordering::Relaxed);
                        }
                        found.extend(history.violation.map(|violation| (seed, violation)));
                    }
                    Err(_) => found.push((seed, "an assertion failed".to_owned())),
                }
            }
        };
        let cores = thread::available_parallelism().map_or(1, usize::from);
        let threads: Vec<_> = (0..cores).map(|_| scope.spawn(work)).collect();
        for thread in threads {
            found.extend(thread.join().expect("failures are caught"));
        }
    });
    found.sort();
    let total = |place: usize| totals[place].load(Ordering::Relaxed);
    println!(
        "schedules={count} acked={} given_up={} reads={} replica_reads={} promotions={} failed={}",
        total(0),
        total(1),
        total(2),
        total(3),
        total(4),
        found.len()
    );
    found
}

#[test]
fn no_schedule_loses_a_write_or_violates_a_session_floor() {
    let found = failures(
        setting("YUCCAMOUNT_SCHEDULES", SCHEDULES),
        &policy(Proof::Full),
    );
    assert!(
        found.is_empty(),
        "first failures: {:?}",
        &found[..found.len().min(5)]
    );
}

#[test]
fn the_checker_detects_lost_writes_without_proofs() {
    let found = failures(
        setting("YUCCAMOUNT_SCHEDULES", SCHEDULES) / 10,
        &policy(Proof::None),
    );
    assert!(!found.is_empty(), "no schedule lost a write without proofs");
    println!("first without proofs: {:?}", found[0]);
}
