//! Request counts of one entry VM.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use strum::AsRefStr;
use strum::Display;

use crate::bucket::Buckets;
use crate::bucket::Counts;
use crate::bucket::WINDOW_3D;
use crate::bucket::millis;
use crate::coverage::Span;
use model::AccountId;
use model::ServiceId;
use model::Stamp;
use model::VmId;

/// Maximum number of series of one entry VM.
///
/// Requests of further series are counted in one series for each service.
pub const MAX_SERIES: usize = 2_000;
/// Client account under which requests are counted once [`MAX_SERIES`] is reached.
const OTHER_ACCOUNTS: &str = "(others)";

/// Result of a request with respect to the objective of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// Within the objective.
    Good,
    /// Missed the objective.
    Bad,
    /// The verdict is unknown.
    Unknown,
}

/// Key of a time series: requests of one client account to one service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Series {
    /// The service.
    pub service: ServiceId,
    /// The client account.
    pub account: AccountId,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    #[serde(rename = "k")]
    series: Series,
    #[serde(rename = "c")]
    buckets: Buckets,
}

/// Snapshot of the counts of one entry VM, sent to other entry VMs and stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The entry VM.
    pub vm: VmId,
    /// Intervals in which it counted requests, oldest first.
    pub spans: Vec<Span>,
    entries: Vec<Entry>,
}

impl Record {
    /// Time up to which the record contains counts.
    pub fn until(&self) -> Stamp {
        self.spans.last().map_or(Stamp(0), |span| span.until)
    }

    pub(crate) fn series(&self) -> impl Iterator<Item = (&Series, &Buckets)> {
        self.entries.iter().map(|entry| (&entry.series, &entry.buckets))
    }
}

/// Counts the requests of one entry VM.
#[derive(Clone, Debug)]
pub struct Ledger {
    vm: VmId,
    started: Stamp,
    earlier_spans: Vec<Span>,
    series: BTreeMap<Series, Buckets>,
}

impl Ledger {
    /// Creates an empty ledger for `vm` that counts from `now` on.
    pub fn new(vm: VmId, now: Stamp) -> Ledger {
        Ledger { vm, started: now, earlier_spans: Vec::new(), series: BTreeMap::new() }
    }

    /// Adds the counts of an earlier process of the same entry VM.
    ///
    /// A record that ends after this process started is ignored, because its requests could be
    /// counted twice.
    pub fn inherit(&mut self, record: &Record) {
        if record.vm != self.vm || record.until() > self.started {
            return;
        }
        self.earlier_spans = record.spans.clone();
        for (series, buckets) in record.series() {
            self.buckets_mut(series).merge(buckets);
        }
    }

    /// Counts one request of `series`.
    pub fn count(&mut self, now: Stamp, series: &Series, outcome: Outcome) {
        let counts = match outcome {
            Outcome::Good => Counts { good: 1, ..Counts::default() },
            Outcome::Bad => Counts { bad: 1, ..Counts::default() },
            Outcome::Unknown => Counts { unknown: 1, ..Counts::default() },
        };
        self.buckets_mut(series).add(now, counts);
    }

    /// Returns a snapshot of the counts up to `now`, after dropping those that no window needs.
    pub fn record(&mut self, now: Stamp) -> Record {
        for buckets in self.series.values_mut() {
            buckets.trim(now);
        }
        self.series.retain(|_, buckets| !buckets.is_empty());
        let oldest = now.0.saturating_sub(millis(WINDOW_3D));
        self.earlier_spans.retain(|span| span.until.0 > oldest);
        let mut spans = self.earlier_spans.clone();
        spans.push(Span { from: self.started, until: now });
        let entries = self
            .series
            .iter()
            .map(|(series, buckets)| Entry { series: series.clone(), buckets: buckets.clone() });
        Record { vm: self.vm.clone(), spans, entries: entries.collect() }
    }

    /// Buckets in which requests of `series` are counted.
    fn buckets_mut(&mut self, series: &Series) -> &mut Buckets {
        let is_full = self.series.len() >= MAX_SERIES && !self.series.contains_key(series);
        let key = if is_full {
            Series { service: series.service.clone(), account: OTHER_ACCOUNTS.into() }
        } else {
            series.clone()
        };
        self.series.entry(key).or_default()
    }
}
