//! Intervals, and how they stretch as the fleet grows.
//!
//! The store's rates grow more slowly than the fleet, so the time between renewals and between
//! reads follows the number of entry VMs and of availability zones once these pass a bound.

use std::time::Duration;

/// Between two heartbeats to one peer.
pub const BEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Between two evaluations of the view.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Between a change that must spread and the heartbeat that carries it.
pub(crate) const FLUSH_DELAY: Duration = Duration::from_millis(10);
/// Between two heartbeats that carry changes of the view.
pub(crate) const NEWS_GAP: Duration = Duration::from_millis(500);
/// Between two heartbeats that carry a new revision.
pub(crate) const FLUSH_GAP: Duration = Duration::from_millis(100);
/// Silence after which a member of the own availability zone is out of reach.
pub const NEAR_SILENCE: Duration = Duration::from_millis(3_500);
/// Silence after which a member of another availability zone is out of reach.
pub const FAR_SILENCE: Duration = Duration::from_secs(15);
/// Silence after which other evidence decides that a member is gone.
pub const GONE_SILENCE: Duration = Duration::from_secs(10);
/// Silence of a shard's owner after which another member takes the shard over.
pub const TAKEOVER_SILENCE: Duration = Duration::from_secs(3);
/// Time for which a shard must be better placed elsewhere before it moves.
pub const MOVE_DELAY: Duration = Duration::from_secs(10);
/// Between two pulses of an availability zone in which nothing changed.
pub(crate) const PULSE_INTERVAL: Duration = Duration::from_secs(5);
/// Between two pulses of an availability zone.
pub(crate) const PULSE_GAP: Duration = Duration::from_secs(1);
/// Between two rolls of an availability zone.
pub(crate) const REPORT_GAP: Duration = Duration::from_millis(200);
/// Time that a peer has to send the configuration.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Silence of a peer after which its connection is replaced.
pub(crate) const RECONNECT_SILENCE: Duration = Duration::from_millis(2_200);
/// Time for which a member that is gone is remembered.
pub(crate) const GONE_KEPT: Duration = Duration::from_secs(3_600);
/// Time after which a store call without an outcome counts as failed.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Between two claims of one shard.
pub(crate) const CLAIM_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest and longest wait after a failed store call.
pub(crate) const BACKOFF: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(8));
/// Longest wait while the store still answers some calls.
pub(crate) const LOSSY_BACKOFF: Duration = Duration::from_secs(1);
/// Time without any answer after which the store counts as down.
pub(crate) const OUTAGE_SILENCE: Duration = Duration::from_secs(20);
/// Store calls that one entry VM makes in [`CALL_WINDOW`].
pub const MAX_CALLS: u32 = 24;
/// Window of [`MAX_CALLS`].
pub const CALL_WINDOW: Duration = Duration::from_secs(10);
/// Changes in one heartbeat.
pub(crate) const MAX_NEWS: usize = 64;
/// Revisions kept to answer a fetch with a difference.
pub(crate) const KEPT_TEXTS: usize = 8;

const RENEW_INTERVAL: Duration = Duration::from_secs(8);
const READ_INTERVAL: Duration = Duration::from_millis(1_500);
const LIST_INTERVAL: Duration = Duration::from_secs(6);
/// Share of the fleet's renewals that one entry VM may cause, as time: 10 renewals/s in all.
const RENEW_SHARE: Duration = Duration::from_millis(100);
/// The same for reads, by availability zone: 5 reads/s in all.
const READ_SHARE: Duration = Duration::from_millis(200);
/// The same for listings, by availability zone: 2 listings/s in all.
const LIST_SHARE: Duration = Duration::from_millis(500);
/// Renewals in a lease's time to live.
const RENEWALS: u32 = 3;

/// Intervals of store calls for one size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Between two renewals of a lease.
    pub renew: Duration,
    /// Between two reads of the configuration in one availability zone.
    pub read: Duration,
    /// Between two listings of members and shards in one availability zone.
    pub list: Duration,
}

impl Pace {
    /// Intervals for so many entry VMs in so many availability zones.
    pub fn new(members: usize, zones: usize) -> Pace {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let zones = u32::try_from(zones).unwrap_or(u32::MAX);
        Pace {
            renew: RENEW_INTERVAL.max(RENEW_SHARE.saturating_mul(members)),
            read: READ_INTERVAL.max(READ_SHARE.saturating_mul(zones)),
            list: LIST_INTERVAL.max(LIST_SHARE.saturating_mul(zones)),
        }
    }

    /// Time to live of a lease.
    pub fn ttl(&self) -> Duration {
        self.renew * RENEWALS
    }

    /// Age of the store's word beyond which a member cannot vouch that it is current.
    pub fn vouch(&self) -> Duration {
        self.read * 3 + Duration::from_secs(5)
    }
}
