//! When to send a heartbeat, and when a link has gone silent.
//!
//! The side that dialled sends a ping, and the next one only once the pong came. A ping that
//! arrives therefore proves to the other side that its last pong got through, so one exchange
//! proves both directions to both sides, at half the cost of heartbeats that each side starts.
//! Other frames prove life too: a pong may have to wait behind a long one.

use std::time::Duration;

use tokio::time::Instant;

/// Which side opened the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// This side did.
    Dialer,
    /// The peer did.
    Acceptor,
}

/// What the heartbeat asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Nothing until then.
    Wait(Instant),
    /// A ping of this number.
    Ping(u64),
    /// The link is silent and has to be closed.
    Silent,
}

/// Heartbeat of one link.
///
/// A link that goes silent is found `interval + silence` later at the latest, on either side.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    side: Side,
    interval: Duration,
    silence: Duration,
    sequence: u64,
    pending: bool,
    next: Instant,
    heard: Instant,
}

impl Heartbeat {
    /// The heartbeat of a link that opened at `now`.
    pub fn new(side: Side, interval: Duration, silence: Duration, now: Instant) -> Heartbeat {
        let next = now + interval;
        Heartbeat { side, interval, silence, sequence: 0, pending: false, next, heard: now }
    }

    /// What to do at `now`.
    pub fn poll(&mut self, now: Instant) -> HeartbeatAction {
        if self.side == Side::Acceptor {
            return self.wait(now, self.heard + self.interval + self.silence);
        }
        if self.pending {
            return self.wait(now, self.heard.max(self.next) + self.silence);
        }
        if now < self.next {
            return HeartbeatAction::Wait(self.next);
        }
        self.sequence += 1;
        self.pending = true;
        self.next = now;
        HeartbeatAction::Ping(self.sequence)
    }

    fn wait(&self, now: Instant, limit: Instant) -> HeartbeatAction {
        if now < limit { HeartbeatAction::Wait(limit) } else { HeartbeatAction::Silent }
    }

    /// Notes that any frame arrived.
    pub fn heard(&mut self, now: Instant) {
        self.heard = now;
    }

    /// Notes that a pong of `sequence` arrived.
    pub fn pong(&mut self, sequence: u64, now: Instant) {
        self.heard = now;
        if self.pending && sequence == self.sequence {
            self.pending = false;
            self.next = now + self.interval;
        }
    }
}
