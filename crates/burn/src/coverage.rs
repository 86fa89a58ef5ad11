//! How much of a window is covered by counts.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Record;
use crate::bucket::millis;
use model::Stamp;

/// Time over which one process counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Its start.
    #[serde(rename = "f")]
    pub from: Stamp,
    /// Its end, or the time of the record.
    #[serde(rename = "u")]
    pub until: Stamp,
}

impl Span {
    fn holds(&self, at: u64) -> bool {
        self.from.0 <= at && at < self.until.0
    }
}

/// Share of the window before `now` in which the entry VMs that ran were counting.
///
/// An entry VM runs from its first record to its last, or to now if it is live. At times before
/// the first record of any nothing is known, so they are not covered.
pub(crate) fn covered(
    records: &[Record],
    live: impl Fn(&Record) -> bool,
    now: Stamp,
    window: Duration,
) -> f64 {
    let begin = now.0.saturating_sub(millis(window));
    if now.0 <= begin {
        return 0.0;
    }
    let lives: Vec<(Span, &Record)> = records.iter().map(|r| (life(r, live(r), now), r)).collect();
    let mut edges: BTreeSet<u64> = BTreeSet::from([begin, now.0]);
    for (life, record) in &lives {
        edges.extend([life.from.0, life.until.0]);
        edges.extend(record.spans.iter().flat_map(|span| [span.from.0, span.until.0]));
    }
    let edges: Vec<u64> = edges.into_iter().filter(|at| (begin..=now.0).contains(at)).collect();
    let mut sum = 0.0;
    for pair in edges.windows(2) {
        sum += share(&lives, pair[0]) * (pair[1] - pair[0]) as f64;
    }
    sum / (now.0 - begin) as f64
}

fn life(record: &Record, live: bool, now: Stamp) -> Span {
    let from = record.spans.first().map_or(now, |span| span.from);
    Span { from, until: if live { now } else { record.until() } }
}

/// Share of the entry VMs running at a time that were counting.
fn share(lives: &[(Span, &Record)], at: u64) -> f64 {
    let running = lives.iter().filter(|(life, _)| life.holds(at));
    let counting = running.clone().filter(|(_, r)| r.spans.iter().any(|span| span.holds(at)));
    match running.count() {
        0 => 0.0,
        all => counting.count() as f64 / all as f64,
    }
}
