//! The rules of the product, with which nothing may be found.

use std::iter::repeat_n;

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
/// Random walks in CI with each further option.
const SEEDS_OF_OPTIONS: u64 = 1_000;
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

fn walk_randomly(fencing: Fencing, limits: Limits) {
    let world = World {
        rules: Rules::all(fencing),
        limits,
    };
    let seeds = number("YUCCAMOUNT_MODEL_SEEDS", SEEDS_OF_OPTIONS);
    assert_nothing(&walk(&world, WALK, 0..seeds, ""));
}

/// Guards against the loss of commits, or of the group, with one server that never runs again or starts
/// again without its log, also under another id at its address.
#[test_case(Fencing::Enforced; "enforced")]
#[test_case(Fencing::Unchecked; "unchecked")]
fn a_lost_log_breaks_nothing(fencing: Fencing) {
    let limits = Limits {
        losses: 1,
        has_moves: true,
        ..Limits::many()
    };
    walk_randomly(fencing, limits);
}

/// Guards against the same where the replies to commits carry the end of the primary's log, which may
/// have reached no replica.
#[test_case(Fencing::Enforced; "enforced")]
#[test_case(Fencing::Unchecked; "unchecked")]
fn a_lost_log_whose_end_was_replied_breaks_nothing(fencing: Fencing) {
    let limits = Limits {
        has_ends: true,
        losses: 1,
        ..Limits::many()
    };
    walk_randomly(fencing, limits);
}

/// Guards against a group that follows an id or an address: a crashed server is back with its log under
/// another id at its address.
#[test_case(Fencing::Enforced; "enforced")]
#[test_case(Fencing::Unchecked; "unchecked")]
fn a_moved_log_breaks_nothing(fencing: Fencing) {
    let limits = Limits {
        has_moves: true,
        ..Limits::many()
    };
    walk_randomly(fencing, limits);
}

/// Guards against an order that reaches the platform after those of a newer holder.
#[test]
fn a_delayed_order_breaks_nothing() {
    let limits = Limits {
        has_delayed_orders: true,
        ..Limits::many()
    };
    walk_randomly(Fencing::Unchecked, limits);
}

/// Guards against commands to servers that are carried out after their sender has lost the lease.
#[test_case(Fencing::Enforced; "enforced")]
#[test_case(Fencing::Unchecked; "unchecked")]
fn late_commands_break_nothing(fencing: Fencing) {
    let limits = Limits {
        has_late_commands: true,
        ..Limits::many()
    };
    walk_randomly(fencing, limits);
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

/// Guards against a loss where the answer of a primary that started again without its log, to a command of
/// an instance that had seen it lead, counts as the end of its log.
#[test_case(Fencing::Enforced; "enforced")]
#[test_case(Fencing::Unchecked; "unchecked")]
fn an_empty_log_is_not_the_end_of_the_former_one(fencing: Fencing) {
    let world = World {
        rules: Rules::all(fencing),
        limits: Limits {
            losses: 1,
            ..Limits::many()
        },
    };
    let events = [
        Event::Cut(1, 0),
        Event::Pass,
        Event::Send(0),
        Event::Receive(2),
        Event::Answer(0),
        Event::Wipe(0),
    ];
    assert_eq!(replay(&world, &events), Ok(None));
}

/// Guards against a primary that is lost to its group when it is back under another id.
#[test_case(Fencing::Enforced; "enforced")]
#[test_case(Fencing::Unchecked; "unchecked")]
fn a_primary_that_is_back_under_another_id_leads(fencing: Fencing) {
    let world = World {
        rules: Rules::all(fencing),
        limits: Limits {
            has_moves: true,
            ..Limits::many()
        },
    };
    let events = [
        Event::Send(0),
        Event::Receive(1),
        Event::Answer(0),
        Event::Crash(0),
        Event::Move(0),
    ];
    assert_eq!(replay(&world, &events), Ok(None));
}

/// Guards against a replica that stays paused: the holder that paused it did not reach it for longer than
/// it tries to resume replicas.
#[test]
fn a_paused_replica_that_was_out_of_reach_is_resumed() {
    let world = World {
        rules: Rules::all(Fencing::Enforced),
        limits: Limits {
            ticks: 9,
            has_long_pauses: true,
            ..Limits::many()
        },
    };
    let done = |steps| repeat_n(Event::Step(0, Fate::Done), steps);
    let mut events = vec![Event::Crash(0), Event::PassLong, Event::Begin(0)];
    // Up to the order.
    events.extend(done(11));
    events.push(Event::Cut(0, 2));
    events.extend([Event::Promote(0), Event::Pass]);
    events.extend(done(3));
    events.extend(repeat_n(Event::PassLong, 6));
    events.extend(done(1));
    assert_eq!(replay(&world, &events), Ok(None));
}

/// Returns a world under `rules`, with events in which an order was given up and arrives after that of the
/// next holder, unless it can't arrive any more.
pub fn delayed_order(rules: Rules) -> (World, Vec<Event>) {
    let done = |instance, steps| repeat_n(Event::Step(instance, Fate::Done), steps);
    let mut events = vec![Event::Crash(0), Event::Pass, Event::Begin(0)];
    events.extend(done(0, 4));
    events.extend([
        Event::Step(0, Fate::Delayed),
        Event::Kill(0),
        Event::PassLong,
        Event::PassLong,
        Event::Begin(1),
    ]);
    events.extend(done(1, 2));
    events.extend([Event::Pass, Event::Pass, Event::Pass]);
    events.extend(done(1, 3));
    events.push(Event::Carry(0));
    let limits = Limits {
        faults: 3,
        ticks: 8,
        has_instance_faults: true,
        has_long_pauses: true,
        has_delayed_orders: true,
        ..Limits::few()
    };
    (World { rules, limits }, events)
}

/// Guards against an order that reaches the platform after one with a higher token.
#[test]
fn an_order_that_was_given_up_does_not_arrive_after_the_next_one() {
    let (world, events) = delayed_order(Rules::all(Fencing::Unchecked));
    let is_impossible = Err("Carry(0)".to_owned());
    assert_eq!(replay(&world, &events), is_impossible);
}
