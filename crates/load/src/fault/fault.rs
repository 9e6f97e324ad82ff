//! The names of fault plans.

use strum::IntoEnumIterator;

use crate::Error;

/// A fault plan.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// Nothing happens.
    Calm,
    /// One account sends five times its rate.
    Flood,
    /// A primary is killed and comes back later.
    PrimaryKilled,
    /// The zone of a primary is cut off from the other zones, with clients on its side.
    PrimaryIsolated,
    /// Replicas apply records seconds late.
    ReplicasBehind,
    /// An instance is killed and comes back later.
    InstanceKilled,
    /// An instance is paused for longer than its lease.
    InstancePaused,
    /// A zone is cut off from the other zones and from the platform.
    ZoneCut,
    /// The platform's service is down.
    TableDown,
    /// The platform's service is slow.
    TableSlow,
    /// Answers of the platform's service are lost after the change took effect.
    AnswersLost,
    /// The key of connected callers is withdrawn.
    KeyWithdrawn,
    /// Two operators change the same settings through two instances.
    RacingOperators,
    /// An operator hands a primary's role over.
    Handover,
    /// The platform is about to retire the endpoint that is a primary.
    EndpointLeaving,
    /// All instances are stopped and started, one after the other.
    RollingRestart,
}

/// Reads one or more names with `+` between them.
pub fn parse(text: &str) -> Result<Vec<Fault>, Error> {
    let names = text.split('+');
    let faults: Result<Vec<Fault>, _> = names.map(str::parse).collect();
    faults.map_err(|_| {
        let known: Vec<String> = Fault::iter().map(|fault| fault.to_string()).collect();
        Error::Flag {
            flag: "--fault",
            value: text.to_owned(),
            allowed: format!("one of {}, or two with + between them", known.join(", ")),
        }
    })
}
