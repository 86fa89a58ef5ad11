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
    pub born: u64,
    /// When it answered last, with its clock then, in ms.
    pub clock: Option<(Time, u64)>,
    /// Latest lease end that was ever sent in this ownership, in ms of its clock.
    pub deadline: u64,
    /// Time by which a worker that never answered this owner holds nothing of former owners.
    pub clear: Time,
    /// Whether its last call was answered.
    pub answers: bool,
    /// Calls in a row without an answer.
    pub silent: u32,
    /// A renewal is on its way.
    pub holding: bool,
    /// When the last renewal was sent.
    pub asked: Time,
    /// Last end that is stored.
    pub stored: u64,
    /// Last end that was taken in.
    pub heard: u64,
    /// Last end that the worker was told to forget.
    pub acked: u64,
    /// Last end that the renewal on its way tells it to forget.
    pub telling: u64,
    /// What its runs use, those that are being stopped included.
    pub used: Need,
    /// Runs of other owners that it still lists.
    pub strays: u32,
    /// No new runs before this.
    pub shunned: Time,
    /// Failures since the last run that was done.
    pub failures: u32,
    /// Jobs that have failed here since then.
    pub failed: BTreeSet<JobId>,
    /// Until when it may be the cause of failures or standstill seen here.
    pub doubted: Time,
    /// Failures in a row that raised this doubt.
    pub doubts: u32,
    /// When it leaves at the earliest, if it is draining.
    pub leaves: Option<Time>,
    /// Starts and stops in a row without an answer.
    pub unheeded: u32,
    /// The last of them, as a task and its run.
    pub probe: Option<(TaskKey, u32)>,
    /// When it was last asked to stop that run, to see whether it carries out orders again.
    pub probed: Time,
}

/// Orders in a row without an answer after which a worker gets no new runs: one in twenty gets
/// lost on the users' bad days, and two in a row are a sign of more.
const UNHEEDED_ORDERS: u32 = 2;

/// For how long a worker is doubted after one failure: the shortest of the users' disruptions of
/// workers last five seconds.
const DOUBT_TIME: Duration = Duration::from_millis(4_000);
/// Most doublings of that time, for failures in a row.
const DOUBT_DOUBLINGS: u32 = 2;

/// Most that a worker's clock may be slow, in parts of a thousand.
const CLOCK_SLOW_MILLIS: u64 = 20;
/// Room for delays between our clock and a worker's, in ms.
const CLOCK_MARGIN_MS: u64 = 100;

impl Worker {
    pub fn new(info: Arc<WorkerInfo>, clear: Time) -> Worker {
        Worker {
            born: info.incarnation.unwrap_or(0),
            info,
            listed: true,
            clock: None,
            deadline: 0,
            clear,
            answers: false,
            silent: 0,
            holding: false,
            asked: Time::ZERO,
            stored: 0,
            heard: 0,
            acked: 0,
            telling: 0,
            used: Need::default(),
            strays: 0,
            shunned: Time::ZERO,
            failures: 0,
            failed: BTreeSet::new(),
            doubted: Time::ZERO,
            doubts: 0,
            leaves: None,
            unheeded: 0,
            probe: None,
            probed: Time::ZERO,
        }
    }

    /// Whether it leaves orders undone, though it may answer renewals.
    pub fn unheeding(&self) -> bool {
        self.unheeded >= UNHEEDED_ORDERS
    }

    /// Whether a new run may go there.
    pub fn usable(&self, now: Time) -> bool {
        self.listed
            && self.leaves.is_none()
            && self.answers
            && self.clock.is_some()
            && self.strays == 0
            && !self.unheeding()
            && self.shunned <= now
    }

    /// A run failed here: the worker may be the cause, the likelier the more fail in a row.
    /// Returns for how long it is doubted.
    pub fn doubt(&mut self, now: Time) -> Duration {
        let span = DOUBT_TIME * 2u32.pow(self.doubts.min(DOUBT_DOUBLINGS));
        self.doubted = self.doubted.max(now + span);
        self.doubts += 1;
        span
    }

    /// A run was done here: the worker is sound.
    pub fn trust(&mut self) {
        self.failures = 0;
        self.failed.clear();
        self.doubted = Time::ZERO;
        self.doubts = 0;
    }

    /// What is left of its capacity.
    pub fn room(&self) -> Need {
        self.info.capacity.less(&self.used)
    }

    /// The lease end that renews everything for `lease`, in ms of its clock.
    pub fn renewal(&self, now: Time, lease: Duration) -> Option<u64> {
        let (heard, clock) = self.clock?;
        let passed = millis(now.since(heard));
        Some(clock + passed + millis(lease))
    }

    /// When all leases that were sent there have run out, whatever its clock's error.
    pub fn lapsed(&self) -> Time {
        let Some((heard, clock)) = self.clock else { return self.clear };
        let left = self.deadline.saturating_sub(clock);
        let slow = left * CLOCK_SLOW_MILLIS / (1_000 - CLOCK_SLOW_MILLIS) + 1;
        (heard + Duration::from_millis(left + slow + CLOCK_MARGIN_MS)).max(self.clear)
    }

    /// Another incarnation answers: nothing of the last one counts.
    pub fn reborn(&mut self, born: u64) {
        self.born = born;
        self.clock = None;
        self.deadline = 0;
        self.clear = Time::ZERO;
        self.stored = 0;
        self.heard = 0;
        self.acked = 0;
        self.telling = 0;
        self.strays = 0;
        self.trust();
        self.shunned = Time::ZERO;
        self.unheeded = 0;
        self.probe = None;
    }
}

/// Whole milliseconds of `span`.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// All workers by id.
pub(crate) type Workers = BTreeMap<WorkerId, Worker>;
