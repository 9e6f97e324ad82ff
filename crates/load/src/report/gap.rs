//! The longest time with writes offered and none acknowledged.

use std::time::Duration;

use crate::work::Entry;

/// Returns the longest gap of any group.
///
/// A gap begins with the last acknowledgement, or with the first write that was due after it if
/// none was open then, and ends with the next acknowledgement or with the last open write.
pub fn write_gap(entries: &[Entry], groups: usize) -> Duration {
    let each = (0..groups).map(|group| group_gap(entries, group));
    each.max().unwrap_or_default()
}

fn group_gap(entries: &[Entry], group: usize) -> Duration {
    let writes: Vec<&Entry> = entries
        .iter()
        .filter(|entry| entry.group == group && entry.kind.is_write())
        .collect();
    let mut acks: Vec<Duration> = writes
        .iter()
        .filter(|entry| entry.is_answered())
        .map(|entry| entry.done)
        .collect();
    acks.sort_unstable();
    let last = writes
        .iter()
        .map(|entry| entry.done)
        .max()
        .unwrap_or_default();
    acks.push(last);
    let mut longest = Duration::ZERO;
    let mut from = Duration::ZERO;
    for ack in acks {
        let open = writes
            .iter()
            .filter(|entry| entry.done > from && entry.intended < ack);
        if let Some(first) = open.map(|entry| entry.intended).min() {
            longest = longest.max(ack.saturating_sub(first.max(from)));
        }
        from = ack;
    }
    longest
}
