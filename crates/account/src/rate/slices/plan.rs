//! Which slices a member should hold, as a pure function of the rows.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Time;

use crate::rate::Member;
use crate::rate::Policy;
use crate::rate::Row;
use crate::rate::SLICES;
use crate::rate::hash::hash;
use crate::rate::slices::view::Seen;

/// The most electors of a row; a majority of them is five.
const ELECTORS_MOST: usize = 9;

/// What is done to the row of a member that lost its slices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Takeover {
    /// The mobile slices are freed.
    Mobile,
    /// The row is deleted, which frees all its slices.
    All,
}

impl Takeover {
    /// Returns the slices that it takes from a row.
    pub fn freed(self, row: &Row) -> u64 {
        match self {
            Self::Mobile => row.mobile,
            Self::All => row.slices(),
        }
    }
}

/// The own row and the takeovers that make it possible.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub pinned: u64,
    pub mobile: u64,
    pub electors: Vec<Member>,
    pub takeovers: BTreeMap<Arc<str>, Takeover>,
}

/// Plans the own row.
///
/// Slices move in two steps, each a transaction of its own: whoever has too many drops some, and
/// whoever has too few takes free ones.
pub(super) fn plan(
    now: Time,
    policy: &Policy,
    me: &Member,
    own: Option<&Row>,
    others: &BTreeMap<Arc<str>, Seen>,
    takeovers: BTreeMap<Arc<str>, Takeover>,
) -> Plan {
    let mut members = vec![me.clone()];
    let mut used = 0_u64;
    let mut locked = 0_u32;
    for (key, seen) in others {
        let kept = match takeovers.get(key) {
            None => seen.row.slices(),
            Some(Takeover::Mobile) => seen.row.pinned,
            Some(Takeover::All) => 0,
        };
        assert!(used & kept == 0, "a slice stands in two rows");
        used |= kept;
        if !seen.lapsed(now, policy) {
            members.push(seen.row.member.clone());
        } else if kept != 0 {
            locked += seen.row.pinned.count_ones();
        }
    }
    members.sort_unstable();
    let target = target(me, &members, SLICES - locked);
    let mine = own.map_or(0, Row::slices);
    assert!(used & mine == 0, "a slice stands in two rows");
    let free = !used & !mine;
    let kept = lowest(mine, target);
    let slices = kept | lowest(free, target - kept.count_ones());
    let pinned_target = slices.count_ones() * policy.pinned_percent / 100;
    let pinned_before = own.map_or(0, |row| row.pinned) & slices;
    let pinned_kept = lowest(pinned_before, pinned_target);
    let more = pinned_target - pinned_kept.count_ones();
    let pinned = pinned_kept | lowest(slices & !pinned_kept, more);
    Plan {
        pinned,
        mobile: slices & !pinned,
        electors: electors(me, members),
        takeovers,
    }
}

/// Returns the members that must agree before slices of `me` are taken over, `me` among them.
///
/// In a large fleet they are some of the members, so that rows stay small; who they are changes
/// little when members come and go.
fn electors(me: &Member, mut members: Vec<Member>) -> Vec<Member> {
    if members.len() > ELECTORS_MOST {
        members.sort_by_cached_key(|member| (member != me, hash((&me.name, member))));
        members.truncate(ELECTORS_MOST);
        members.sort_unstable();
    }
    members
}

/// Returns how many of `total` slices a member should hold.
fn target(me: &Member, members: &[Member], total: u32) -> u32 {
    // CAST: a fleet has far fewer than 2^32 members.
    let count = members.len() as u32;
    let index = members.partition_point(|member| member < me) as u32;
    total / count + u32::from(index < total % count)
}

/// Returns the lowest `count` slices of a mask.
fn lowest(mask: u64, count: u32) -> u64 {
    let mut rest = mask;
    let mut out = 0;
    for _ in 0..count.min(mask.count_ones()) {
        let bit = rest & rest.wrapping_neg();
        out |= bit;
        rest &= !bit;
    }
    out
}
