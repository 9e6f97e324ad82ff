//! Tests of the reasons for which an instance is not ready or is degraded.

use std::collections::BTreeSet;
use std::sync::Arc;

use membership::Health;
use membership::is_ready;
use membership::readiness;
use test_case::test_case;

fn healthy() -> Health {
    Health {
        has_usable_settings: true,
        has_settings: true,
        is_leased: true,
        ..Health::default()
    }
}

#[test_case(healthy(), &[], true ; "healthy")]
#[test_case(Health { is_stopping: true, ..healthy() }, &["stopping"], false ; "stopping")]
#[test_case(Health { is_replaced: true, ..healthy() }, &["replaced"], false ; "replaced")]
#[test_case(Health { has_usable_settings: false, ..healthy() }, &["settings-unconfirmed"], false ; "unconfirmed")]
#[test_case(Health::default(), &["no-settings", "no-lease"], false ; "just started")]
#[test_case(
    Health { is_table_silent: true, is_leased: false, silent_zones: BTreeSet::from([Arc::from("z2")]), ..healthy() },
    &["table-silent", "no-lease", "zone-silent"], true ; "partitioned but serving")]
fn reasons_are_listed(health: Health, names: &[&str], expected: bool) {
    let reasons = readiness(&health);
    let listed: Vec<&str> = reasons.iter().map(|reason| &*reason.name).collect();
    assert_eq!(listed, names);
    assert_eq!(is_ready(&reasons), expected);
}
