//! The names, types and ranges that a tree may have, as data.

use std::sync::Arc;

use serde_json::Value;

use crate::Fault;
use crate::SCHEMA;

/// Bytes of a name.
const NAME_BYTES: usize = 63;
/// Names that a fault lists before it stops.
const NAMES_LISTED: usize = 12;
/// Faults that one check reports.
const FAULTS_LISTED: usize = 50;

/// What a value may be.
enum Shape {
    Integer { min: u64, max: u64 },
    Flag,
    Text,
    Address,
    Word(&'static [&'static str]),
    Names,
    Map(&'static [Field]),
    Object(&'static [Field]),
}

/// A named member of an object.
struct Field {
    name: &'static str,
    shape: Shape,
    required: bool,
}

const fn optional(name: &'static str, shape: Shape) -> Field {
    Field {
        name,
        shape,
        required: false,
    }
}

const fn required(name: &'static str, shape: Shape) -> Field {
    Field {
        name,
        shape,
        required: true,
    }
}

const fn integer(name: &'static str, min: u64, max: u64) -> Field {
    optional(name, Shape::Integer { min, max })
}

const DEADLINE: Field = integer("deadline_ms", 10, 600_000);
const QUEUE: Field = integer("queue_ms", 0, 600_000);
const MAX_AGE: Field = integer("max_age_ms", 0, 3_600_000);
const READ_FROM_REPLICAS: Field = optional("read_from_replicas", Shape::Flag);
const RATE: Field = integer("rate_per_s", 0, 1_000_000);
const BURST: Field = integer("burst", 0, 1_000_000);
const WEIGHT: Field = integer("weight", 1, 1_000);
const PRIORITY: Field = optional("priority", Shape::Word(&["write", "lookup"]));
const OPEN_TO_ALL: Field = optional("open_to_all", Shape::Flag);
const KEY_GRACE: Field = integer("key_grace_ms", 0, 60_000);
const WHEN_CUT_OFF: Field = optional("when_cut_off", Shape::Word(&["serve", "refuse"]));
const CUT_OFF: Field = integer("cut_off_ms", 1_000, 86_400_000);
const RETENTION: Field = integer("idempotency_retention_s", 60, 2_592_000);
const CONNECTIONS: Field = integer("connections", 1, 10_000);
const DETECT: Field = integer("detect_ms", 50, 60_000);
const POLL: Field = integer("poll_ms", 10, 10_000);
const LEASE: Field = integer("lease_ms", 500, 60_000);
const STOP: Field = integer("stop_ms", 0, 3_600_000);

const ROOT_VALUES: &[Field] = &[
    DEADLINE,
    QUEUE,
    MAX_AGE,
    READ_FROM_REPLICAS,
    RATE,
    BURST,
    WEIGHT,
    PRIORITY,
    OPEN_TO_ALL,
    KEY_GRACE,
    WHEN_CUT_OFF,
    CUT_OFF,
    RETENTION,
    CONNECTIONS,
    DETECT,
    POLL,
    LEASE,
    STOP,
];

const ROUTE_VALUES: &[Field] = &[
    DEADLINE,
    QUEUE,
    MAX_AGE,
    READ_FROM_REPLICAS,
    PRIORITY,
    OPEN_TO_ALL,
    WHEN_CUT_OFF,
    RETENTION,
];

const ACCOUNT_VALUES: &[Field] = &[
    DEADLINE,
    QUEUE,
    MAX_AGE,
    READ_FROM_REPLICAS,
    RATE,
    BURST,
    WEIGHT,
    PRIORITY,
    KEY_GRACE,
];

const GROUP_VALUES: &[Field] = &[CONNECTIONS, DETECT, POLL];

const ROUTE: &[Field] = &[
    optional("values", Shape::Object(ROUTE_VALUES)),
    required("group", Shape::Text),
    required("database", Shape::Text),
    optional("accounts", Shape::Names),
];

const SERVICE: &[Field] = &[
    optional("values", Shape::Object(ROUTE_VALUES)),
    optional("routes", Shape::Map(ROUTE)),
];

const VERIFIER: &[Field] = &[
    required("id", Shape::Text),
    required("salt", Shape::Text),
    required(
        "iterations",
        Shape::Integer {
            min: 1,
            max: 10_000_000,
        },
    ),
    required("stored_key", Shape::Text),
    required("server_key", Shape::Text),
];

const ACCOUNT: &[Field] = &[
    optional("values", Shape::Object(ACCOUNT_VALUES)),
    optional("keys", Shape::Map(VERIFIER)),
];

const ENDPOINT: &[Field] = &[
    required("zone", Shape::Text),
    required("address", Shape::Address),
];

const GROUP: &[Field] = &[
    optional("values", Shape::Object(GROUP_VALUES)),
    required("endpoints", Shape::Map(ENDPOINT)),
    required(
        "slots",
        Shape::Integer {
            min: 1,
            max: 10_000,
        },
    ),
    required("user", Shape::Text),
    required("password_ref", Shape::Text),
];

const ZONE: &[Field] = &[required("evacuated", Shape::Flag)];

// CAST: SCHEMA is a small constant, and `From` is not const.
const TREE: &[Field] = &[
    required(
        "schema",
        Shape::Integer {
            min: 1,
            max: SCHEMA as u64,
        },
    ),
    optional("values", Shape::Object(ROOT_VALUES)),
    optional("services", Shape::Map(SERVICE)),
    optional("accounts", Shape::Map(ACCOUNT)),
    optional("groups", Shape::Map(GROUP)),
    optional("zones", Shape::Map(ZONE)),
];

/// Lists what is wrong with a tree given as JSON, apart from its references.
pub(crate) fn check(value: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_object("", value, TREE, &mut faults);
    faults.truncate(FAULTS_LISTED);
    faults
}

/// Lists some names for a message.
pub(crate) fn names<'a>(all: impl Iterator<Item = &'a Arc<str>>) -> String {
    let mut listed: Vec<&str> = all.map(AsRef::as_ref).take(NAMES_LISTED + 1).collect();
    if listed.is_empty() {
        return "none exists".to_owned();
    }
    if listed.len() > NAMES_LISTED {
        listed[NAMES_LISTED] = "...";
    }
    listed.join(", ")
}

fn check_shape(path: &str, value: &Value, shape: &Shape, faults: &mut Vec<Fault>) {
    let right = match shape {
        Shape::Integer { min, max } => value
            .as_u64()
            .is_some_and(|number| (*min..=*max).contains(&number)),
        Shape::Flag => value.is_boolean(),
        Shape::Text => value
            .as_str()
            .is_some_and(|text| !text.is_empty() && text.len() <= 255),
        Shape::Address => value
            .as_str()
            .is_some_and(|text| text.parse::<std::net::SocketAddr>().is_ok()),
        Shape::Word(words) => value.as_str().is_some_and(|text| words.contains(&text)),
        Shape::Names => value
            .as_array()
            .is_some_and(|all| all.iter().all(|name| name.as_str().is_some_and(is_name))),
        Shape::Map(fields) => return check_map(path, value, fields, faults),
        Shape::Object(fields) => return check_object(path, value, fields, faults),
    };
    if !right {
        faults.push(Fault::new(path, value, allowed(shape)));
    }
}

fn allowed(shape: &Shape) -> String {
    match shape {
        Shape::Integer { min, max } => format!("a whole number from {min} to {max}"),
        Shape::Flag => "true or false".to_owned(),
        Shape::Text => "a text of 1 to 255 bytes".to_owned(),
        Shape::Address => "an IP number and a port, such as 127.0.0.1:5432".to_owned(),
        Shape::Word(words) => format!("one of: {}", words.join(", ")),
        Shape::Names => "a list of names".to_owned(),
        Shape::Map(_) | Shape::Object(_) => "an object".to_owned(),
    }
}

fn check_map(path: &str, value: &Value, fields: &[Field], faults: &mut Vec<Fault>) {
    let Some(members) = value.as_object() else {
        faults.push(Fault::new(path, value, "an object"));
        return;
    };
    for (name, member) in members {
        let path = join(path, name);
        if !is_name(name) {
            let allowed =
                format!("a name of 1 to {NAME_BYTES} lower-case letters, digits, '-', '_' and '.'");
            faults.push(Fault::new(&path, &Value::from(name.as_str()), allowed));
            continue;
        }
        check_object(&path, member, fields, faults);
    }
}

fn check_object(path: &str, value: &Value, fields: &[Field], faults: &mut Vec<Fault>) {
    let Some(members) = value.as_object() else {
        faults.push(Fault::new(path, value, "an object"));
        return;
    };
    for (name, member) in members {
        let path = join(path, name);
        match fields.iter().find(|field| field.name == name) {
            Some(field) => check_shape(&path, member, &field.shape, faults),
            None => {
                let known: Vec<&str> = fields.iter().map(|field| field.name).collect();
                let allowed = format!("no such name here; known: {}", known.join(", "));
                faults.push(Fault::new(&path, member, allowed));
            }
        }
    }
    for field in fields.iter().filter(|field| field.required) {
        if !members.contains_key(field.name) {
            let allowed = allowed(&field.shape);
            faults.push(Fault::new(&join(path, field.name), &Value::Null, allowed));
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}/{name}")
    }
}

fn is_name(text: &str) -> bool {
    let byte_allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
    (1..=NAME_BYTES).contains(&text.len()) && text.bytes().all(byte_allowed)
}
