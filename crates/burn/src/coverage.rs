//! Share of a window that the counts of the entry VMs cover.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Record;
use crate::bucket::millis;
use model::Stamp;

/// Interval in which one process counted requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Start of the interval.
    #[serde(rename = "f")]
    pub from: Stamp,
    /// End of the interval (exclusive), or the time at which the record was taken.
    #[serde(rename = "u")]
    pub until: Stamp,
}

impl Span {
    fn contains(&self, at: u64) -> bool {
        self.from.0 <= at && at < self.until.0
    }
}

/// Share of the window before `now` that is covered by counts, from 0 to 1.
///
/// The coverage at one moment is the share of the running entry VMs that were counting. An entry
/// VM is taken to run from the start of its first span to the end of its last one, or to `now` if
/// it is live. Nothing is known of moments at which none ran, such as those before the first span
/// of any entry VM, so these are not covered.
pub(crate) fn covered_share(
    records: &[Record],
    is_live: impl Fn(&Record) -> bool,
    now: Stamp,
    window: Duration,
) -> f64 {
    let start = now.0.saturating_sub(millis(window));
    if now.0 <= start {
        return 0.0;
    }
    let lifetimes: Vec<(Span, &Record)> =
        records.iter().map(|r| (lifetime(r, is_live(r), now), r)).collect();
    let mut boundaries: BTreeSet<u64> = BTreeSet::from([start, now.0]);
    for (lifetime, record) in &lifetimes {
        boundaries.extend([lifetime.from.0, lifetime.until.0]);
        boundaries.extend(record.spans.iter().flat_map(|span| [span.from.0, span.until.0]));
    }
    let boundaries: Vec<u64> =
        boundaries.into_iter().filter(|at| (start..=now.0).contains(at)).collect();
    let mut sum = 0.0;
    for pair in boundaries.windows(2) {
        sum += counting_share(&lifetimes, pair[0]) * (pair[1] - pair[0]) as f64;
    }
    sum / (now.0 - start) as f64
}

fn lifetime(record: &Record, is_live: bool, now: Stamp) -> Span {
    let from = record.spans.first().map_or(now, |span| span.from);
    Span { from, until: if is_live { now } else { record.until() } }
}

/// Share of the entry VMs running at `at` that were counting, or 0 if none ran.
fn counting_share(lifetimes: &[(Span, &Record)], at: u64) -> f64 {
    let running = lifetimes.iter().filter(|(lifetime, _)| lifetime.contains(at));
    let counting = running.clone().filter(|(_, r)| r.spans.iter().any(|span| span.contains(at)));
    match running.count() {
        0 => 0.0,
        all => counting.count() as f64 / all as f64,
    }
}
