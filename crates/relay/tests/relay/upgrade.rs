//! Messages and rows of an earlier version. The fixtures guard against builds of two versions that
//! misread each other while instances are replaced one after the other; they are never regenerated.

use std::collections::BTreeMap;
use std::sync::Arc;

use account::rate;
use account::rate::Amount;
use account::rate::Limit;
use account::rate::Message;
use endpoint::Position;
use relay::failover::Lease;
use relay::peers::Datagram;
use relay::peers::Payload;
use relay::peers::Report;
use relay::peers::Topic;
use relay::peers::View;
use store::Row;

/// Datagrams of revision 000f955: a name and the bytes without the tag.
const DATAGRAMS: &str = include_str!("fixtures/datagrams-000f955.txt");
/// Rows of revision 000f955: a key and the value.
const ROWS: &str = include_str!("fixtures/rows-000f955.txt");

fn text(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn answer() -> rate::Answer {
    rate::Answer {
        id: 4,
        row: text("share/of/edge-1/7"),
        elector_life: 9,
        is_granted: true,
    }
}

fn rate_messages() -> Vec<(&'static str, Message)> {
    let limit = Limit {
        rate: 34,
        burst: 32,
    };
    let borrow = rate::Borrow {
        id: 1,
        life: 7,
        account: text("club"),
        limit,
        amount: Amount::from_tokens(2),
        is_urgent: true,
    };
    let loan = rate::Loan {
        borrow_id: 1,
        life: 7,
        account: text("club"),
        limit,
        amount: Amount::from_tokens(2),
        spare: Amount::from_tokens(1),
    };
    let extension = rate::Extension {
        id: 2,
        row: text("share/of/edge-1/7"),
        serial: 5,
        elector_life: 9,
    };
    let claim = rate::Claim {
        id: 3,
        row: text("share/of/edge-1/7"),
        serial: 5,
        elector_life: 9,
    };
    let version = rate::Version {
        key: 11,
        content: 12,
        version: 13,
        serial: 5,
    };
    let versions = rate::Versions {
        id: 6,
        life: 7,
        part: 0,
        count: 1,
        age_us: 1_500,
        epoch: Some(14),
        versions: vec![version],
    };
    vec![
        ("borrow", Message::Borrow(borrow)),
        ("loan", Message::Loan(loan)),
        ("extension", Message::Extension(extension)),
        ("promise", Message::Promise(answer())),
        ("claim", Message::Claim(claim)),
        ("consent", Message::Consent(answer())),
        (
            "get-versions",
            Message::GetVersions(rate::Query { id: 6, life: 7 }),
        ),
        ("versions", Message::Versions(versions)),
    ]
}

fn payloads() -> Vec<(&'static str, Payload)> {
    let position = Position {
        term: 2,
        offset: 1_207,
    };
    let report = Report {
        group: text("catalog"),
        server: text("i-1"),
        position,
        since_ms: -3,
    };
    let view = View {
        is_prober: true,
        leader: Some(text("i-1")),
        term: 2,
        token: 8,
        acknowledged: position,
        commit_age_ms: 40,
    };
    let counts = BTreeMap::from([((text("catalog"), text("i-1")), 3)]);
    let group = || text("catalog");
    let rate = rate_messages().into_iter();
    let mut payloads: Vec<_> = rate
        .map(|(name, message)| (name, Payload::Rate(message)))
        .collect();
    payloads.extend([
        (
            "get-view",
            Payload::GetView {
                id: 1,
                group: group(),
            },
        ),
        ("load", Payload::Load(250)),
        (
            "get-confirmation",
            Payload::GetConfirmation {
                id: 2,
                topic: Topic::Servers,
            },
        ),
        (
            "confirmed",
            Payload::Confirmed {
                id: 2,
                topic: Topic::Leaders,
                revision: 31,
                since_ms: -12,
            },
        ),
        (
            "revoke-leader-lease",
            Payload::RevokeLeaderLease {
                id: 3,
                group: group(),
                token: 8,
            },
        ),
        (
            "leader-lease-revoked",
            Payload::LeaderLeaseRevoked { id: 3 },
        ),
        ("get-reports", Payload::GetReports { id: 4, load: 250 }),
        (
            "reports",
            Payload::Reports {
                id: 4,
                mean_load: 200,
                reports: vec![report],
            },
        ),
        (
            "new-leader",
            Payload::NewLeader {
                group: group(),
                server: text("i-2"),
            },
        ),
        ("view", Payload::View { id: 1, view }),
        ("get-entries", Payload::GetEntries { id: 5, known: 99 }),
        (
            "entries",
            Payload::Entries {
                id: 5,
                part: 0,
                count: 1,
                version: 77,
                digest: 98,
                is_full: false,
                changes: Vec::new(),
            },
        ),
        ("server-loads", Payload::ServerLoads(counts.clone())),
        ("fleet-loads", Payload::FleetLoads { id: 4, counts }),
    ]);
    payloads
}

fn datagram(payload: &Payload) -> Datagram {
    Datagram {
        from: text("edge-2"),
        payload: payload.clone(),
    }
}

fn fixture(name: &str) -> Vec<u8> {
    let mut lines = DATAGRAMS.lines().filter_map(|line| line.split_once(' '));
    let (_, hex) = lines
        .find(|(found, _)| *found == name)
        .unwrap_or_else(|| panic!("the fixtures have no {name}"));
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hexadecimal digits"))
        .collect()
}

#[test]
fn messages_of_the_earlier_version_are_read() {
    for (name, payload) in payloads() {
        let decoded = Datagram::decode(&fixture(name));
        assert_eq!(decoded, Ok((datagram(&payload), 0)), "{name}");
    }
}

/// The earlier version reads the beginning and ignores what follows.
#[test]
fn the_earlier_version_reads_what_this_one_sends() {
    for (name, payload) in payloads() {
        let sent = datagram(&payload).encode().expect("encodes");
        assert!(sent.starts_with(&fixture(name)), "{name}");
        assert!(matches!(Datagram::decode(&sent), Ok((_, 1..))), "{name}");
    }
}

/// A later version may add messages, and fields behind what this one knows.
#[test]
fn additions_of_a_later_version_are_never_misread() {
    let known = datagram(&Payload::Load(250));
    let mut extended = known.encode().expect("encodes");
    extended.extend([7, 7, 7]);
    let decoded = Datagram::decode(&extended).expect("what follows is ignored");
    assert_eq!(decoded.0, known);
    let count = u8::try_from(payloads().len()).expect("few messages");
    // Numbers below 128 take one byte.
    for first in count..128 {
        // The sender's name, then the number of a message that doesn't exist.
        let unknown = [6, b'e', b'd', b'g', b'e', b'-', b'2', first, 0, 0, 0, 0];
        assert!(Datagram::decode(&unknown).is_err(), "message {first}");
    }
}

/// The landed build doesn't know these messages, so their numbers follow those that it knows.
#[test]
fn messages_that_were_added_are_read_by_this_version_only() {
    let added = [
        Payload::DemoteLeader {
            id: 6,
            group: text("catalog"),
            server: text("i-1"),
            term: 3,
        },
        Payload::LeaderDemoted {
            id: 6,
            received: Position {
                term: 2,
                offset: 1_208,
            },
        },
        Payload::EndReliance {
            id: 7,
            group: text("catalog"),
            token: 9,
        },
        Payload::RelianceEnded {
            id: 7,
            acknowledged: Position {
                term: 2,
                offset: 1_208,
            },
        },
    ];
    for (payload, number) in added.iter().zip(15..) {
        let sent = datagram(payload).encode().expect("encodes");
        assert_eq!(sent[7], number, "{payload:?}");
        let decoded = Datagram::decode(&sent);
        assert_eq!(decoded, Ok((datagram(payload), 3)));
    }
}

fn row(key: &str) -> Row {
    let mut lines = ROWS.lines().filter_map(|line| line.split_once(' '));
    let (_, value) = lines
        .find(|(found, _)| *found == key)
        .unwrap_or_else(|| panic!("the fixtures have no {key}"));
    Row {
        key: text(key),
        value: text(value),
        version: 1,
    }
}

#[test]
fn rows_of_the_earlier_version_are_read() {
    let slices = row("share/of/edge-1/7");
    let address = rate::registered(std::slice::from_ref(&slices));
    assert_eq!(
        address.get("edge-1").map(ToString::to_string),
        Some("10.1.0.26:7560".to_owned())
    );
    let lease = Lease::parse(&row("group/duty/catalog")).expect("parses");
    assert_eq!(lease.token, 8);
    assert_eq!(&*lease.holder, "edge-1");
}

/// Fields that a later version adds to rows are ignored.
#[test]
fn rows_of_a_later_version_are_read() {
    for key in ["share/of/edge-1/7", "group/duty/catalog"] {
        let mut later = row(key);
        later.value = Arc::from(later.value.replacen('{', "{\"added\":[1],", 1));
        match key.starts_with("share/") {
            true => assert_eq!(rate::registered(&[later]).len(), 1),
            false => assert!(Lease::parse(&later).is_some()),
        }
    }
}
