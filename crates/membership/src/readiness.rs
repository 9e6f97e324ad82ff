//! Why an instance is not ready, or not whole.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// What an instance knows of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Whether it holds settings that it may act on.
    pub has_usable_settings: bool,
    /// Whether it holds any settings.
    pub has_settings: bool,
    /// Whether its lease is certain to hold.
    pub is_leased: bool,
    /// Whether another process has taken its name.
    pub is_replaced: bool,
    /// Whether it is stopping.
    pub is_stopping: bool,
    /// Whether the table gives no answers.
    pub is_table_silent: bool,
    /// The zones from which nothing is heard.
    pub silent_zones: BTreeSet<Arc<str>>,
}

/// One thing that an instance can't do, with its cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reason {
    /// A short hyphenated name.
    pub name: Arc<str>,
    /// Whether the balancer must send no sessions because of it.
    pub is_blocking: bool,
    /// What it means.
    pub detail: String,
}

/// Lists what an instance can't do; it is ready if no reason is blocking.
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
        reasons.push(blocking("no-settings", "no source has given settings yet"));
    } else if !health.has_usable_settings {
        let detail = "the settings could not be confirmed for longer than they allow";
        reasons.push(blocking("settings-unconfirmed", detail));
    }
    if health.is_table_silent {
        let detail = "the table does not answer: no settings changes, promotions or new leases";
        reasons.push(partial("table-silent", detail));
    }
    if !health.is_leased {
        let detail = "the lease is not held: peers may count this instance out";
        reasons.push(partial("no-lease", detail));
    }
    for zone in &health.silent_zones {
        let detail =
            format!("nothing is heard from zone {zone}: its endpoints may be out of reach");
        reasons.push(partial("zone-silent", &detail));
    }
    reasons
}

/// Returns true if none of the reasons is blocking.
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
