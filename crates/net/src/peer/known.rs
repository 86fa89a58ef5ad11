//! What the hub knows of one peer: where to dial it, its link, and which connection wins.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::peer::Config;
use model::Incarnation;

/// What is known of one peer.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// Where to dial it whenever no link is open.
    pub(super) target: Option<SocketAddr>,
    /// Where it answered when this side last dialled it.
    pub(super) answered: Option<SocketAddr>,
    /// The open link.
    pub(super) link: Option<Current>,
    /// The dial in progress.
    pub(super) dial: Option<AbortHandle>,
    /// Dials that failed and links that soon ended, in a row.
    pub(super) failures: u32,
}

/// The open link of a peer.
#[derive(Debug)]
pub(super) struct Current {
    /// Number of the link.
    pub(super) id: u64,
    /// The side that dialled.
    pub(super) dialer: Incarnation,
    /// When it opened.
    pub(super) since: Instant,
}

impl Peer {
    /// Cancels the dial in progress.
    pub(super) fn end_dial(&mut self) {
        if let Some(dial) = self.dial.take() {
            dial.abort();
        }
    }

    /// Whether a link is open to the peer that listens at `address`.
    pub(super) fn linked_at(&self, address: SocketAddr) -> bool {
        self.link.is_some() && [self.target, self.answered].contains(&Some(address))
    }

    /// Counts a failure, and tells how long to pause before the next dial.
    pub(super) fn fail(&mut self, config: &Config) -> Duration {
        let pause = backoff(config, self.failures);
        self.failures = self.failures.saturating_add(1);
        pause
    }

    /// Clears the link that ended, and tells how long to pause before the next dial.
    ///
    /// A link that ends soon after it opened counts as a failure.
    pub(super) fn end_link(&mut self, config: &Config) -> Duration {
        let since = self.link.take().map(|link| link.since);
        if since.is_none_or(|since| since.elapsed() >= config.max_backoff) {
            self.failures = 0;
        }
        self.fail(config)
    }
}

impl Current {
    /// Whether a new connection by `dialer` takes the place of this link.
    ///
    /// When both sides dial at once, the connection of the `lower` incarnation wins on both. A peer
    /// that dials later than `contest` has lost the link, whether this side has noticed or not.
    pub(super) fn yields_to(
        &self,
        dialer: Incarnation,
        lower: Incarnation,
        contest: Duration,
    ) -> bool {
        self.dialer == dialer || self.since.elapsed() > contest || dialer == lower
    }
}

fn backoff(config: &Config, failures: u32) -> Duration {
    let doubled = config.min_backoff.saturating_mul(1 << failures.min(16));
    doubled.min(config.max_backoff).mul_f64(rand::random_range(0.5..1.0))
}
