//! What a lost reply to a forwarded statement means.

/// How the wait for the reply to a forwarded statement ended without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Loss {
    /// The statement was not sent.
    Unsent,
    /// The statement may have been sent, and then the connection broke.
    Broken,
    /// The statement was sent, and the peer is silent.
    Silent,
    /// The statement was sent, and its time limit has passed.
    Expired,
}

/// What follows a lost reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The statement runs at this instance.
    Run,
    /// The wait goes on.
    Wait,
    /// The write may have taken effect.
    InDoubt,
    /// The read got no reply in time.
    Timeout,
}

impl Loss {
    /// Returns what follows for a write or a read.
    ///
    /// A write that may have been sent never runs again.
    pub fn next(self, is_write: bool) -> Next {
        match (self, is_write) {
            (Self::Unsent, _) | (Self::Broken | Self::Silent, false) => Next::Run,
            // A silent peer may only be slow, and its reply is worth more than a doubt.
            (Self::Silent, true) => Next::Wait,
            (Self::Broken | Self::Expired, true) => Next::InDoubt,
            (Self::Expired, false) => Next::Timeout,
        }
    }
}
