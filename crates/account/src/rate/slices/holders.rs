//! Choice of the members that hold slices.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::rate::Member;
use crate::rate::Policy;
use crate::rate::Row;
use crate::rate::hash::hash;

/// The names of a zone's members, by rank.
type Ranked<'a> = BTreeSet<(u64, &'a Arc<str>)>;

/// A member that may hold slices.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub member: &'a Member,
    /// The zone that its row names.
    pub zone: Option<&'a Arc<str>>,
}

impl<'a> Candidate<'a> {
    /// Returns the holder of a row.
    pub fn of(row: &'a Row) -> Self {
        Self {
            member: &row.member,
            zone: row.zone.as_ref(),
        }
    }
}

/// Returns the members that should hold slices, in order.
///
/// In a small fleet these are all. In a large one they are few, the same number in each zone: an
/// account's tokens are then in few places, where whoever needs one finds it. The choice goes by
/// names, so that a restart changes nothing.
pub(super) fn choose<'a>(policy: &Policy, candidates: &[Candidate<'a>]) -> Vec<&'a Member> {
    let names: BTreeSet<&Arc<str>> = candidates.iter().map(|c| &c.member.name).collect();
    let count = policy.holder_count(names.len());
    let mut zones: BTreeMap<Option<&Arc<str>>, Ranked<'_>> = BTreeMap::new();
    for candidate in candidates {
        let name = &candidate.member.name;
        let ranked = zones.entry(candidate.zone).or_default();
        ranked.insert((hash(("holder", name)), name));
    }
    let mut chosen = BTreeSet::new();
    while chosen.len() < count.min(names.len()) {
        for ranked in zones.values_mut() {
            let name = ranked.pop_first().map(|(_, name)| name);
            if chosen.len() < count {
                chosen.extend(name);
            }
        }
    }
    let mut holders: Vec<&Member> = candidates
        .iter()
        .map(|candidate| candidate.member)
        .filter(|member| chosen.contains(&member.name))
        .collect();
    holders.sort_unstable();
    holders
}
