//! The durations that steer detection, proofs and promotions.

use clock::Span;

/// The durations of a group; all instances of a fleet must use the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// How long a table read supports acknowledgements, from the start of the read.
    pub proof_lease: Span,
    /// How much longer than `proof_lease` a promoter waits, for clocks of unequal rates.
    pub clock_drift: Span,
    /// How long the primary may refuse connections before it is suspected.
    pub refusal_timeout: Span,
    /// How long the primary may be silent, without an error, before it is suspected.
    pub silence_timeout: Span,
    /// The period of status queries.
    pub poll_interval: Span,
    /// The least distance between two extra rounds of status queries, while a proof is lacking.
    pub extra_poll_interval: Span,
    /// The delay between two instances that both have ground to promote.
    pub promotion_stagger: Span,
    /// How stale a replica may be for a planned hand-over to begin.
    pub handover_max_staleness: Span,
    /// Which rule stands before an acknowledgement.
    pub proof: Proof,
}

/// Which rule stands before an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Proof {
    /// The table proof or the server proof.
    Full,
    /// None at all: for tests that show that their checker finds the loss.
    None,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            proof_lease: Span::from_millis(600),
            clock_drift: Span::from_millis(10),
            refusal_timeout: Span::from_millis(400),
            silence_timeout: Span::from_millis(650),
            poll_interval: Span::from_millis(50),
            extra_poll_interval: Span::from_millis(20),
            promotion_stagger: Span::from_millis(40),
            handover_max_staleness: Span::from_millis(300),
            proof: Proof::Full,
        }
    }
}
