//! State of workers, from the directory and from their own answers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::address::Addresses;
use crate::fence::Fence;
use crate::spec::JobId;
use crate::spec::Need;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Time;

/// A worker as the directory lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// Worker id.
    pub id: WorkerId,
    /// Service whose tasks the worker runs.
    pub service: String,
    /// Address for calls to the worker.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Rack.
    pub rack: String,
    /// Labels that steps can require.
    pub labels: Vec<String>,
    /// Total capacity.
    pub capacity: Need,
    /// Start of the worker's incarnation in ms of Unix time; `None` if the entry lacks it.
    pub incarnation: Option<u64>,
    /// Minimum time left before a draining worker goes away; `None` if it is not draining.
    pub drain_left: Option<Duration>,
    /// Time for which the worker is still slow after a start or an evacuation; `None` if it is warm.
    pub cold_left: Option<Duration>,
}

/// State of a worker in the planner.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub info: Arc<WorkerInfo>,
    /// Whether the directory currently lists it.
    pub listed: bool,
    /// Incarnation that last answered, by its start in ms of Unix time; zero before the first
    /// answer. An entry of another writer may state a later start, so entries do not set it.
    pub incarnation: u64,
    /// When it last answered, with the worker's clock at that time in ms.
    pub clock: Option<(Time, u64)>,
    /// Whether it has refused a start as late, so that its clock has to be read again before the
    /// next one.
    pub clock_doubtful: bool,
    /// Where it is called.
    pub addresses: Addresses,
    /// Fencing token of the calls to it.
    pub fence: Fence,
    /// Latest lease end sent during this ownership, in ms of the worker's clock.
    pub deadline: u64,
    /// When leases from former owners have expired, for a worker that has not answered this owner.
    pub inherited_end: Time,
    /// Whether it answers renewals: false before its first answer, and after several renewals in a
    /// row went unanswered.
    pub reachable: bool,
    /// Number of renewals in a row without an answer.
    pub missed_calls: u32,
    /// When it last went silent: the first of the last renewals in a row that failed, or the answer
    /// of another incarnation.
    pub silent_since: Time,
    /// Whether a renewal is in flight.
    pub renewing: bool,
    /// When the last renewal was sent.
    pub renewal_sent: Time,
    /// Sequence number of the last end that has been stored.
    pub stored_end: u64,
    /// Sequence number of the last end that has been processed.
    pub heard_end: u64,
    /// Sequence number of the last end whose acknowledgement the worker has answered.
    pub acked_end: u64,
    /// Sequence number that the renewal in flight acknowledges; zero for none.
    pub acking_end: u64,
    /// Resources of its runs, including those that are being stopped.
    pub used: Need,
    /// Number of runs in its last report that this planner does not know as current.
    pub foreign_runs: u32,
    /// The worker gets no new runs before this time.
    pub backoff_until: Time,
    /// Failures since the last completed run that count towards a back-off.
    pub failures: u32,
    /// Jobs that had a run fail here since the last completed run.
    pub failed_jobs: BTreeSet<JobId>,
    /// Until when the worker is suspected as the cause of failures seen here.
    pub suspect_until: Time,
    /// Number of failures in a row behind this suspicion.
    pub suspicions: u32,
    /// Until when the worker is taken to be slow.
    pub slow_until: Time,
    /// Whether its availability zone is evacuated, so that it gets no starts.
    pub evacuated: bool,
    /// When it gets new runs again after an evacuation of its zone.
    pub opens_at: Time,
    /// Until when its zone opens again after an evacuation; it ranks as slow before.
    pub reopening_until: Time,
    /// Until when it is slow because it is cold, as its entry says.
    pub cold_until: Time,
    /// Earliest time at which a draining worker goes away; `None` if it is not draining.
    pub drain_end: Option<Time>,
    /// Number of starts and stops in a row without an answer.
    pub unanswered_orders: u32,
    /// Task and run number of the last unanswered order.
    pub probe: Option<(TaskKey, u32)>,
    /// When a stop of that run was last sent as a probe.
    pub probe_sent: Time,
}

/// Number of unanswered orders in a row after which a worker gets no new runs. On the users' bad
/// days one order in twenty gets lost, so that two in a row point to a fault of the worker.
const MAX_UNANSWERED_ORDERS: u32 = 2;

/// For how long a worker is suspected after one failure. The shortest disruptions of workers that
/// the users see last five seconds.
const SUSPECT_TIME: Duration = Duration::from_millis(4_000);
/// Maximum number of doublings of that time, for failures in a row.
const MAX_SUSPECT_DOUBLINGS: u32 = 2;

/// Maximum rate by which a worker's clock may run slow, in parts per thousand.
const CLOCK_SLOW_PERMILLE: u64 = 20;
/// Margin for delays in comparing a worker's clock with ours, in ms.
const CLOCK_MARGIN_MS: u64 = 100;

impl Worker {
    pub fn new(info: Arc<WorkerInfo>, inherited_end: Time, token: u64) -> Worker {
        Worker {
            incarnation: 0,
            addresses: Addresses::new(info.address),
            fence: Fence::new(token),
            info,
            listed: true,
            clock: None,
            clock_doubtful: false,
            deadline: 0,
            inherited_end,
            reachable: false,
            missed_calls: 0,
            silent_since: Time::ZERO,
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
            slow_until: Time::ZERO,
            evacuated: false,
            opens_at: Time::ZERO,
            reopening_until: Time::ZERO,
            cold_until: Time::ZERO,
            drain_end: None,
            unanswered_orders: 0,
            probe: None,
            probe_sent: Time::ZERO,
        }
    }

    /// Whether it does not answer starts and stops, though it may answer renewals.
    pub fn ignores_orders(&self) -> bool {
        self.unanswered_orders >= MAX_UNANSWERED_ORDERS
    }

    /// Records that it does not answer, or that another incarnation does.
    pub fn note_silence(&mut self, now: Time) {
        if self.missed_calls == 0 {
            self.silent_since = now;
        }
    }

    /// Whether its clock is known well enough to start runs.
    pub fn clock_known(&self) -> bool {
        self.clock.is_some() && !self.clock_doubtful
    }

    /// Whether it accepts new runs.
    pub fn usable(&self, now: Time) -> bool {
        self.listed
            && self.drain_end.is_none()
            && self.is_open(now)
            && self.reachable
            && self.clock_known()
            && self.foreign_runs == 0
            && !self.ignores_orders()
            && self.backoff_until <= now
    }

    /// Whether other workers are preferred, since this one makes little progress or may do so.
    pub fn ranks_slow(&self, now: Time) -> bool {
        let slow_until = self.slow_until.max(self.reopening_until).max(self.cold_until);
        now < slow_until || self.missed_calls > 0
    }

    /// Marks the worker as suspect after a failed run, for a time that doubles with each failure in
    /// a row up to a limit, and returns that time.
    pub fn suspect(&mut self, now: Time) -> Duration {
        let span = SUSPECT_TIME * 2u32.pow(self.suspicions.min(MAX_SUSPECT_DOUBLINGS));
        self.suspect_until = self.suspect_until.max(now + span);
        self.suspicions += 1;
        span
    }

    /// Clears failures and suspicion after a completed run.
    pub fn clear_suspicion(&mut self) {
        self.failures = 0;
        self.failed_jobs.clear();
        self.suspect_until = Time::ZERO;
        self.suspicions = 0;
    }

    /// Whether it answers, so that its entry need not say where it is.
    pub fn in_contact(&self) -> bool {
        self.reachable && self.missed_calls == 0
    }

    /// Whether an entry is older than what the worker itself has answered.
    pub fn outdates(&self, entry: &WorkerInfo) -> bool {
        entry.incarnation.is_some_and(|incarnation| incarnation < self.incarnation)
    }

    /// Whether it has answered this owner, and so refuses orders of former owners.
    pub fn has_answered(&self) -> bool {
        self.inherited_end == Time::ZERO
    }

    /// Free capacity.
    pub fn free_capacity(&self) -> Need {
        self.info.capacity.less(&self.used)
    }

    /// End of a lease of length `lease` from `at`, in ms of the worker's clock, which may run slow;
    /// `None` while its clock is unknown.
    pub fn lease_deadline(&self, at: Time, lease: Duration) -> Option<u64> {
        let (heard, clock) = self.clock.filter(|_| !self.clock_doubtful)?;
        let passed = millis(at.since(heard));
        let passed = passed - passed.saturating_mul(CLOCK_SLOW_PERMILLE) / 1_000;
        let clock = clock.saturating_sub(millis(heard.since(at)));
        Some(clock.saturating_add(passed).saturating_add(millis(lease)))
    }

    /// When all leases sent to the worker have expired, even if its clock runs slow.
    pub fn leases_end(&self) -> Time {
        let Some((heard, clock)) = self.clock else { return self.inherited_end };
        let left = self.deadline.saturating_sub(clock);
        let slow = left.saturating_mul(CLOCK_SLOW_PERMILLE) / (1_000 - CLOCK_SLOW_PERMILLE) + 1;
        let left = left.saturating_add(slow).saturating_add(CLOCK_MARGIN_MS);
        (heard + Duration::from_millis(left)).max(self.inherited_end)
    }

    /// Resets the state that belonged to the last incarnation, since another one answers.
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
        self.slow_until = Time::ZERO;
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
