//! State that the hub keeps about one peer: its address, its link and its reconnect backoff.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::peer::Config;
use model::Incarnation;

/// State of one peer.
#[derive(Debug, Default)]
pub(super) struct PeerState {
    /// Address to dial whenever no link is open; `None` if the peer is not to be dialled.
    pub(super) target_address: Option<SocketAddr>,
    /// Address at which the peer last accepted a connection from this side.
    pub(super) dialled_address: Option<SocketAddr>,
    /// The open link.
    pub(super) link: Option<ActiveLink>,
    /// The dial in progress.
    pub(super) dial: Option<AbortHandle>,
    /// Consecutive failures: failed dials, and links that ended soon after they opened.
    pub(super) failures: u32,
}

/// The open link of a peer.
#[derive(Debug)]
pub(super) struct ActiveLink {
    /// Number of the link, unique within this process.
    pub(super) id: u64,
    /// Incarnation that dialled the connection.
    pub(super) dialer: Incarnation,
    /// When the link opened.
    pub(super) opened: Instant,
}

impl PeerState {
    /// Cancels the dial in progress.
    pub(super) fn cancel_dial(&mut self) {
        if let Some(dial) = self.dial.take() {
            dial.abort();
        }
    }

    /// Returns whether a link is open and the peer is known to listen at `address`.
    pub(super) fn is_linked_at(&self, address: SocketAddr) -> bool {
        self.link.is_some() && [self.target_address, self.dialled_address].contains(&Some(address))
    }

    /// Records a failure and returns the delay before the next dial.
    pub(super) fn record_failure(&mut self, config: &Config) -> Duration {
        let pause = backoff(config, self.failures);
        self.failures = self.failures.saturating_add(1);
        pause
    }

    /// Clears the link that ended and returns the delay before the next dial.
    ///
    /// A link that ends within `max_backoff` of opening adds to the consecutive failures.
    pub(super) fn clear_link(&mut self, config: &Config) -> Duration {
        let opened = self.link.take().map(|link| link.opened);
        if opened.is_none_or(|opened| opened.elapsed() >= config.max_backoff) {
            self.failures = 0;
        }
        self.record_failure(config)
    }
}

impl ActiveLink {
    /// Returns whether a new connection dialled by `dialer` replaces this link.
    ///
    /// When both sides dial at once, both keep the connection dialled by the `lower` incarnation. A
    /// peer that dials after `race_window` has lost the link, even if this side has not noticed.
    pub(super) fn yields_to(
        &self,
        dialer: Incarnation,
        lower: Incarnation,
        race_window: Duration,
    ) -> bool {
        self.dialer == dialer || self.opened.elapsed() > race_window || dialer == lower
    }
}

fn backoff(config: &Config, failures: u32) -> Duration {
    let doubled = config.min_backoff.saturating_mul(1 << failures.min(16));
    doubled.min(config.max_backoff).mul_f64(rand::random_range(0.5..1.0))
}
