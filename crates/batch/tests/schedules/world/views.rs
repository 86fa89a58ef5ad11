//! Delayed views of the store in a simulation, orders that wait, and the invariant of drains.

use std::time::Duration;

use rand::RngExt;

use super::Message;
use super::World;
use super::evacuations::EVACUATE_MS;
use batch::Action;
use batch::Event;
use batch::JobId;
use batch::StartResult;
use batch::TaskKey;
use batch::View;
use batch::ViewBounds;
use batch::WorkerId;
use batch::WorkerInfo;
use model::Time;

/// Time from the announcement of a drain or a cancellation after which no start may arrive, in ms.
const BOUND_MS: u64 = 3_000;
/// Interval between two reads of a view, in ms.
const READ_INTERVAL_MS: u64 = 1_500;
/// Longest delay of a view, in ms.
const MAX_VIEW_DELAY_MS: u64 = 10_000;
/// Longest wait of an order for a payload permit, in ms.
const MAX_ORDER_WAIT_MS: u64 = 4_000;

/// Reads of the views by the current owner.
#[derive(Debug, Default)]
pub struct Reads {
    /// When each view is read next, in ms.
    directory_at: u64,
    cancellations_at: u64,
    /// Until when views are delayed, in ms.
    pub(super) delayed_until: u64,
    /// Number of starts that were not sent.
    pub unsent: u64,
}

impl World {
    /// Bounds of the views of an owner.
    pub(super) fn bounds(&self) -> ViewBounds {
        let bound = self.faults.views.then(|| Duration::from_millis(BOUND_MS));
        let evacuate = self.faults.evacuations.then(|| Duration::from_millis(EVACUATE_MS));
        ViewBounds { drain: bound, evacuate, cancel: bound }
    }

    /// Confirms the views of a new owner, which has just read them.
    pub(super) fn confirm_views(&mut self) {
        let (owner, now) = (self.owner, Time::from_millis(self.now));
        for view in [View::Directory, View::Cancellations] {
            self.handle_event(owner, Event::Viewed(view, now));
        }
        self.reads.directory_at = self.now;
        self.reads.cancellations_at = self.now;
    }

    /// Reads the views that are due. Some answers take seconds.
    pub(super) fn read_views(&mut self, infos: Vec<WorkerInfo>) {
        let (owner, now) = (self.owner, Time::from_millis(self.now));
        if self.reads.directory_at <= self.now {
            let took = self.view_delay();
            self.reads.directory_at = self.now + took + READ_INTERVAL_MS;
            let listed = Event::Listed(infos);
            self.send(took, Message::Event { owner, event: listed });
            let viewed = Event::Viewed(View::Directory, now);
            self.send(took, Message::Event { owner, event: viewed });
        }
        if self.reads.cancellations_at <= self.now {
            let took = self.view_delay();
            self.reads.cancellations_at = self.now + took + READ_INTERVAL_MS;
            let cancelled = self.jobs.iter().filter(|(_, job)| job.cancelled_at.is_some());
            let ids: Vec<JobId> = cancelled.map(|(id, _)| id.clone()).collect();
            for id in ids {
                self.send(took, Message::Event { owner, event: Event::Cancelled(id) });
            }
            let viewed = Event::Viewed(View::Cancellations, now);
            self.send(took, Message::Event { owner, event: viewed });
        }
    }

    fn view_delay(&mut self) -> u64 {
        if self.is_calm() || !self.rng.random_bool(0.3) {
            return self.rng.random_range(5..80);
        }
        let took = self.rng.random_range(1_000..MAX_VIEW_DELAY_MS);
        self.reads.delayed_until = self.reads.delayed_until.max(self.now + took);
        took
    }

    /// Lets a start wait for a payload permit. Returns for how long, or `None` if it is then not
    /// sent any more.
    pub(super) fn order_wait(&mut self, owner: u64, action: &Action) -> Option<u64> {
        let Action::Start { worker, task, run, send_by, .. } = action else { return Some(0) };
        let waits = self.faults.views && !self.is_calm() && self.rng.random_bool(0.2);
        let wait = if waits { self.rng.random_range(0..MAX_ORDER_WAIT_MS) } else { 0 };
        if Time::from_millis(self.now + wait) <= *send_by {
            return Some(wait);
        }
        self.reads.unsent += 1;
        let event = Event::Started(worker.clone(), task.clone(), *run, StartResult::NotSent);
        self.send(wait, Message::Event { owner, event });
        None
    }

    /// Checks that no start arrives at a worker that announced long enough before that it drains.
    pub(super) fn check_drain(&self, worker: &WorkerId, task: &TaskKey) {
        // A worker that has crashed since does not drain any more.
        let drains = self.faults.views && self.workers[worker].leaves_at.is_some();
        let drained = self.drained_at.get(worker).filter(|_| drains);
        if let Some(at) = drained.filter(|at| **at + BOUND_MS < self.now) {
            self.fail_schedule(&format!("{task} starts on {worker}, which drains since {at} ms"));
        }
    }
}
