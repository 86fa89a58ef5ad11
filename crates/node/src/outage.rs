//! Decides what becomes of a request while the store does not answer this VM.
//!
//! A VM that has lost the store alone forwards requests to its peers. If the peers have lost it too,
//! forwarding only takes time, so a request is held here until the store returns, for at most half
//! of the time that its caller waits; the caller can still try again elsewhere. In a long outage the
//! store is unlikely to return within a caller's time, and requests are refused at once.

use std::time::Duration;

use model::Time;

/// Maximum age of the peers' last answer that they have lost the store as well.
const PEERS_LOST_LIFETIME: Duration = Duration::from_millis(500);
/// Minimum time left for forwarding: a connection and a store call across regions. Less would only
/// leave the outcome of a write unknown.
const MIN_FORWARD_TIME: Duration = Duration::from_millis(250);
/// Duration of an outage from which requests are no longer held.
const MAX_HELD_OUTAGE: Duration = Duration::from_secs(10);
/// Value of Retry-After, in seconds, after a request was held.
const RETRY_AFTER_HOLD_SECONDS: u64 = 0;
/// Value of Retry-After, in seconds, in a long outage.
const RETRY_AFTER_LONG_SECONDS: u64 = 1;

/// What this VM knows about the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outage {
    /// Since when the store has not answered this VM; `None` while it answers.
    pub lost: Option<Time>,
    /// When peers last answered that they have lost the store too.
    pub peers_lost: Option<Time>,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Serve it with this VM's own calls to the store.
    Serve,
    /// Forward it to a peer.
    Forward,
    /// Hold it until the store returns, at most until this time.
    Hold(Time),
    /// Refuse it with this value of Retry-After, in seconds.
    Refuse(u64),
}

impl Outage {
    /// Chooses what to do now with a request that arrived at `arrived` and has to be answered by
    /// `deadline`. `forwarded` says whether peers have refused it already.
    pub fn choose(&self, now: Time, arrived: Time, deadline: Time, forwarded: bool) -> Choice {
        let Some(lost) = self.lost else { return Choice::Serve };
        if !forwarded && self.can_forward(now, deadline) {
            return Choice::Forward;
        }
        if now.since(lost) >= MAX_HELD_OUTAGE {
            return Choice::Refuse(RETRY_AFTER_LONG_SECONDS);
        }
        let until = arrived + deadline.since(arrived) / 2;
        match now < until {
            true => Choice::Hold(until),
            false => Choice::Refuse(RETRY_AFTER_HOLD_SECONDS),
        }
    }

    /// Whether a peer may be able to serve a request that has to be answered by `deadline`.
    pub fn can_forward(&self, now: Time, deadline: Time) -> bool {
        let peers_lost = self.peers_lost.is_some_and(|at| now.since(at) < PEERS_LOST_LIFETIME);
        !peers_lost && deadline.since(now) >= MIN_FORWARD_TIME
    }
}
