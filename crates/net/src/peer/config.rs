//! Limits and intervals of peer channels.

use std::time::Duration;

/// Limits and intervals of peer channels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Pause between heartbeats.
    pub heartbeat_interval: Duration,
    /// A link is silent when it has owed an answer for so long.
    pub silence_timeout: Duration,
    /// Limit on connecting and exchanging hellos.
    pub handshake_timeout: Duration,
    /// A link whose socket takes no bytes for so long is closed.
    pub write_timeout: Duration,
    /// Shortest pause before a link is dialled again.
    pub min_backoff: Duration,
    /// Longest pause before a link is dialled again.
    pub max_backoff: Duration,
    /// Frames that may wait for one peer.
    pub queue_frames: usize,
    /// Bytes that may wait for one peer.
    pub queue_bytes: usize,
    /// Connections that may be in their handshake at once.
    pub max_handshakes: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            heartbeat_interval: Duration::from_millis(700),
            silence_timeout: Duration::from_millis(1_500),
            handshake_timeout: Duration::from_millis(700),
            write_timeout: Duration::from_millis(2_200),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_millis(1_000),
            queue_frames: 4_096,
            queue_bytes: 16 << 20,
            max_handshakes: 64,
        }
    }
}
