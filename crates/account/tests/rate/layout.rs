//! The layout of limits while instances of an older version may hold slices.

use std::collections::BTreeMap;
use std::sync::Arc;

use account::rate::Action;
use account::rate::Decision;
use account::rate::Limit;
use account::rate::Limiter;
use account::rate::Policy;
use account::rate::Quota;
use account::rate::ROW_PREFIX;
use clock::Span;
use clock::Time;
use futures::executor::block_on;
use store::Memory;
use store::Table;
use store::Write;

/// Key and value of a row that revision 000f955 wrote; its holder has no slices.
const OLD_KEY: &str = "share/of/old/7";
const OLD_ROW: &str = r#"{"member":{"name":"old","life":7},"address":"127.0.0.2:7000","serial":5,"lapsed":false,"lease_ms":9000,"pinned":0,"mobile":0,"electors":[{"name":"old","life":7}]}"#;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

/// Steps a limiter against a table from one time to another.
fn run(limiter: &mut Limiter, table: &Arc<Memory>, millis: std::ops::Range<u64>) {
    for now in millis.step_by(4).map(at) {
        let mut actions = limiter.tick(now);
        while let Some(action) = actions.pop() {
            match action {
                Action::Read { id } => {
                    let rows = block_on(table.list(ROW_PREFIX));
                    actions.extend(limiter.on_read(now, id, rows));
                }
                Action::Commit {
                    id,
                    conditions,
                    writes,
                } => {
                    let outcome = block_on(table.commit(conditions, writes));
                    limiter.on_commit(now, id, outcome);
                }
                Action::Send(_) => {}
            }
        }
    }
}

/// Returns how many requests are granted at once.
fn burst(limiter: &mut Limiter, millis: u64) -> u64 {
    let mut count = 0;
    while limiter.admit(at(millis), "club", 1, None) == Decision::Run {
        count += 1;
    }
    limiter.cancel("club", 1);
    count
}

/// Opens a limiter of an account with a burst of 6 in windows with a slack of 20.
fn open() -> Limiter {
    let quota = Quota {
        window: Span::from_secs(5),
        slack: 20,
    };
    let policy = Policy {
        quota: Some(quota),
        ..Policy::default()
    };
    let mut limiter = Limiter::open("one", 1, ([127, 0, 0, 1], 7_000).into(), policy);
    let limit = Limit { rate: 6, burst: 6 };
    limiter.on_settings(at(0), 1, &BTreeMap::from([(Arc::from("club"), limit)]));
    limiter
}

/// Guards against two layouts at the same time, whose slices together exceed the limit.
#[test]
fn the_earlier_layout_is_used_while_a_row_of_an_older_version_exists() {
    let table = Memory::open();
    let put = Write::Put {
        key: Arc::from(OLD_KEY),
        value: Arc::from(OLD_ROW),
    };
    block_on(table.commit(Vec::new(), vec![put])).expect("no failure");
    let mut limiter = open();
    run(&mut limiter, &table, 4..8_000);
    let granted = burst(&mut limiter, 8_000);
    assert!((1..=6).contains(&granted), "{granted} granted at once");
    // The holder's lease has lapsed, and its row without slices is removed.
    run(&mut limiter, &table, 8_000..40_000);
    let granted = burst(&mut limiter, 40_000);
    assert!((18..=20).contains(&granted), "{granted} granted at once");
}

#[test]
fn the_newest_layout_is_used_where_no_row_of_an_older_version_exists() {
    let table = Memory::open();
    let mut limiter = open();
    run(&mut limiter, &table, 4..8_000);
    let granted = burst(&mut limiter, 8_000);
    assert!((18..=20).contains(&granted), "{granted} granted at once");
}
