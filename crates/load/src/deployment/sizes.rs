//! The sizes of both deployments.

use super::Account;
use super::Deployment;
use super::Group;
use super::Kind;
use super::Name;
use super::Role;

impl Deployment {
    /// Returns a deployment by its name.
    pub fn of(name: Name) -> Self {
        match name {
            Name::Lumbrera => lumbrera(),
            Name::Tesfaye => tesfaye(),
        }
    }
}

fn lumbrera() -> Deployment {
    Deployment {
        name: Name::Lumbrera,
        network: "127.10",
        zones: &["a", "b", "c"],
        instances: &["a", "b", "c", "a", "b", "c", "a", "b"],
        zone_delay_ms: 1.5,
        client_delay_ms: 3.0,
        service: "studio",
        groups: &[ORDERS, RENDERS, GALLERY],
        servers: 3,
        slots: 5,
        connections: 35,
        connect_ms: 10,
        lag_ms: 20,
        work_ms: 2,
        accounts: LUMBRERA_ACCOUNTS,
        deadline_ms: 3_000,
    }
}

fn tesfaye() -> Deployment {
    Deployment {
        name: Name::Tesfaye,
        network: "127.20",
        zones: &["a", "b", "c", "d"],
        instances: &["a", "b", "c", "d", "a", "b", "c", "d"],
        zone_delay_ms: 1.0,
        client_delay_ms: 3.0,
        service: "races",
        groups: &[ENTRIES, PAYMENTS, RESULTS],
        servers: 3,
        slots: 3,
        connections: 40,
        connect_ms: 25,
        lag_ms: 20,
        work_ms: 2,
        accounts: TESFAYE_ACCOUNTS,
        deadline_ms: 3_000,
    }
}

/// Seconds of its rate that an account may send at once.
const BURST_S: u64 = 2;

const fn account(name: &'static str, rate: u64) -> Account {
    Account {
        name,
        rate,
        burst: rate * BURST_S,
    }
}

const fn role(name: &'static str, kind: Kind, weight: u32) -> Role {
    Role { name, kind, weight }
}

const ORDERS: Group = Group {
    name: "orders",
    weight: 3,
    roles: &[
        role("order-save", Kind::KeyedInsert, 5),
        role("order-note", Kind::Insert, 1),
        role("order-batch", Kind::Transaction, 1),
        role("order-list", Kind::Count, 4),
    ],
};

const RENDERS: Group = Group {
    name: "renders",
    weight: 3,
    roles: &[
        role("status-update", Kind::Increment, 5),
        role("status-read", Kind::Version, 5),
    ],
};

const GALLERY: Group = Group {
    name: "gallery",
    weight: 4,
    roles: &[
        role("approval", Kind::KeyedInsert, 1),
        role("gallery-lookup", Kind::Count, 9),
    ],
};

const ENTRIES: Group = Group {
    name: "entries",
    weight: 3,
    roles: &[
        role("entry", Kind::KeyedInsert, 3),
        role("late-entry", Kind::Insert, 1),
        role("relay-entry", Kind::Transaction, 1),
        role("start-list", Kind::Count, 6),
    ],
};

const PAYMENTS: Group = Group {
    name: "payments",
    weight: 2,
    roles: &[
        role("payment", Kind::KeyedInsert, 6),
        role("receipt", Kind::Count, 4),
    ],
};

const RESULTS: Group = Group {
    name: "results",
    weight: 5,
    roles: &[
        role("result", Kind::Increment, 1),
        role("result-lookup", Kind::Version, 12),
    ],
};

const LUMBRERA_ACCOUNTS: &[Account] = &[
    account("atlas-shop", 120),
    account("bruma-home", 80),
    account("cedro-toys", 40),
    account("dalia-wear", 20),
    account("encino-tools", 10),
    account("fresno-pets", 10),
    account("girasol-art", 5),
    account("higuera-tea", 5),
];

const TESFAYE_ACCOUNTS: &[Account] = &[
    account("abay-club", 80),
    account("bahir-runners", 60),
    account("choke-forest", 40),
    account("dangla-youth", 20),
    account("enjibara-north", 10),
    account("finote-families", 10),
    account("gondar-hills", 5),
    account("hamusit-marshals", 5),
];
