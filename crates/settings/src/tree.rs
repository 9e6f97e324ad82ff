//! The tree of settings.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::Effective;
use crate::Error;
use crate::Fault;
use crate::Values;
use crate::schema;

/// The schema version that this program writes.
pub const SCHEMA: u32 = 1;

/// All settings of a fleet, as of one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Tree {
    /// The schema version; a program never edits a tree of a newer one.
    pub schema: u32,
    /// Values for everything that does not override them.
    pub values: Values,
    /// The services, by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// The client accounts, by name.
    pub accounts: BTreeMap<Arc<str>, Account>,
    /// The database groups, by name.
    pub groups: BTreeMap<Arc<str>, Group>,
    /// The availability zones that differ from the default, by name; a tree without any has the
    /// same text as before zones were added, so its hash is the same in all versions.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub zones: BTreeMap<Arc<str>, Zone>,
}

/// An availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Zone {
    /// Whether nothing may be sent to the zone's servers.
    pub evacuated: bool,
}

/// A service, which callers name in `service/route`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// Overrides for all routes of the service.
    pub values: Values,
    /// The routes, by name.
    pub routes: BTreeMap<Arc<str>, Route>,
}

/// A route to one database of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Route {
    /// Overrides for the route.
    pub values: Values,
    /// The group, which exists in `Tree::groups`.
    pub group: Arc<str>,
    /// The database on the group's servers.
    pub database: Arc<str>,
    /// The accounts allowed, which exist in `Tree::accounts`.
    pub accounts: BTreeSet<Arc<str>>,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Account {
    /// Overrides for the account.
    pub values: Values,
    /// The verifiers of the keys in use, by key id.
    pub keys: BTreeMap<Arc<str>, Verifier>,
}

/// What is kept of a key: enough to check it, not to use it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Verifier {
    /// The key's id, which equals its name in `Account::keys`.
    pub id: Arc<str>,
    /// The salt, in base64.
    pub salt: Arc<str>,
    /// The PBKDF2 iterations.
    pub iterations: u32,
    /// The SCRAM stored key, in base64.
    pub stored_key: Arc<str>,
    /// The SCRAM server key, in base64.
    pub server_key: Arc<str>,
}

/// A database group: one primary and its replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Group {
    /// Overrides for the group.
    pub values: Values,
    /// The servers, by endpoint name.
    pub endpoints: BTreeMap<Arc<str>, Endpoint>,
    /// Statements that one server runs at once.
    pub slots: u32,
    /// The proxies' user at the servers.
    pub user: Arc<str>,
    /// The name under which each process finds the user's password in its own settings.
    pub password_ref: Arc<str>,
}

/// One server of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Endpoint {
    /// The availability zone.
    pub zone: Arc<str>,
    /// The IP number and port.
    pub address: Arc<str>,
}

impl Default for Tree {
    fn default() -> Self {
        Self {
            schema: SCHEMA,
            values: Values::default(),
            services: BTreeMap::new(),
            accounts: BTreeMap::new(),
            groups: BTreeMap::new(),
            zones: BTreeMap::new(),
        }
    }
}

impl Tree {
    /// Reads a tree strictly: every name, type, range and reference must be right.
    pub fn read(value: &Value) -> Result<Self, Vec<Fault>> {
        let faults = schema::check(value);
        if !faults.is_empty() {
            return Err(faults);
        }
        let tree: Self = serde_json::from_value(value.clone())
            .map_err(|error| vec![Fault::new("", value, error.to_string())])?;
        let faults = tree.dangling();
        if faults.is_empty() {
            Ok(tree)
        } else {
            Err(faults)
        }
    }

    /// Reads a tree that was accepted earlier, possibly by a newer or an older program.
    ///
    /// What this program does not know is passed over, and ranges are not checked again: what
    /// was once accepted stays in force, whatever a later program would accept.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let unreadable = |why: String| Error::Unreadable {
            step: "parse settings",
            why,
        };
        let value: Value =
            serde_json::from_str(text).map_err(|error| unreadable(error.to_string()))?;
        if !value.is_object() {
            return Err(unreadable("the tree is not an object".to_owned()));
        }
        serde_json::from_value(value).map_err(|error| unreadable(error.to_string()))
    }

    /// Returns true if this program may edit the tree.
    pub fn is_editable(&self) -> bool {
        self.schema <= SCHEMA
    }

    /// Checks names, ranges and references.
    pub fn check(&self) -> Result<(), Vec<Fault>> {
        Self::read(&self.to_value()).map(|_| ())
    }

    /// Returns the tree as JSON.
    pub fn to_value(&self) -> Value {
        serde_json::to_value(self).expect("a tree has only string keys and plain values")
    }

    /// Returns the tree as JSON text, the same for equal trees.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a tree has only string keys and plain values")
    }

    /// Returns the values in force for a request, or `None` if the route does not exist.
    ///
    /// Levels override each other in the order root, group, service, account, route. Without an
    /// account, or with an unknown one, its level is left out.
    pub fn resolve(&self, service: &str, route: &str, account: Option<&str>) -> Option<Effective> {
        let service = self.services.get(service)?;
        let route = service.routes.get(route)?;
        let group = self.groups.get(&route.group);
        let account = account.and_then(|name| self.accounts.get(name));
        let mut effective = Effective::default();
        effective.override_by(&self.values);
        if let Some(group) = group {
            effective.override_by(&group.values);
        }
        effective.override_by(&service.values);
        if let Some(account) = account {
            effective.override_by(&account.values);
        }
        effective.override_by(&route.values);
        Some(effective)
    }

    /// Returns the values in force for an account as a whole.
    pub fn resolve_account(&self, account: &str) -> Option<Effective> {
        let account = self.accounts.get(account)?;
        let mut effective = self.resolve_root();
        effective.override_by(&account.values);
        Some(effective)
    }

    /// Returns the values in force for a group as a whole.
    pub fn resolve_group(&self, group: &str) -> Option<Effective> {
        let group = self.groups.get(group)?;
        let mut effective = self.resolve_root();
        effective.override_by(&group.values);
        Some(effective)
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|zone| zone.evacuated)
    }

    /// Returns the values in force for the fleet as a whole.
    pub fn resolve_root(&self) -> Effective {
        let mut effective = Effective::default();
        effective.override_by(&self.values);
        effective
    }

    /// Returns true if the account may use the route.
    pub fn allows(&self, service: &str, route: &str, account: &str) -> bool {
        let Some(effective) = self.resolve(service, route, Some(account)) else {
            return false;
        };
        effective.open_to_all
            || self.services[service].routes[route]
                .accounts
                .contains(account)
    }

    /// Lists references to nothing.
    fn dangling(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (name, service) in &self.services {
            for (route_name, route) in &service.routes {
                let path = format!("services/{name}/routes/{route_name}");
                self.check_route(&path, route, &mut faults);
            }
        }
        for (name, account) in &self.accounts {
            for (id, verifier) in &account.keys {
                if verifier.id != *id {
                    let path = format!("accounts/{name}/keys/{id}/id");
                    let found = Value::from(verifier.id.as_ref());
                    faults.push(Fault::new(&path, &found, format!("the key's id, {id:?}")));
                }
            }
        }
        faults
    }

    fn check_route(&self, path: &str, route: &Route, faults: &mut Vec<Fault>) {
        if !self.groups.contains_key(&route.group) {
            let found = Value::from(route.group.as_ref());
            let allowed = format!("a name under groups: {}", schema::names(self.groups.keys()));
            faults.push(Fault::new(&format!("{path}/group"), &found, allowed));
        }
        for account in &route.accounts {
            if !self.accounts.contains_key(account) {
                let found = Value::from(account.as_ref());
                let allowed = format!(
                    "names under accounts: {}",
                    schema::names(self.accounts.keys())
                );
                faults.push(Fault::new(&format!("{path}/accounts"), &found, allowed));
            }
        }
    }
}
