//! Ages of the views of the outside world on which starts rest.
//!
//! A start respects a change in the store, such as a worker that drains, only if the view that
//! includes it has been read since. So a start is sent only while each view is younger than the time
//! in which the change has to be respected, less a margin for the call. The check is made when the
//! order is sent, which may be after a wait, and again for each repetition. Starts that fail it are
//! kept until the views are fresh.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use strum::AsRefStr;
use strum::VariantArray;

use crate::Planner;
use crate::action::Action;
use crate::action::Note;
use crate::directory::Worker;
use crate::directory::millis;
use crate::job::Stage;
use crate::planner::task_mut;
use crate::spec::TaskKey;
use model::Time;

/// A view of the outside world that the owner reads from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, AsRefStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum View {
    /// The directory of workers: which are draining, their zones and addresses.
    Directory,
    /// The evacuated availability zones.
    Evacuations,
    /// The cancelled jobs.
    Cancellations,
}

/// Times after an acknowledged change from which starts have to respect it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewBounds {
    /// After a worker has announced that it drains; `None` sets no bound.
    pub drain: Option<Duration>,
    /// After an availability zone has been evacuated; `None` sets no bound.
    pub evacuate: Option<Duration>,
    /// After a job has been cancelled; `None` sets no bound.
    pub cancel: Option<Duration>,
}

impl ViewBounds {
    /// Bound of a view; `None` if it has none.
    fn get(&self, view: View) -> Option<Duration> {
        match view {
            View::Directory => self.drain,
            View::Evacuations => self.evacuate,
            View::Cancellations => self.cancel,
        }
    }
}

/// Part of each bound reserved for the call that carries a start: it is given up after 300 ms, and
/// 200 ms are left for what is still on its way then.
const CALL_MARGIN: Duration = Duration::from_millis(500);
/// Minimum time left to send a start when it is issued, so that the starts of a gang, which are
/// issued together, do not reach the limit one after the other.
const ISSUE_MARGIN: Duration = Duration::from_millis(50);

/// Ages of the views, and the starts that wait for fresh ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Views {
    /// When each view was last known to be complete.
    confirmed: BTreeMap<View, Time>,
    /// Tasks whose current run is to be started once all views are fresh, with its number.
    held: BTreeMap<TaskKey, u32>,
    /// Views that hold up starts, as far as that has been logged.
    holding: BTreeSet<View>,
}

impl Views {
    /// Records that a view includes all changes that were acknowledged before `at`.
    pub fn confirm(&mut self, view: View, at: Time) {
        let known = self.confirmed.entry(view).or_insert(at);
        *known = (*known).max(at);
    }

    /// Latest time at which a start may be sent as far as one view is concerned.
    fn send_by(&self, bounds: &ViewBounds, view: View) -> Time {
        let Some(bound) = bounds.get(view) else { return Time::NEVER };
        let confirmed = self.confirmed.get(&view);
        confirmed.map_or(Time::ZERO, |at| *at + bound.saturating_sub(CALL_MARGIN))
    }
}

impl Planner {
    /// Time up to which a view is known to be complete; `None` before its first confirmation.
    pub fn view_confirmed(&self, view: View) -> Option<Time> {
        self.views.confirmed.get(&view).copied()
    }

    /// Latest time at which a start that is issued now may be sent.
    fn send_by(&self) -> Time {
        let limit = |view: &View| self.views.send_by(&self.settings.bounds, *view);
        View::VARIANTS.iter().map(limit).min().unwrap_or(Time::NEVER)
    }

    /// Returns the latest time at which the start of a stored run may be sent, or `None` if it must
    /// not be issued now.
    ///
    /// Without fresh views the start is held until they are. A run on a worker that drains or whose
    /// availability zone is evacuated is withdrawn, so that its task gets another place.
    pub(crate) fn clear_to_start(&mut self, now: Time, key: &TaskKey, number: u32) -> Option<Time> {
        self.views.held.remove(key);
        let job = self.jobs.get_mut(&key.job)?;
        let task = task_mut(job, key).filter(|task| task.run == number)?;
        let Stage::Placed(run) = &mut task.stage else { return None };
        run.stored = true;
        if run.stopping.is_some() || run.confirmed.is_some() {
            return None;
        }
        let gone = |worker: &Worker| worker.drain_end.is_some() || worker.evacuated;
        if self.workers.get(&run.worker).is_some_and(gone) {
            self.stop_run(now, key);
            return None;
        }
        let send_by = self.send_by();
        if now + ISSUE_MARGIN > send_by {
            self.views.held.insert(key.clone(), number);
            return None;
        }
        Some(send_by)
    }

    /// Sends the held starts once all views are fresh.
    pub(crate) fn send_held_starts(&mut self, now: Time) {
        self.note_held_starts(now);
        if self.views.held.is_empty() || now + ISSUE_MARGIN > self.send_by() {
            return;
        }
        for (key, number) in std::mem::take(&mut self.views.held) {
            self.start(now, &key, number);
        }
    }

    /// Logs which views begin and cease to hold up starts.
    fn note_held_starts(&mut self, now: Time) {
        for &view in View::VARIANTS {
            let stale = now + ISSUE_MARGIN > self.views.send_by(&self.settings.bounds, view);
            let was_holding = self.views.holding.contains(&view);
            let holds = stale && (was_holding || !self.views.held.is_empty());
            if holds == was_holding {
                continue;
            }
            match holds {
                true => self.views.holding.insert(view),
                false => self.views.holding.remove(&view),
            };
            let age = self.view_confirmed(view).map(|at| millis(now.since(at)));
            let starts = self.views.held.len();
            self.out.push(Action::Note(Note::HoldsStarts { view, holds, age, starts }));
        }
    }

    /// Processes the report that a start was not sent in time: the worker has no run of it, unless
    /// an earlier start of the run went unanswered.
    pub(crate) fn start_not_sent(&mut self, now: Time, key: &TaskKey, number: u32) {
        let job = self.jobs.get_mut(&key.job);
        let task = job.and_then(|job| task_mut(job, key));
        let Some(Stage::Placed(run)) = task.map(|task| &mut task.stage) else { return };
        if run.confirmed.is_some() {
            return;
        }
        let never_sent = run.unanswered_starts == 0;
        if never_sent {
            run.first_sent = None;
            run.start_sent = None;
        }
        if run.stopping.is_none() {
            self.views.held.insert(key.clone(), number);
        } else if never_sent {
            self.clear_run(now, key);
        }
    }
}
