//! The durations that control failure detection, proofs and promotions.

use clock::Span;

/// The durations of a group; all instances of a fleet must use the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// How long a read of the table supports acknowledgements, from the start of the read.
    pub proof_lease: Span,
    /// How much longer than `proof_lease` a promoter waits, to allow for clocks of unequal rates.
    pub clock_drift: Span,
    /// How long the primary may refuse connections before it is suspected to have failed.
    pub refusal_timeout: Span,
    /// How long the primary may leave queries without a response before it is suspected.
    pub silence_timeout: Span,
    /// The interval of status queries.
    pub poll_interval: Span,
    /// The minimum interval of the extra status queries that run while a proof is missing.
    pub extra_poll_interval: Span,
    /// The delay per rank by which instances that may order the same promotion are staggered.
    pub promotion_stagger: Span,
    /// How stale the freshest replica may be when a planned handover begins.
    pub handover_max_staleness: Span,
    /// The proof that an acknowledgement requires.
    pub proof: Proof,
}

/// The proof that an acknowledgement requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Proof {
    /// The table proof or the server proof.
    Full,
    /// None: only for tests that verify that their checker detects lost writes.
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
