//! Which events of the time line are asked for.

use serde::Deserialize;
use serde::Serialize;
use timeline::Event;
use timeline::Kind;
use timeline::Timestamp;

/// Events that one answer has at most.
const LIMIT_MAX: usize = 10_000;

/// A choice of events; what is not given is not looked at.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Filter {
    /// Only later events: the wall milliseconds of a stamp.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after_ms: Option<u64>,
    /// Only later events: the counter of that stamp.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after_count: Option<u32>,
    /// Only this kind.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kind: Option<Kind>,
    /// Only with this field `group`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub group: Option<String>,
    /// Only with this field `account`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
    /// Only with this field `change`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub change: Option<String>,
    /// Only with this field `request`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// At most this many, the earliest ones.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
}

impl Filter {
    /// Returns the stamp after which events are asked for.
    pub fn after(&self) -> Timestamp {
        Timestamp {
            wall_ms: self.after_ms.unwrap_or(0),
            count: self.after_count.unwrap_or(0),
        }
    }

    /// Returns the events that are asked for.
    pub fn choose(&self, events: Vec<Event>) -> Vec<Event> {
        let limit = self.limit.unwrap_or(LIMIT_MAX).min(LIMIT_MAX);
        events
            .into_iter()
            .filter(|event| self.matches(event))
            .take(limit)
            .collect()
    }

    fn matches(&self, event: &Event) -> bool {
        let fields = [
            ("group", &self.group),
            ("account", &self.account),
            ("change", &self.change),
            ("request", &self.request),
        ];
        self.kind.is_none_or(|kind| kind == event.kind)
            && fields.iter().all(|(name, wanted)| {
                wanted.is_none() || event.fields.get(*name) == wanted.as_ref()
            })
    }
}
