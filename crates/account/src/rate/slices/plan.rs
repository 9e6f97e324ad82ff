//! Plans the slices that a member should hold, as a pure function of the rows.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Time;

use crate::rate::Member;
use crate::rate::Policy;
use crate::rate::Row;
use crate::rate::SLICE_COUNT;
use crate::rate::hash::hash;
use crate::rate::slices::holders;
use crate::rate::slices::view::Observation;

/// Maximum number of electors of a row; a majority of them is five.
const MAX_ELECTORS: usize = 9;

/// The effect of a takeover on the row of a lapsed member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Takeover {
    /// Frees the mobile slices.
    Mobile,
    /// Deletes the row, which frees all its slices.
    All,
}

impl Takeover {
    /// Returns the slices that it frees.
    pub fn freed(self, row: &Row) -> u64 {
        match self {
            Self::Mobile => row.mobile,
            Self::All => row.slices(),
        }
    }
}

/// The planned content of the own row, and the takeovers that free slices for it.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub pinned: u64,
    pub mobile: u64,
    pub electors: Vec<Member>,
    pub takeovers: BTreeMap<Arc<str>, Takeover>,
}

/// Plans the own row; free slices are acquired only if `may_acquire`.
///
/// Slices move in two separate transactions: a member with too many releases some, and a member
/// with too few acquires free ones.
pub(super) fn plan(
    now: Time,
    policy: &Policy,
    local: &holders::Candidate<'_>,
    own: Option<&Row>,
    others: &BTreeMap<Arc<str>, Observation>,
    takeovers: BTreeMap<Arc<str>, Takeover>,
    may_acquire: bool,
) -> Plan {
    let mut candidates = vec![*local];
    let mut occupied = 0_u64;
    let mut locked_count = 0_u32;
    for (key, observed) in others {
        let kept = match takeovers.get(key) {
            None => observed.row.slices(),
            Some(Takeover::Mobile) => observed.row.pinned,
            // The holder has ended, so it gets no part of the slices.
            Some(Takeover::All) => continue,
        };
        occupied |= kept;
        if !observed.has_lapsed(now, policy) {
            candidates.push(holders::Candidate::of(&observed.row));
        } else if kept != 0 {
            locked_count += observed.row.pinned.count_ones();
        }
    }
    let holders = holders::choose(policy, &candidates);
    let target = target(local.member, &holders, SLICE_COUNT - locked_count);
    // A table that returned from an older copy may show a slice in two rows: both holders give it
    // up before it is acquired again.
    let own_slices = own.map_or(0, Row::slices) & !occupied;
    let free = match may_acquire {
        true => !occupied & !own_slices,
        false => 0,
    };
    let kept = lowest(own_slices, target);
    let slices = kept | lowest(free, target - kept.count_ones());
    let pinned_target = slices.count_ones() * policy.pinned_percent / 100;
    let pinned_before = own.map_or(0, |row| row.pinned) & slices;
    let pinned_kept = lowest(pinned_before, pinned_target);
    let more = pinned_target - pinned_kept.count_ones();
    let pinned = pinned_kept | lowest(slices & !pinned_kept, more);
    Plan {
        pinned,
        mobile: slices & !pinned,
        electors: electors(local.member, candidates),
        takeovers,
    }
}

/// Returns the electors of `local`'s row: the members of which a majority must consent before its
/// mobile slices are taken over. `local` is one of them.
///
/// In a large fleet they are a subset of the members, which keeps rows small. The choice is stable:
/// it changes little when members join or leave.
fn electors(local: &Member, candidates: Vec<holders::Candidate<'_>>) -> Vec<Member> {
    let mut members: Vec<Member> = candidates
        .into_iter()
        .map(|candidate| candidate.member.clone())
        .collect();
    members.sort_unstable();
    if members.len() > MAX_ELECTORS {
        members.sort_by_cached_key(|member| (member != local, hash((&local.name, member))));
        members.truncate(MAX_ELECTORS);
        members.sort_unstable();
    }
    members
}

/// Returns the number of slices, out of `total`, that a member should hold.
fn target(local: &Member, holders: &[&Member], total: u32) -> u32 {
    let Ok(index) = holders.binary_search(&local) else {
        return 0;
    };
    // CAST: there are at most `SLICE_COUNT` holders.
    let (index, count) = (index as u32, holders.len() as u32);
    total / count + u32::from(index < total % count)
}

/// Returns the lowest `count` slices of a mask.
fn lowest(mask: u64, count: u32) -> u64 {
    let mut remaining = mask;
    let mut out = 0;
    for _ in 0..count.min(mask.count_ones()) {
        let bit = remaining & remaining.wrapping_neg();
        out |= bit;
        remaining &= !bit;
    }
    out
}
