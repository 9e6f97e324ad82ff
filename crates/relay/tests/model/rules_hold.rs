//! The rules of the product, with which nothing may be found.

use relay::node::Fencing;
use test_case::test_case;

use crate::replacement::Fate;
use crate::rules::Limits;
use crate::rules::Rules;
use crate::search::Report;
use crate::search::explore;
use crate::search::replay;
use crate::search::walk;
use crate::world::Event;
use crate::world::World;

/// Depth of the exploration in CI.
const DEPTH: usize = 9;
/// Random walks in CI.
const SEEDS: u64 = 3_000;
/// Events of a walk.
const WALK: usize = 60;
/// States that fit the memory of a machine that runs other tests, too.
const STATES_MAX: usize = 2_000_000;

fn number(variable: &str, otherwise: u64) -> u64 {
    let given = std::env::var(variable).ok();
    given.map_or(otherwise, |given| given.parse().expect("a number"))
}

fn assert_nothing(report: &Report<Event>) {
    println!(
        "states={} depth={} is_complete={}",
        report.states, report.depth, report.is_complete
    );
    assert!(
        report.trace.is_none(),
        "{}",
        report.trace.as_ref().expect("there is one")
    );
}

/// Guards against a loss of acknowledged commits or a shared token in any short trace.
#[test_case(Fencing::Enforced; "enforced")]
#[test_case(Fencing::Unchecked; "unchecked")]
fn short_traces_break_nothing(fencing: Fencing) {
    let world = World {
        rules: Rules::all(fencing),
        limits: Limits::few(),
    };
    let depth = number("YUCCAMOUNT_MODEL_DEPTH", DEPTH as u64);
    assert_nothing(&explore(&world, depth as usize, STATES_MAX));
}

/// Guards against the same in long traces, and against groups that don't recover.
#[test_case(Fencing::Enforced; "enforced")]
#[test_case(Fencing::Unchecked; "unchecked")]
fn random_traces_break_nothing(fencing: Fencing) {
    let world = World {
        rules: Rules::all(fencing),
        limits: Limits::many(),
    };
    let seeds = number("YUCCAMOUNT_MODEL_SEEDS", SEEDS);
    assert_nothing(&walk(&world, WALK, 0..seeds, ""));
}

/// Guards against an instance that never learns of the end of a replacement: it was frozen when that was
/// announced, and the holder couldn't write the row, as the table had returned from an older copy.
#[test]
fn an_instance_learns_of_an_end_that_is_not_in_the_row() {
    let world = World {
        rules: Rules::all(Fencing::Unchecked),
        limits: Limits::many(),
    };
    let events = [
        Event::Freeze(0),
        Event::Cut(1, 0),
        Event::Pass,
        Event::Begin(1),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Return(0),
        Event::Heal(1, 0),
        Event::Step(1, Fate::Done),
        Event::Pass,
        Event::Pass,
        Event::Pass,
        Event::Step(1, Fate::Done),
    ];
    assert_eq!(replay(&world, &events), Ok(None));
}

/// Guards against a replica that stays paused: a holder that stood still pauses it after another instance
/// has taken over and ended the replacement.
#[test]
fn a_replica_that_a_former_holder_paused_is_resumed() {
    let world = World {
        rules: Rules::all(Fencing::Enforced),
        limits: Limits::many(),
    };
    let events = [
        Event::Kill(0),
        Event::Cut(1, 0),
        Event::Pass,
        Event::Begin(1),
        Event::Step(1, Fate::Done),
        Event::Cut(1, 2),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::PassLong,
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Run(0),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Pass,
        Event::PassLong,
        Event::Begin(0),
        Event::Step(0, Fate::Done),
        Event::Step(0, Fate::Done),
        Event::Step(0, Fate::Done),
        Event::Step(1, Fate::Done),
    ];
    assert_eq!(replay(&world, &events), Ok(None));
}

/// Guards against an instance that never knows a leader: it saw a record of a later term, without an
/// acknowledgement, at a server that a former holder had promoted, and the leader's log lacks that record.
#[test]
fn a_leader_whose_log_ends_in_an_earlier_term_is_known() {
    let world = World {
        rules: Rules::all(Fencing::Enforced),
        limits: Limits::many(),
    };
    let events = [
        Event::Send(0),
        Event::Drain,
        Event::Begin(1),
        Event::Step(1, Fate::Done),
        Event::Cut(0, 1),
        Event::Receive(1),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Join,
        Event::Begin(0),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Pass,
        Event::Step(1, Fate::Done),
        Event::Step(0, Fate::Done),
        Event::Receive(3),
        Event::PassLong,
        Event::Step(0, Fate::Done),
        Event::Step(0, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Step(1, Fate::Done),
        Event::Step(0, Fate::Done),
        Event::Pass,
        Event::Step(0, Fate::Done),
        Event::Step(0, Fate::Done),
        Event::Step(0, Fate::Done),
        Event::Send(1),
        Event::Step(0, Fate::Done),
        Event::Step(0, Fate::Done),
        Event::Pass,
        Event::Step(0, Fate::Done),
        Event::Step(0, Fate::Done),
        Event::Pass,
    ];
    assert_eq!(replay(&world, &events), Ok(None));
}
