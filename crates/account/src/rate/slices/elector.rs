//! The elector role: promises and consents given to other instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Time;

use crate::rate::Claim;
use crate::rate::Extension;
use crate::rate::Policy;

/// A consent to the takeover of a row; it is never revoked.
#[derive(Clone, Copy, Debug)]
struct Consent {
    /// The highest serial of the row for which consent was given.
    serial: u64,
    /// Time at which the holder's long lease has lapsed in any case and the entry can be removed.
    expires_at: Time,
}

/// The promises and consents given in this life of the instance.
#[derive(Clone, Debug, Default)]
pub(super) struct Elector {
    /// Time until which this elector consents to no takeover, by row.
    promised_until: BTreeMap<Arc<str>, Time>,
    consents: BTreeMap<Arc<str>, Consent>,
}

impl Elector {
    /// Decides whether to promise a holder not to consent to a takeover of its row.
    pub fn on_extension(&mut self, now: Time, policy: &Policy, extension: &Extension) -> bool {
        let consent = self.consents.get(&extension.row);
        if consent.is_some_and(|consent| extension.serial <= consent.serial) {
            return false;
        }
        let until = now + policy.promise + policy.lease_margin;
        self.promised_until
            .insert(Arc::clone(&extension.row), until);
        true
    }

    /// Decides whether to consent to the takeover of a row.
    pub fn on_claim(&mut self, now: Time, policy: &Policy, claim: &Claim) -> bool {
        if self
            .promised_until
            .get(&claim.row)
            .is_some_and(|until| now < *until)
        {
            return false;
        }
        let before = self.consents.get(&claim.row).map_or(0, |c| c.serial);
        let consent = Consent {
            serial: before.max(claim.serial),
            expires_at: now + policy.long_lease + policy.long_lease_margin,
        };
        self.consents.insert(Arc::clone(&claim.row), consent);
        true
    }

    /// Removes expired promises and consents.
    pub fn tick(&mut self, now: Time) {
        self.promised_until.retain(|_, until| now < *until);
        self.consents.retain(|_, consent| now < consent.expires_at);
    }
}
