//! What is known of an instance to which statements are forwarded.

use std::net::SocketAddr;

use clock::Span;
use clock::Time;

/// A peer is left out once it has sent nothing for this long while an answer was outstanding. It
/// answers pings at once, and an instance with a tenth of a core is delayed by up to 100 ms.
const SILENCE: Span = Span::from_millis(300);
/// A connection on which nothing arrives for this long is closed.
const SILENCE_MAX: Span = Span::from_secs(2);

/// Whether a peer takes statements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// There is no connection.
    #[default]
    Disconnected,
    /// There is a connection.
    Connected,
    /// There is a connection, but the peer stops.
    Stopping,
}

/// What is known of an instance to which statements are forwarded.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// The address at which it accepts statements.
    pub address: SocketAddr,
    state: State,
    /// Since when an answer has been outstanding without any frame.
    unheard_since: Option<Time>,
}

impl Peer {
    /// Opens the state of a peer without a connection.
    pub fn open(address: SocketAddr) -> Self {
        Self {
            address,
            state: State::default(),
            unheard_since: None,
        }
    }

    /// Records a new connection.
    pub fn on_connected(&mut self) {
        self.state = State::Connected;
        self.unheard_since = None;
    }

    /// Records that the connection broke.
    pub fn on_disconnected(&mut self) {
        self.state = State::Disconnected;
        self.unheard_since = None;
    }

    /// Records that the peer takes no more statements on this connection.
    pub fn on_stopping(&mut self) {
        if self.state == State::Connected {
            self.state = State::Stopping;
        }
    }

    /// Records that something was sent that the peer answers.
    pub fn on_sent(&mut self, now: Time) {
        self.unheard_since.get_or_insert(now);
    }

    /// Records that a frame arrived.
    pub fn on_heard(&mut self) {
        self.unheard_since = None;
    }

    /// Returns whether an answer is outstanding and no frame has arrived since.
    pub fn is_awaited(&self) -> bool {
        self.unheard_since.is_some()
    }

    /// Returns whether the peer has sent nothing for too long to wait for it.
    pub fn is_silent(&self, now: Time) -> bool {
        self.unheard_since
            .is_some_and(|since| now >= since + SILENCE)
    }

    /// Returns whether the connection should be closed.
    pub fn is_lost(&self, now: Time) -> bool {
        self.unheard_since
            .is_some_and(|since| now >= since + SILENCE_MAX)
    }

    /// Returns whether statements may be forwarded to the peer.
    pub fn is_available(&self, now: Time) -> bool {
        self.state == State::Connected && !self.is_silent(now)
    }
}
