//! Heartbeat timing of one link and detection of silent links.
//!
//! Only the dialer sends pings, and it sends the next one only after the pong to the last one has
//! arrived. A ping therefore proves to the acceptor that its last pong got through, so one exchange
//! confirms both directions to both sides, at half the cost of pings from each side. Any other
//! received frame counts as a sign of life too, because a pong may be queued behind a long frame.

use std::time::Duration;

use tokio::time::Instant;

/// Which side dialled the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// This side dialled.
    Dialer,
    /// The peer dialled, and this side accepted.
    Acceptor,
}

/// What to do next for the heartbeat of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Poll again at this time.
    Wait(Instant),
    /// Send a ping with this sequence number.
    Ping(u64),
    /// Close the link: it is silent.
    Silent,
}

/// Heartbeat state of one link.
///
/// Either side detects a silent link at most `interval + silence_timeout` after the last received
/// frame.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    side: Side,
    interval: Duration,
    silence_timeout: Duration,
    sequence: u64,
    awaiting_pong: bool,
    next_ping: Instant,
    last_received: Instant,
}

impl Heartbeat {
    /// Creates the heartbeat of a link that opened at `now`.
    pub fn new(
        side: Side,
        interval: Duration,
        silence_timeout: Duration,
        now: Instant,
    ) -> Heartbeat {
        let next_ping = now + interval;
        Heartbeat {
            side,
            interval,
            silence_timeout,
            sequence: 0,
            awaiting_pong: false,
            next_ping,
            last_received: now,
        }
    }

    /// Returns what to do at `now`.
    pub fn poll(&mut self, now: Instant) -> HeartbeatAction {
        if self.side == Side::Acceptor {
            return self.wait_until(now, self.last_received + self.interval + self.silence_timeout);
        }
        if self.awaiting_pong {
            return self
                .wait_until(now, self.last_received.max(self.next_ping) + self.silence_timeout);
        }
        if now < self.next_ping {
            return HeartbeatAction::Wait(self.next_ping);
        }
        self.sequence += 1;
        self.awaiting_pong = true;
        self.next_ping = now;
        HeartbeatAction::Ping(self.sequence)
    }

    fn wait_until(&self, now: Instant, deadline: Instant) -> HeartbeatAction {
        if now < deadline { HeartbeatAction::Wait(deadline) } else { HeartbeatAction::Silent }
    }

    /// Records that a frame of any kind arrived.
    pub fn record_frame(&mut self, now: Instant) {
        self.last_received = now;
    }

    /// Records that the pong to ping number `sequence` arrived.
    pub fn record_pong(&mut self, sequence: u64, now: Instant) {
        self.last_received = now;
        if self.awaiting_pong && sequence == self.sequence {
            self.awaiting_pong = false;
            self.next_ping = now + self.interval;
        }
    }
}
