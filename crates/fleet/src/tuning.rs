//! Intervals, timeouts and limits, and how the intervals scale with the size of the fleet.
//!
//! The store's call rate must grow more slowly than the fleet. Above a threshold, the intervals
//! between lease renewals, reads and listings therefore grow with the number of entry VMs or
//! availability zones.

use std::time::Duration;

/// Interval between heartbeats to one peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between evaluations of the view.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay between a change that must spread and the early heartbeat that carries it.
pub(crate) const FLUSH_DELAY: Duration = Duration::from_millis(10);
/// Shortest time between early heartbeats that carry changes of the view.
pub(crate) const VIEW_FLUSH_GAP: Duration = Duration::from_millis(500);
/// Shortest time between early heartbeats that carry a new revision.
pub(crate) const TEXT_FLUSH_GAP: Duration = Duration::from_millis(100);
/// Silence after which a member of the same availability zone is unreachable.
pub const LOCAL_SILENCE_LIMIT: Duration = Duration::from_millis(3_500);
/// Silence after which a member of another availability zone is unreachable.
pub const REMOTE_SILENCE_LIMIT: Duration = Duration::from_secs(15);
/// Silence after which a member can be declared gone if other evidence confirms it.
pub const GONE_SILENCE_LIMIT: Duration = Duration::from_secs(10);
/// Time for which a shard's owner must be unreachable before another member takes the shard over.
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(3);
/// Time for which a shard must be assigned to another member before its owner releases it.
pub const MOVE_DELAY: Duration = Duration::from_secs(10);
/// Interval between an availability zone's keepalives while nothing changes.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest time between an availability zone's keepalives.
pub(crate) const MIN_KEEPALIVE_GAP: Duration = Duration::from_secs(1);
/// Shortest time between an availability zone's rosters.
pub(crate) const MIN_ROSTER_GAP: Duration = Duration::from_millis(200);
/// Time within which a peer must send the requested configuration.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Silence of a peer after which its connection is replaced.
pub(crate) const RECONNECT_SILENCE_LIMIT: Duration = Duration::from_millis(2_200);
/// Time for which a member is remembered after it was declared gone.
pub(crate) const GONE_RETENTION: Duration = Duration::from_secs(3_600);
/// Time after which a store call without an outcome counts as failed.
pub(crate) const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between claims of one shard, before jitter.
pub(crate) const CLAIM_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest and longest backoff after a failed store call, before jitter.
pub(crate) const STORE_BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(8));
/// Longest backoff while the store still answers some calls.
pub(crate) const MAX_LOSSY_BACKOFF: Duration = Duration::from_secs(1);
/// Time without any answer after which the store counts as down.
pub(crate) const OUTAGE_SILENCE_LIMIT: Duration = Duration::from_secs(20);
/// Maximum number of store calls that one entry VM makes within [`STORE_CALL_WINDOW`].
pub const MAX_STORE_CALLS: u32 = 24;
/// Sliding window to which [`MAX_STORE_CALLS`] applies.
pub const STORE_CALL_WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of view updates in one heartbeat.
pub(crate) const MAX_VIEW_UPDATES: usize = 64;
/// Number of latest texts kept, so that a fetch can be answered with a splice.
pub(crate) const MAX_KEPT_TEXTS: usize = 8;

const MIN_RENEW_INTERVAL: Duration = Duration::from_secs(8);
const MIN_READ_INTERVAL: Duration = Duration::from_millis(1_500);
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(6);
/// Interval between renewals per entry VM of the fleet: limits the fleet to 10 renewals/s.
const RENEW_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(100);
/// Interval between reads per availability zone: limits the fleet to 5 reads/s.
const READ_INTERVAL_PER_ZONE: Duration = Duration::from_millis(200);
/// Interval between listings per availability zone: limits the fleet to 2 listings/s.
const LIST_INTERVAL_PER_ZONE: Duration = Duration::from_millis(500);
/// Number of renewals within a lease's time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// Intervals between store calls for a given size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreIntervals {
    /// Interval between renewals of a lease.
    pub renew: Duration,
    /// Interval between reads of the configuration in one availability zone.
    pub read: Duration,
    /// Interval between listings of members and shards in one availability zone.
    pub list: Duration,
}

impl StoreIntervals {
    /// Computes the intervals for a number of entry VMs and availability zones.
    pub fn new(members: usize, zones: usize) -> StoreIntervals {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let zones = u32::try_from(zones).unwrap_or(u32::MAX);
        StoreIntervals {
            renew: MIN_RENEW_INTERVAL.max(RENEW_INTERVAL_PER_MEMBER.saturating_mul(members)),
            read: MIN_READ_INTERVAL.max(READ_INTERVAL_PER_ZONE.saturating_mul(zones)),
            list: MIN_LIST_INTERVAL.max(LIST_INTERVAL_PER_ZONE.saturating_mul(zones)),
        }
    }

    /// Returns the time to live of a lease.
    pub fn ttl(&self) -> Duration {
        self.renew * RENEWALS_PER_TTL
    }

    /// Returns the age of the store's last confirmation beyond which a member no longer reports its
    /// configuration as current.
    pub fn max_check_age(&self) -> Duration {
        self.read * 3 + Duration::from_secs(5)
    }
}
