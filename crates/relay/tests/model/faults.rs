//! Faults of the past that the model must find, each by one rule that is turned off.

use relay::node::Fencing;

use crate::rules::Limits;
use crate::rules::Rules;
use crate::search::explore;
use crate::search::replay;
use crate::search::walk;
use crate::world::World;

/// Fails unless the search finds a broken `rule`, prints the trace and replays it.
fn assert_found(name: &str, rule: &str, world: World, depth: usize) {
    let explored = explore(&world, depth, 400_000);
    let trace = explored
        .trace
        .unwrap_or_else(|| panic!("{name}: nothing found in {} states", explored.states));
    println!("{name}: {} states\n{trace}", explored.states);
    assert!(trace.why.starts_with(rule), "{trace}");
    assert_eq!(replay(&world, &trace.events), Ok(Some(trace.why)));
}

/// As `assert_found`, for traces that are too long to be explored breadth first.
fn assert_found_by_walks(name: &str, rule: &str, world: World, seeds: u64) {
    let walked = walk(&world, 40, 0..seeds, rule);
    let trace = walked
        .trace
        .unwrap_or_else(|| panic!("{name}: nothing found in {seeds} walks"));
    println!("{name}: {} states\n{trace}", walked.states);
    assert!(trace.why.contains(rule), "{trace}");
    assert_eq!(replay(&world, &trace.events), Ok(Some(trace.why)));
}

/// Guards against a model that misses the loss of docs/incidents/acknowledged-while-replaced.md: a
/// commit is acknowledged while a replacement is open, with a replica that the survey didn't pause.
#[test]
fn commits_acknowledged_without_the_lease_are_lost() {
    let world = World {
        rules: Rules {
            has_lease: false,
            ..Rules::all(Fencing::Enforced)
        },
        limits: Limits::few(),
    };
    assert_found("incident", "LOST", world, 12);
}

/// Guards against a model that misses the loss of docs/incidents/joined-during-replacement.md: neither
/// is the primary demoted nor are commits held back.
#[test]
fn commits_are_lost_if_the_primary_is_not_demoted() {
    let world = World {
        rules: Rules {
            has_lease: false,
            has_mediation: false,
            ..Rules::all(Fencing::Enforced)
        },
        limits: Limits {
            faults: 1,
            ..Limits::few()
        },
    };
    assert_found("review/1", "LOST", world, 12);
}

/// Guards against a model that misses docs/incidents/token-used-twice.md: tokens begin again once the
/// table has returned from a copy without the row.
#[test]
fn tokens_without_the_era_are_used_twice() {
    let world = World {
        rules: Rules {
            has_lease: false,
            has_eras: false,
            ..Rules::all(Fencing::Enforced)
        },
        limits: Limits {
            commits: 0,
            faults: 3,
            changes: 0,
            ticks: 3,
            has_instance_faults: true,
            has_returns: true,
            has_long_pauses: true,
            ..Limits::few()
        },
    };
    assert_found_by_walks("review/5", "ONE", world, 200_000);
}

/// Guards against a model that misses commits that are acknowledged under a lease after the logs were
/// read.
#[test]
fn commits_are_lost_if_the_survey_precedes_the_end_of_the_leases() {
    let world = World {
        rules: Rules {
            is_survey_last: false,
            ..Rules::all(Fencing::Enforced)
        },
        limits: Limits {
            faults: 3,
            ticks: 4,
            ..Limits::few()
        },
    };
    assert_found_by_walks("early survey", "LOST", world, 200_000);
}
