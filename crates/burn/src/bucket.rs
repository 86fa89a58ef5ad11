//! Counts in buckets that grow coarser with age.

use std::collections::BTreeMap;
use std::ops::AddAssign;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use model::Stamp;

/// Requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Within the objective.
    #[serde(rename = "g")]
    pub good: u64,
    /// Outside it.
    #[serde(rename = "b")]
    pub bad: u64,
    /// With an unknown verdict.
    #[serde(rename = "u")]
    pub unknown: u64,
}

impl Counts {
    /// All requests.
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

/// Buckets of one width, kept for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tier {
    pub(crate) width: Duration,
    pub(crate) kept: Duration,
}

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);

/// Finest first. Each keeps one bucket more than its longest window needs.
pub(crate) const TIERS: [Tier; 3] = [
    Tier { width: MINUTE, kept: Duration::from_secs(3_660) },
    Tier { width: Duration::from_secs(600), kept: Duration::from_secs(6 * 3_600 + 600) },
    Tier { width: Duration::from_secs(2 * 3_600), kept: Duration::from_secs(74 * 3_600) },
];

/// Counts of one series, in each tier by the start of the bucket in seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Buckets {
    #[serde(rename = "m")]
    minutes: BTreeMap<u64, Counts>,
    #[serde(rename = "t")]
    tens: BTreeMap<u64, Counts>,
    #[serde(rename = "h")]
    hours: BTreeMap<u64, Counts>,
}

impl Buckets {
    /// Adds counts at a time.
    pub(crate) fn add(&mut self, at: Stamp, counts: Counts) {
        for (buckets, tier) in self.tiers_mut().into_iter().zip(TIERS) {
            *buckets.entry(start(at, tier)).or_default() += counts;
        }
    }

    /// Drops what no window needs any more.
    pub(crate) fn trim(&mut self, now: Stamp) {
        for (buckets, tier) in self.tiers_mut().into_iter().zip(TIERS) {
            let oldest = Stamp(now.0.saturating_sub(millis(tier.kept)));
            *buckets = buckets.split_off(&start(oldest, tier));
        }
    }

    /// Counts of the `span` before `now`, to the width of the tier that holds it.
    pub(crate) fn sum(&self, now: Stamp, span: Duration) -> Counts {
        let mut sum = Counts::default();
        let fits = |tier: &Tier| span + tier.width <= tier.kept;
        let tiers = self.tiers().into_iter().zip(TIERS);
        let Some((buckets, tier)) = tiers.into_iter().find(|(_, tier)| fits(tier)) else {
            return sum;
        };
        let from = start(Stamp(now.0.saturating_sub(millis(span))), tier);
        for counts in buckets.range(from + 1..).map(|(_, counts)| counts) {
            sum += *counts;
        }
        sum
    }

    /// Whether nothing is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.hours.is_empty()
    }

    /// Adds all counts of another series.
    pub(crate) fn merge(&mut self, other: &Buckets) {
        for (mine, theirs) in self.tiers_mut().into_iter().zip(other.tiers()) {
            for (start, counts) in theirs {
                *mine.entry(*start).or_default() += *counts;
            }
        }
    }

    fn tiers(&self) -> [&BTreeMap<u64, Counts>; 3] {
        [&self.minutes, &self.tens, &self.hours]
    }

    fn tiers_mut(&mut self) -> [&mut BTreeMap<u64, Counts>; 3] {
        [&mut self.minutes, &mut self.tens, &mut self.hours]
    }
}

fn start(at: Stamp, tier: Tier) -> u64 {
    let seconds = at.0 / 1_000;
    seconds - seconds % tier.width.as_secs()
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

pub(crate) const WINDOW_5M: Duration = Duration::from_secs(5 * MINUTE.as_secs());
pub(crate) const WINDOW_1H: Duration = HOUR;
pub(crate) const WINDOW_6H: Duration = Duration::from_secs(6 * HOUR.as_secs());
pub(crate) const WINDOW_3D: Duration = Duration::from_secs(72 * HOUR.as_secs());
