//! Time limits, intervals and queue limits of peer links.

use std::time::Duration;

/// Time limits, intervals and queue limits of peer links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Pause between a pong and the next ping.
    pub heartbeat_interval: Duration,
    /// Time to wait for an expected heartbeat before a link counts as silent.
    pub silence_timeout: Duration,
    /// Time limit on connecting, the WebSocket upgrade and the exchange of hellos.
    pub handshake_timeout: Duration,
    /// Time limit on writing one batch of frames; a link that exceeds it is closed.
    pub write_timeout: Duration,
    /// Delay before the first redial, doubled with each consecutive failure; random jitter shortens
    /// each delay by up to half.
    pub min_backoff: Duration,
    /// Maximum delay before a redial.
    pub max_backoff: Duration,
    /// Maximum number of frames queued for one peer.
    pub queue_frames: usize,
    /// Maximum number of bytes queued for one peer.
    pub queue_bytes: usize,
    /// Maximum number of accepted connections in their handshake at once.
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
