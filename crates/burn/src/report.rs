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
use crate::coverage::covered;
use model::ServiceId;
use model::Stamp;
use model::VmId;

/// Burn rate that spends 2% of a month's budget in an hour.
const FAST_RATE: f64 = 14.4;
/// Burn rate that spends a tenth of a month's budget in three days.
const SLOW_RATE: f64 = 1.0;

/// A window over which requests are counted.
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
    /// Its length.
    pub fn duration(self) -> Duration {
        match self {
            Window::FiveMinutes => WINDOW_5M,
            Window::Hour => WINDOW_1H,
            Window::SixHours => WINDOW_6H,
            Window::ThreeDays => WINDOW_3D,
        }
    }
}

/// An alert on a burn rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, AsRefStr, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Alert {
    /// The budget of a month would be gone in two days.
    Fast,
    /// The budget is spent faster than it grows.
    Slow,
}

impl Alert {
    /// Burn rate at which it fires, as a multiple of the sustainable rate.
    pub fn rate(self) -> f64 {
        match self {
            Alert::Fast => FAST_RATE,
            Alert::Slow => SLOW_RATE,
        }
    }
}

/// One window of one series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowReport {
    /// The window.
    pub window: Window,
    /// Its requests.
    pub counts: Counts,
    /// Rate at which the budget is spent, as a multiple of the sustainable rate.
    pub burn: f64,
    /// Share of the window that the counts cover, from 0 to 1.
    pub covered: f64,
}

/// Burn of one series.
#[derive(Clone, Debug, PartialEq)]
pub struct SeriesReport {
    /// The series.
    pub series: Series,
    /// Share of requests that must be good.
    pub objective: f64,
    /// Its windows, shortest first.
    pub windows: Vec<WindowReport>,
    /// The alert that fires, if one does.
    pub alert: Option<Alert>,
    /// Share of the budget of three days that is left.
    pub left: f64,
}

/// Burn of all series.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// One line for each series that has an objective.
    pub lines: Vec<SeriesReport>,
}

/// Adds up the records of all entry VMs.
///
/// `live` names those whose record is of this moment.
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
    let share = |window: &Window| covered(records, is_live, now, window.duration());
    let shares: Vec<f64> = Window::VARIANTS.iter().map(share).collect();
    let lines = sums.iter().filter_map(|(series, buckets)| {
        let objective = *objectives.get(&series.service)?;
        Some(line((*series).clone(), buckets, objective, &shares, now))
    });
    Report { lines: lines.collect() }
}

fn line(
    series: Series,
    buckets: &Buckets,
    objective: f64,
    shares: &[f64],
    now: Stamp,
) -> SeriesReport {
    let windows: Vec<WindowReport> = Window::VARIANTS
        .iter()
        .zip(shares)
        .map(|(window, covered)| {
            let counts = buckets.sum(now, window.duration());
            let burn = burn(&counts, objective);
            WindowReport { window: *window, counts, burn, covered: *covered }
        })
        .collect();
    let alert = alert(&windows);
    let left = (1.0 - windows[3].burn).max(0.0);
    SeriesReport { series, objective, windows, alert, left }
}

fn burn(counts: &Counts, objective: f64) -> f64 {
    if counts.total() == 0 {
        return 0.0;
    }
    let spent = (counts.bad + counts.unknown) as f64 / counts.total() as f64;
    spent / (1.0 - objective).max(f64::EPSILON)
}

fn alert(windows: &[WindowReport]) -> Option<Alert> {
    let above = |window: usize, rate: f64| windows[window].burn >= rate;
    if above(0, FAST_RATE) && above(1, FAST_RATE) {
        return Some(Alert::Fast);
    }
    (above(2, SLOW_RATE) && above(3, SLOW_RATE)).then_some(Alert::Slow)
}
