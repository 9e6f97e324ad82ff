//! What the interface shows, as JSON.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use settings::Answer;
use settings::Record;
use settings::Standing;
use settings::Tree;

/// The tree in force at the instance asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeView {
    /// Its revision.
    pub revision: u64,
    /// The hash of its snapshot.
    pub hash: Arc<str>,
    /// The tree.
    pub tree: Arc<Tree>,
}

/// Stands for what a reader is not shown.
const HIDDEN: &str = "hidden";

impl TreeView {
    /// Returns the tree without what would help to guess keys.
    pub(crate) fn without_verifiers(mut self) -> Self {
        let tree = Arc::make_mut(&mut self.tree);
        for account in tree.accounts.values_mut() {
            for verifier in account.keys.values_mut() {
                verifier.salt = Arc::from(HIDDEN);
                verifier.stored_key = Arc::from(HIDDEN);
                verifier.server_key = Arc::from(HIDDEN);
            }
        }
        self
    }
}

/// What became of a change, and where it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeStatus {
    /// What is kept of the change.
    pub record: Record,
    /// Whether it is in force on every known instance.
    pub is_everywhere: bool,
    /// How each known instance stands to it.
    pub instances: Vec<Standing>,
}

/// The outcome of granting a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// What became of the change.
    pub answer: Answer,
    /// The key's id, by which it is withdrawn.
    pub key_id: Arc<str>,
    /// The key, which is shown this once; `None` if this change was accepted earlier.
    pub key: Option<String>,
}

/// A database group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Its name.
    pub name: Arc<str>,
    /// Its term.
    pub term: u64,
    /// Its primary, if one is known.
    pub primary: Option<Arc<str>>,
    /// `steady`, `ordered` while a promotion is under way, or `unknown`.
    pub phase: Arc<str>,
    /// Whether writes can be acknowledged, as seen from the instance asked.
    pub is_writable: bool,
}

/// The outcome of ordering a hand-over of a group's primary role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The group.
    pub group: Arc<str>,
    /// The term that the order begins.
    pub term: u64,
    /// The order's id.
    pub order: Arc<str>,
}

/// An instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where peers reach it.
    pub address: Arc<str>,
    /// Where operators reach it.
    pub admin: Arc<str>,
    /// `live`, `leaving`, `suspected` or `gone`.
    pub state: Arc<str>,
    /// The settings revision that it acts on.
    pub revision: u64,
    /// Milliseconds since it was last heard from; `None` if never.
    pub heard_ms: Option<u64>,
}

/// A database server, as seen from the instance asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name.
    pub name: Arc<str>,
    /// Its group.
    pub group: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its IP number and port.
    pub address: Arc<str>,
    /// `primary`, `replica` or `unknown`.
    pub role: Arc<str>,
    /// `up`, `down` or `leaving`.
    pub state: Arc<str>,
    /// The last log record that it holds, as `TERM/OFFSET`.
    pub received: Option<String>,
    /// The last log record that reads can see, as `TERM/OFFSET`.
    pub applied: Option<String>,
    /// Connections that this instance has open to it.
    pub connections: u64,
    /// Those of them that are in use.
    pub in_use: u64,
}

/// A caller's session at the instance asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Its number at this instance.
    pub id: u64,
    /// Its client account.
    pub account: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Its route.
    pub route: Arc<str>,
    /// The caller's address.
    pub caller: Arc<str>,
    /// `idle`, `queued`, `running` or `in-transaction`.
    pub state: Arc<str>,
    /// Statements so far.
    pub statements: u64,
    /// Milliseconds since it began.
    pub age_ms: u64,
}
