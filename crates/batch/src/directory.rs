//! Workers as the directory and their own answers show them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::spec::JobId;
use crate::spec::Need;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Time;

/// A worker as the directory lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// Its id.
    pub id: WorkerId,
    /// Service whose tasks it runs.
    pub service: String,
    /// Where it is called.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Its rack.
    pub rack: String,
    /// Its labels.
    pub labels: Vec<String>,
    /// What it holds.
    pub capacity: Need,
    /// Start of its incarnation in ms of Unix time, where the entry says so.
    pub incarnation: Option<u64>,
    /// Time that is left at least, if it is draining.
    pub drain_left: Option<Duration>,
}

/// A worker as the planner knows it.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub info: Arc<WorkerInfo>,
    /// Whether the directory lists it now.
    pub listed: bool,
    /// Incarnation that answered last.
    pub incarnation: u64,
    /// When it answered last, with its clock then, in ms.
    pub clock: Option<(Time, u64)>,
    /// Latest lease end that was ever sent in this ownership, in ms of its clock.
    pub deadline: u64,
    /// Time by which a worker that never answered this owner holds nothing of former owners.
    pub inherited_end: Time,
    /// Whether its last call was answered.
    pub reachable: bool,
    /// Calls in a row without an answer.
    pub missed_calls: u32,
    /// A renewal is on its way.
    pub renewing: bool,
    /// When the last renewal was sent.
    pub renewal_sent: Time,
    /// Last end that is stored.
    pub stored_end: u64,
    /// Last end that was taken in.
    pub heard_end: u64,
    /// Last end that the worker was told to forget.
    pub acked_end: u64,
    /// Last end that the renewal on its way tells it to forget.
    pub acking_end: u64,
    /// What its runs use, those that are being stopped included.
    pub used: Need,
    /// Runs of other owners that it still lists.
    pub foreign_runs: u32,
    /// No new runs before this.
    pub backoff_until: Time,
    /// Failures since the last run that was done.
    pub failures: u32,
    /// Jobs that have failed here since then.
    pub failed_jobs: BTreeSet<JobId>,
    /// Until when it may be the cause of failures or standstill seen here.
    pub suspect_until: Time,
    /// Failures in a row that raised this doubt.
    pub suspicions: u32,
    /// When it leaves at the earliest, if it is draining.
    pub drain_end: Option<Time>,
    /// Starts and stops in a row without an answer.
    pub unanswered_orders: u32,
    /// The last of them, as a task and its run.
    pub probe: Option<(TaskKey, u32)>,
    /// When it was last asked to stop that run, to see whether it carries out orders again.
    pub probe_sent: Time,
}

/// Orders in a row without an answer after which a worker gets no new runs: one in twenty gets
/// lost on the users' bad days, and two in a row are a sign of more.
const MAX_UNANSWERED_ORDERS: u32 = 2;

/// For how long a worker is doubted after one failure: the shortest of the users' disruptions of
/// workers last five seconds.
const SUSPECT_TIME: Duration = Duration::from_millis(4_000);
/// Most doublings of that time, for failures in a row.
const MAX_SUSPECT_DOUBLINGS: u32 = 2;

/// Most that a worker's clock may be slow, in parts of a thousand.
const CLOCK_SLOW_PERMILLE: u64 = 20;
/// Room for delays between our clock and a worker's, in ms.
const CLOCK_MARGIN_MS: u64 = 100;

impl Worker {
    pub fn new(info: Arc<WorkerInfo>, inherited_end: Time) -> Worker {
        Worker {
            incarnation: info.incarnation.unwrap_or(0),
            info,
            listed: true,
            clock: None,
            deadline: 0,
            inherited_end,
            reachable: false,
            missed_calls: 0,
            renewing: false,
            renewal_sent: Time::ZERO,
            stored_end: 0,
            heard_end: 0,
            acked_end: 0,
            acking_end: 0,
            used: Need::default(),
            foreign_runs: 0,
            backoff_until: Time::ZERO,
            failures: 0,
            failed_jobs: BTreeSet::new(),
            suspect_until: Time::ZERO,
            suspicions: 0,
            drain_end: None,
            unanswered_orders: 0,
            probe: None,
            probe_sent: Time::ZERO,
        }
    }

    /// Whether it leaves orders undone, though it may answer renewals.
    pub fn ignores_orders(&self) -> bool {
        self.unanswered_orders >= MAX_UNANSWERED_ORDERS
    }

    /// Whether a new run may go there.
    pub fn usable(&self, now: Time) -> bool {
        self.listed
            && self.drain_end.is_none()
            && self.reachable
            && self.clock.is_some()
            && self.foreign_runs == 0
            && !self.ignores_orders()
            && self.backoff_until <= now
    }

    /// A run failed here: the worker may be the cause, the likelier the more fail in a row.
    /// Returns for how long it is doubted.
    pub fn suspect(&mut self, now: Time) -> Duration {
        let span = SUSPECT_TIME * 2u32.pow(self.suspicions.min(MAX_SUSPECT_DOUBLINGS));
        self.suspect_until = self.suspect_until.max(now + span);
        self.suspicions += 1;
        span
    }

    /// A run was done here: the worker is sound.
    pub fn clear_suspicion(&mut self) {
        self.failures = 0;
        self.failed_jobs.clear();
        self.suspect_until = Time::ZERO;
        self.suspicions = 0;
    }

    /// What is left of its capacity.
    pub fn room(&self) -> Need {
        self.info.capacity.less(&self.used)
    }

    /// The lease end that renews everything for `lease`, in ms of its clock.
    pub fn renewed_deadline(&self, now: Time, lease: Duration) -> Option<u64> {
        let (heard, clock) = self.clock?;
        let passed = millis(now.since(heard));
        Some(clock + passed + millis(lease))
    }

    /// When all leases that were sent there have run out, whatever its clock's error.
    pub fn leases_end(&self) -> Time {
        let Some((heard, clock)) = self.clock else { return self.inherited_end };
        let left = self.deadline.saturating_sub(clock);
        let slow = left * CLOCK_SLOW_PERMILLE / (1_000 - CLOCK_SLOW_PERMILLE) + 1;
        (heard + Duration::from_millis(left + slow + CLOCK_MARGIN_MS)).max(self.inherited_end)
    }

    /// Another incarnation answers: nothing of the last one counts.
    pub fn start_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.clock = None;
        self.deadline = 0;
        self.inherited_end = Time::ZERO;
        self.stored_end = 0;
        self.heard_end = 0;
        self.acked_end = 0;
        self.acking_end = 0;
        self.foreign_runs = 0;
        self.clear_suspicion();
        self.backoff_until = Time::ZERO;
        self.unanswered_orders = 0;
        self.probe = None;
    }
}

/// Whole milliseconds of `span`.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// All workers by id.
pub(crate) type Workers = BTreeMap<WorkerId, Worker>;
