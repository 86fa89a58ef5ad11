//! Counts of one entry VM.

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

/// Most series of one entry VM; requests beyond them are counted together.
pub const MAX_SERIES: usize = 2_000;
/// Client account that stands for all whose series found no room.
const OTHERS: &str = "(others)";

/// How a request went against the objective of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// Within the objective.
    Good,
    /// Outside it.
    Bad,
    /// With an unknown verdict.
    Unknown,
}

/// What is counted together.
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

/// Counts of one entry VM, as they travel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The entry VM.
    pub vm: VmId,
    /// When it counted, oldest first.
    pub spans: Vec<Span>,
    entries: Vec<Entry>,
}

impl Record {
    /// Until when the record counts.
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
    from: Stamp,
    earlier: Vec<Span>,
    series: BTreeMap<Series, Buckets>,
}

impl Ledger {
    /// Begins to count for `vm` at `now`.
    pub fn new(vm: VmId, now: Stamp) -> Ledger {
        Ledger { vm, from: now, earlier: Vec::new(), series: BTreeMap::new() }
    }

    /// Takes over what an earlier process of the same entry VM counted.
    ///
    /// A record that reaches into this process's time is left out: it would count twice.
    pub fn inherit(&mut self, record: &Record) {
        if record.vm != self.vm || record.until() > self.from {
            return;
        }
        self.earlier = record.spans.clone();
        for (series, buckets) in record.series() {
            self.buckets(series).merge(buckets);
        }
    }

    /// Counts one request.
    pub fn count(&mut self, now: Stamp, series: &Series, outcome: Outcome) {
        let counts = match outcome {
            Outcome::Good => Counts { good: 1, ..Counts::default() },
            Outcome::Bad => Counts { bad: 1, ..Counts::default() },
            Outcome::Unknown => Counts { unknown: 1, ..Counts::default() },
        };
        self.buckets(series).add(now, counts);
    }

    /// The counts until `now`, after dropping what no window needs.
    pub fn record(&mut self, now: Stamp) -> Record {
        for buckets in self.series.values_mut() {
            buckets.trim(now);
        }
        self.series.retain(|_, buckets| !buckets.is_empty());
        let oldest = now.0.saturating_sub(millis(WINDOW_3D));
        self.earlier.retain(|span| span.until.0 > oldest);
        let mut spans = self.earlier.clone();
        spans.push(Span { from: self.from, until: now });
        let entries = self
            .series
            .iter()
            .map(|(series, buckets)| Entry { series: series.clone(), buckets: buckets.clone() });
        Record { vm: self.vm.clone(), spans, entries: entries.collect() }
    }

    fn buckets(&mut self, series: &Series) -> &mut Buckets {
        let full = self.series.len() >= MAX_SERIES && !self.series.contains_key(series);
        let key = if full {
            Series { service: series.service.clone(), account: OTHERS.into() }
        } else {
            series.clone()
        };
        self.series.entry(key).or_default()
    }
}
