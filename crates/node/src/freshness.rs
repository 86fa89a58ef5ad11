//! How recently the configuration has to be confirmed for a request.
//!
//! Usually a confirmation suffices that is younger than the time in which changes take effect. It is
//! not enough where two VMs take part: a peer that serves requests for this VM may know a newer
//! configuration than this VM, or than the peer that serves the next request, and callers would see
//! the configuration go back. So a peer confirms the configuration anew for each request that is
//! passed to it, and this VM does so for its own requests while a peer may be serving one for it, and
//! does not rely on an older confirmation afterwards.

use std::time::Duration;

use model::Time;

/// Time after a call to a peer was given up within which the peer may still act on it.
const LATE_EFFECT_TIME: Duration = Duration::from_millis(900);

/// Requests that were passed to peers, as far as they matter for the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassedRequests {
    /// Number of calls to peers in flight.
    open: usize,
    /// Time until which peers may have acted on requests from this VM.
    until: Time,
}

impl PassedRequests {
    /// Records that a call to a peer begins.
    pub fn begin(&mut self) {
        self.open += 1;
    }

    /// Records that a call to a peer ends at `now`, and whether the peer has answered.
    pub fn end(&mut self, now: Time, answered: bool) {
        self.open -= 1;
        let until = if answered { now } else { now + LATE_EFFECT_TIME };
        self.until = self.until.max(until);
    }

    /// Time since which the configuration has to be confirmed for a request that is served at `now`,
    /// where confirmations may usually be `lifetime` old.
    pub fn confirmed_since(&self, now: Time, lifetime: Duration) -> Time {
        match self.open {
            0 => (now - lifetime).max(self.until.min(now)),
            _ => now,
        }
    }
}
