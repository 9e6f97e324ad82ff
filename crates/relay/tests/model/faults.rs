//! Faults of the past that the model must find, each by one rule that is turned off.

use relay::node::Fencing;

use crate::rules::Limits;
use crate::rules::Rules;
use crate::rules_hold::delayed_order;
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

/// Guards against a model whose replies carry positions that a replica has: the end of the primary's log
/// is gone with the primary, so that no log reaches it.
#[test]
fn an_end_that_only_the_primary_had_keeps_its_group_without_one() {
    let world = World {
        rules: Rules {
            has_runs: false,
            ..Rules::all(Fencing::Enforced)
        },
        limits: Limits {
            has_ends: true,
            losses: 1,
            ..Limits::many()
        },
    };
    assert_found_by_walks("issue 50, end", "the group has no primary", world, 1_000);
}

/// Guards against a model in which a server that starts again has its log: the only replica with a commit
/// has lost it and the primary ends.
#[test]
fn commits_are_lost_with_a_log_if_no_bound_is_known() {
    let world = World {
        rules: Rules {
            has_bound: false,
            has_runs: false,
            ..Rules::all(Fencing::Enforced)
        },
        limits: Limits {
            changes: 0,
            losses: 1,
            ..Limits::few()
        },
    };
    assert_found_by_walks("issue 50, lost log", "LOST", world, 200_000);
}

/// Guards against a model in which no order outlives the claim of its holder, and against one in which
/// a deadline doesn't end that.
#[test]
fn orders_without_a_deadline_arrive_after_those_of_the_next_holder() {
    let rules = |has_order_deadline| Rules {
        has_order_deadline,
        ..Rules::all(Fencing::Unchecked)
    };
    let (world, events) = delayed_order(rules(false));
    let broken = "ONE: an order has a lower token than an earlier one";
    assert_eq!(replay(&world, &events), Ok(Some(broken.to_owned())));
    let (world, events) = delayed_order(rules(true));
    assert_eq!(replay(&world, &events), Err("Carry(0)".to_owned()));
}

/// Guards against a model in which no command outlives the claim of its holder: a replica is paused after
/// the replacement has ended, and nobody looks at it.
#[test]
fn a_replica_that_is_paused_late_stays_paused_without_a_check() {
    let world = World {
        rules: Rules {
            has_recheck: false,
            ..Rules::all(Fencing::Enforced)
        },
        limits: Limits {
            has_late_commands: true,
            ticks: 3,
            ..Limits::few()
        },
    };
    assert_found_by_walks("issue 50, late command", "stays paused", world, 20_000);
}
