//! Request counts in time buckets of three resolutions; finer ones are retained for less time.

use std::collections::BTreeMap;
use std::ops::AddAssign;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use model::Stamp;

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests within the objective of their service.
    #[serde(rename = "g")]
    pub good: u64,
    /// Requests that missed the objective.
    #[serde(rename = "b")]
    pub bad: u64,
    /// Requests whose verdict is unknown.
    #[serde(rename = "u")]
    pub unknown: u64,
}

impl Counts {
    /// Number of all requests.
    pub fn total(&self) -> u64 {
        self.good + self.bad + self.unknown
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        self.good += other.good;
        self.bad += other.bad;
        self.unknown += other.unknown;
    }
}

/// Width of a tier's buckets, and how long they are retained.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tier {
    pub(crate) width: Duration,
    pub(crate) retention: Duration,
}

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);

/// Tiers, finest first. Each retains one bucket more than its longest window needs.
pub(crate) const TIERS: [Tier; 3] = [
    Tier { width: MINUTE, retention: Duration::from_secs(3_660) },
    Tier { width: Duration::from_secs(600), retention: Duration::from_secs(6 * 3_600 + 600) },
    Tier { width: Duration::from_secs(2 * 3_600), retention: Duration::from_secs(74 * 3_600) },
];

/// Counts of one series in each tier.
///
/// Keys are the start of the bucket in seconds since the Unix epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Buckets {
    #[serde(rename = "m")]
    minutes: BTreeMap<u64, Counts>,
    #[serde(rename = "t")]
    ten_minutes: BTreeMap<u64, Counts>,
    #[serde(rename = "h")]
    two_hours: BTreeMap<u64, Counts>,
}

impl Buckets {
    /// Adds `counts` to the bucket that contains `at`, in each tier.
    pub(crate) fn add(&mut self, at: Stamp, counts: Counts) {
        for (buckets, tier) in self.tiers_mut().into_iter().zip(TIERS) {
            *buckets.entry(bucket_start(at, tier)).or_default() += counts;
        }
    }

    /// Drops buckets older than the retention of their tier.
    pub(crate) fn trim(&mut self, now: Stamp) {
        for (buckets, tier) in self.tiers_mut().into_iter().zip(TIERS) {
            let oldest = Stamp(now.0.saturating_sub(millis(tier.retention)));
            *buckets = buckets.split_off(&bucket_start(oldest, tier));
        }
    }

    /// Counts of the last `window` before `now`, from the finest tier that retains it.
    ///
    /// The bucket in which the window starts is left out.
    pub(crate) fn sum(&self, now: Stamp, window: Duration) -> Counts {
        let mut sum = Counts::default();
        let is_retained = |tier: &Tier| window + tier.width <= tier.retention;
        let tiers = self.tiers().into_iter().zip(TIERS);
        let Some((buckets, tier)) = tiers.into_iter().find(|(_, tier)| is_retained(tier)) else {
            return sum;
        };
        let from = bucket_start(Stamp(now.0.saturating_sub(millis(window))), tier);
        for counts in buckets.range(from + 1..).map(|(_, counts)| counts) {
            sum += *counts;
        }
        sum
    }

    /// Whether no counts are left. The coarsest tier retains them longest.
    pub(crate) fn is_empty(&self) -> bool {
        self.two_hours.is_empty()
    }

    /// Adds all counts of `other`.
    pub(crate) fn merge(&mut self, other: &Buckets) {
        for (mine, theirs) in self.tiers_mut().into_iter().zip(other.tiers()) {
            for (start, counts) in theirs {
                *mine.entry(*start).or_default() += *counts;
            }
        }
    }

    fn tiers(&self) -> [&BTreeMap<u64, Counts>; 3] {
        [&self.minutes, &self.ten_minutes, &self.two_hours]
    }

    fn tiers_mut(&mut self) -> [&mut BTreeMap<u64, Counts>; 3] {
        [&mut self.minutes, &mut self.ten_minutes, &mut self.two_hours]
    }
}

fn bucket_start(at: Stamp, tier: Tier) -> u64 {
    let seconds = at.0 / 1_000;
    seconds - seconds % tier.width.as_secs()
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

pub(crate) const WINDOW_5M: Duration = Duration::from_secs(5 * MINUTE.as_secs());
pub(crate) const WINDOW_1H: Duration = HOUR;
pub(crate) const WINDOW_6H: Duration = Duration::from_secs(6 * HOUR.as_secs());
pub(crate) const WINDOW_3D: Duration = Duration::from_secs(72 * HOUR.as_secs());
