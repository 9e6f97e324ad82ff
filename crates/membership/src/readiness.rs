//! The reasons why an instance is not ready or is degraded.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// The state of an instance from which its readiness is derived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Whether its settings were confirmed recently enough to be applied.
    pub has_usable_settings: bool,
    /// Whether it has loaded any settings.
    pub has_settings: bool,
    /// Whether its own lease is certain to be valid.
    pub is_leased: bool,
    /// Whether another process has taken over its name.
    pub is_replaced: bool,
    /// Whether a planned stop has begun.
    pub is_stopping: bool,
    /// Whether the table has stopped responding.
    pub is_table_silent: bool,
    /// The availability zones from which no heartbeat arrives.
    pub silent_zones: BTreeSet<Arc<str>>,
}

/// A cause for which an instance is not ready or is degraded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reason {
    /// A short hyphenated name.
    pub name: Arc<str>,
    /// Whether the load balancer must stop sending sessions to the instance.
    pub is_blocking: bool,
    /// A description for operators.
    pub detail: String,
}

/// Lists the reasons why an instance is not ready or is degraded; it is ready if none is blocking.
pub fn readiness(health: &Health) -> Vec<Reason> {
    let mut reasons = Vec::new();
    if health.is_stopping {
        reasons.push(blocking("stopping", "a planned stop is under way"));
    }
    if health.is_replaced {
        reasons.push(blocking(
            "replaced",
            "another process runs under this instance's name",
        ));
    }
    if !health.has_settings {
        reasons.push(blocking("no-settings", "no settings have been loaded yet"));
    } else if !health.has_usable_settings {
        let detail = "the settings have not been confirmed within the time that they allow";
        reasons.push(blocking("settings-unconfirmed", detail));
    }
    if health.is_table_silent {
        let detail = "the table does not respond: no settings changes, promotions or new leases";
        reasons.push(partial("table-silent", detail));
    }
    if !health.is_leased {
        let detail = "the lease is not held: peers may treat this instance as gone";
        reasons.push(partial("no-lease", detail));
    }
    for zone in &health.silent_zones {
        let detail =
            format!("no heartbeat arrives from zone {zone}: its endpoints may be unreachable");
        reasons.push(partial("zone-silent", &detail));
    }
    reasons
}

/// Returns true if no reason is blocking.
pub fn is_ready(reasons: &[Reason]) -> bool {
    !reasons.iter().any(|reason| reason.is_blocking)
}

fn blocking(name: &str, detail: &str) -> Reason {
    Reason {
        name: Arc::from(name),
        is_blocking: true,
        detail: detail.to_owned(),
    }
}

fn partial(name: &str, detail: &str) -> Reason {
    Reason {
        is_blocking: false,
        ..blocking(name, detail)
    }
}
