//! Burn rates and alerts from the records of many entry VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use strum::AsRefStr;
use strum::Display;
use strum::VariantArray;

use crate::Counts;
use crate::Record;
use crate::Series;
use crate::bucket::Buckets;
use crate::bucket::WINDOW_1H;
use crate::bucket::WINDOW_3D;
use crate::bucket::WINDOW_5M;
use crate::bucket::WINDOW_6H;
use crate::coverage::covered_share;
use model::ServiceId;
use model::Stamp;
use model::VmId;

/// Burn rate that consumes 2% of a month's error budget in an hour.
const FAST_BURN_RATE: f64 = 14.4;
/// Burn rate that consumes a tenth of a month's error budget in three days.
const SLOW_BURN_RATE: f64 = 1.0;

/// Time window over which a burn rate is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, AsRefStr, Display, VariantArray)]
pub enum Window {
    /// Five minutes.
    #[strum(serialize = "5m")]
    FiveMinutes,
    /// One hour.
    #[strum(serialize = "1h")]
    Hour,
    /// Six hours.
    #[strum(serialize = "6h")]
    SixHours,
    /// Three days.
    #[strum(serialize = "3d")]
    ThreeDays,
}

impl Window {
    /// Length of the window.
    pub fn duration(self) -> Duration {
        match self {
            Window::FiveMinutes => WINDOW_5M,
            Window::Hour => WINDOW_1H,
            Window::SixHours => WINDOW_6H,
            Window::ThreeDays => WINDOW_3D,
        }
    }
}

/// Severity of a burn-rate alert.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, AsRefStr, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Alert {
    /// At this rate a month's error budget is exhausted in two days.
    Fast,
    /// The error budget is consumed at least as fast as it accrues.
    Slow,
}

impl Alert {
    /// Burn rate at or above which the alert fires, as a multiple of the sustainable rate.
    pub fn rate(self) -> f64 {
        match self {
            Alert::Fast => FAST_BURN_RATE,
            Alert::Slow => SLOW_BURN_RATE,
        }
    }
}

/// Counts and burn rate of one series in one window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowReport {
    /// The window.
    pub window: Window,
    /// Requests in the window.
    pub counts: Counts,
    /// Burn rate of the error budget, as a multiple of the sustainable rate.
    pub burn: f64,
    /// Share of the window that is covered by counts, from 0 to 1.
    pub covered: f64,
}

/// Error budget and burn rates of one series.
#[derive(Clone, Debug, PartialEq)]
pub struct SeriesReport {
    /// The series.
    pub series: Series,
    /// Share of requests that must be good, from 0 to 1.
    pub objective: f64,
    /// Reports of all windows, shortest first.
    pub windows: Vec<WindowReport>,
    /// The most severe alert that fires, or `None`.
    pub alert: Option<Alert>,
    /// Share of the three-day error budget that is left, from 0 to 1.
    pub left: f64,
}

/// Error budgets and burn rates of all series.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// One entry for each series whose service has an objective.
    pub lines: Vec<SeriesReport>,
}

/// Sums the records of all entry VMs and computes burn rates and alerts.
///
/// `live` lists the entry VMs whose record is current, taken at about `now`. `objectives` gives the
/// share of requests that must be good, by service.
pub fn report(
    records: &[Record],
    live: &BTreeSet<VmId>,
    objectives: &BTreeMap<ServiceId, f64>,
    now: Stamp,
) -> Report {
    let mut sums: BTreeMap<&Series, Buckets> = BTreeMap::new();
    for (series, buckets) in records.iter().flat_map(Record::series) {
        sums.entry(series).or_default().merge(buckets);
    }
    let is_live = |record: &Record| live.contains(&record.vm);
    let coverage_of = |window: &Window| covered_share(records, is_live, now, window.duration());
    let coverage: Vec<f64> = Window::VARIANTS.iter().map(coverage_of).collect();
    let lines = sums.iter().filter_map(|(series, buckets)| {
        let objective = *objectives.get(&series.service)?;
        Some(series_report((*series).clone(), buckets, objective, &coverage, now))
    });
    Report { lines: lines.collect() }
}

fn series_report(
    series: Series,
    buckets: &Buckets,
    objective: f64,
    coverage: &[f64],
    now: Stamp,
) -> SeriesReport {
    let windows: Vec<WindowReport> = Window::VARIANTS
        .iter()
        .zip(coverage)
        .map(|(window, covered)| {
            let counts = buckets.sum(now, window.duration());
            let burn = burn_rate(&counts, objective);
            WindowReport { window: *window, counts, burn, covered: *covered }
        })
        .collect();
    let alert = firing_alert(&windows);
    let left = (1.0 - windows[3].burn).max(0.0);
    SeriesReport { series, objective, windows, alert, left }
}

fn burn_rate(counts: &Counts, objective: f64) -> f64 {
    if counts.total() == 0 {
        return 0.0;
    }
    let failed_share = (counts.bad + counts.unknown) as f64 / counts.total() as f64;
    failed_share / (1.0 - objective).max(f64::EPSILON)
}

fn firing_alert(windows: &[WindowReport]) -> Option<Alert> {
    let above = |window: usize, rate: f64| windows[window].burn >= rate;
    if above(0, FAST_BURN_RATE) && above(1, FAST_BURN_RATE) {
        return Some(Alert::Fast);
    }
    (above(2, SLOW_BURN_RATE) && above(3, SLOW_BURN_RATE)).then_some(Alert::Slow)
}
