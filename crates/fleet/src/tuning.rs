//! Intervals, and how they stretch as the fleet grows.
//!
//! The store's rates grow more slowly than the fleet, so the time between renewals and between
//! reads follows the number of entry VMs and of availability zones once these pass a bound.

use std::time::Duration;

/// Between two heartbeats to one peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Between two evaluations of the view.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Between a change that must spread and the heartbeat that carries it.
pub(crate) const FLUSH_DELAY: Duration = Duration::from_millis(10);
/// Between two heartbeats that carry changes of the view.
pub(crate) const VIEW_FLUSH_GAP: Duration = Duration::from_millis(500);
/// Between two heartbeats that carry a new revision.
pub(crate) const TEXT_FLUSH_GAP: Duration = Duration::from_millis(100);
/// Silence after which a member of the own availability zone is out of reach.
pub const LOCAL_SILENCE_LIMIT: Duration = Duration::from_millis(3_500);
/// Silence after which a member of another availability zone is out of reach.
pub const REMOTE_SILENCE_LIMIT: Duration = Duration::from_secs(15);
/// Silence after which other evidence decides that a member is gone.
pub const GONE_SILENCE_LIMIT: Duration = Duration::from_secs(10);
/// Silence of a shard's owner after which another member takes the shard over.
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(3);
/// Time for which a shard must be better placed elsewhere before it moves.
pub const MOVE_DELAY: Duration = Duration::from_secs(10);
/// Between two pulses of an availability zone in which nothing changed.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Between two pulses of an availability zone.
pub(crate) const MIN_KEEPALIVE_GAP: Duration = Duration::from_secs(1);
/// Between two rolls of an availability zone.
pub(crate) const MIN_ROSTER_GAP: Duration = Duration::from_millis(200);
/// Time that a peer has to send the configuration.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Silence of a peer after which its connection is replaced.
pub(crate) const RECONNECT_SILENCE_LIMIT: Duration = Duration::from_millis(2_200);
/// Time for which a member that is gone is remembered.
pub(crate) const GONE_RETENTION: Duration = Duration::from_secs(3_600);
/// Time after which a store call without an outcome counts as failed.
pub(crate) const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Between two claims of one shard.
pub(crate) const CLAIM_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest and longest wait after a failed store call.
pub(crate) const STORE_BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(8));
/// Longest wait while the store still answers some calls.
pub(crate) const MAX_LOSSY_BACKOFF: Duration = Duration::from_secs(1);
/// Time without any answer after which the store counts as down.
pub(crate) const OUTAGE_SILENCE_LIMIT: Duration = Duration::from_secs(20);
/// Store calls that one entry VM makes in [`STORE_CALL_WINDOW`].
pub const MAX_STORE_CALLS: u32 = 24;
/// Window of [`MAX_STORE_CALLS`].
pub const STORE_CALL_WINDOW: Duration = Duration::from_secs(10);
/// Changes in one heartbeat.
pub(crate) const MAX_VIEW_UPDATES: usize = 64;
/// Revisions kept to answer a fetch with a difference.
pub(crate) const MAX_KEPT_TEXTS: usize = 8;

const MIN_RENEW_INTERVAL: Duration = Duration::from_secs(8);
const MIN_READ_INTERVAL: Duration = Duration::from_millis(1_500);
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(6);
/// Share of the fleet's renewals that one entry VM may cause, as time: 10 renewals/s in all.
const RENEW_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(100);
/// The same for reads, by availability zone: 5 reads/s in all.
const READ_INTERVAL_PER_ZONE: Duration = Duration::from_millis(200);
/// The same for listings, by availability zone: 2 listings/s in all.
const LIST_INTERVAL_PER_ZONE: Duration = Duration::from_millis(500);
/// Renewals in a lease's time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// Intervals of store calls for one size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreIntervals {
    /// Between two renewals of a lease.
    pub renew: Duration,
    /// Between two reads of the configuration in one availability zone.
    pub read: Duration,
    /// Between two listings of members and shards in one availability zone.
    pub list: Duration,
}

impl StoreIntervals {
    /// Intervals for so many entry VMs in so many availability zones.
    pub fn new(members: usize, zones: usize) -> StoreIntervals {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let zones = u32::try_from(zones).unwrap_or(u32::MAX);
        StoreIntervals {
            renew: MIN_RENEW_INTERVAL.max(RENEW_INTERVAL_PER_MEMBER.saturating_mul(members)),
            read: MIN_READ_INTERVAL.max(READ_INTERVAL_PER_ZONE.saturating_mul(zones)),
            list: MIN_LIST_INTERVAL.max(LIST_INTERVAL_PER_ZONE.saturating_mul(zones)),
        }
    }

    /// Time to live of a lease.
    pub fn ttl(&self) -> Duration {
        self.renew * RENEWALS_PER_TTL
    }

    /// Age of the store's word beyond which a member cannot vouch that it is current.
    pub fn max_check_age(&self) -> Duration {
        self.read * 3 + Duration::from_secs(5)
    }
}
