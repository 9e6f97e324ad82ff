//! Sample leases, rows, heartbeats and views.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use membership::Heartbeat;
use membership::Identity;
use membership::Lease;
use membership::Members;
use membership::PROTOCOL_VERSION;
use membership::Phase;
use membership::instance_key;
use store::Row;

pub fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

pub fn lease(name: &str, life: u64, zone: &str) -> Lease {
    Lease {
        name: Arc::from(name),
        life,
        zone: Arc::from(zone),
        address: Arc::from(format!("{name}:1")),
        admin: Arc::from(format!("{name}:2")),
        lease_ms: 3_000,
        phase: Phase::Live,
        revision: 1,
    }
}

pub fn row(lease: &Lease, version: u64) -> Row {
    Row {
        key: instance_key(&lease.name),
        value: lease.to_text(),
        version,
    }
}

pub fn heartbeat(name: &str, life: u64, sequence: u64) -> Heartbeat {
    let lease = lease(name, life, "z1");
    Heartbeat {
        fleet: Arc::from("fleet"),
        version: PROTOCOL_VERSION,
        name: lease.name,
        life,
        sequence,
        zone: lease.zone,
        address: lease.address,
        admin: lease.admin,
        phase: Phase::Live,
        revision: 1,
        hash: Arc::from(""),
        confirmed_age_ms: None,
        table_age_ms: None,
    }
}

pub fn members(name: &str, zone: &str) -> Members {
    Members::open(Identity {
        fleet: Arc::from("fleet"),
        name: Arc::from(name),
        life: 99,
        zone: Arc::from(zone),
    })
}

pub fn live(members: &Members, millis: u64) -> Vec<String> {
    let live = members.live(at(millis));
    live.map(|member| member.name.to_string()).collect()
}
