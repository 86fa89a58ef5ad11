//! State of a planner, and the processing of events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::Policy;
use crate::Settings;
use crate::action::Action;
use crate::action::Note;
use crate::advice::Advisor;
use crate::directory::Worker;
use crate::directory::WorkerInfo;
use crate::directory::Workers;
use crate::directory::millis;
use crate::event::Event;
use crate::event::StartResult;
use crate::fence::DELAYED_START_TIME;
use crate::headroom::UrgentUse;
use crate::job::Job;
use crate::job::JobState;
use crate::job::Run;
use crate::job::Stage;
use crate::job::Step;
use crate::job::Task;
use crate::record::Record;
use crate::reservations::Reservations;
use crate::spec::JobId;
use crate::spec::StepSpec;
use crate::spec::Submission;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use crate::views::Views;
use model::Stamp;
use model::Time;

/// Time within which a read of the store that began before a job's removal has finished.
const REMOVED_ID_TIME: Duration = Duration::from_secs(30);
/// Number of unanswered renewals in a row after which a worker gets no new runs.
pub(crate) const MAX_MISSED_CALLS: u32 = 2;
/// Pause between commits, so that changes made meanwhile share one.
const COMMIT_PAUSE: Duration = Duration::from_millis(15);
/// Divisor of the longest lease for the lease that a start carries, so that a delayed start is
/// refused early; renewals carry the whole lease.
const START_LEASE_DIVISOR: u32 = 2;

/// Scheduler for the jobs of one owner.
#[derive(Debug)]
pub struct Planner {
    pub(crate) settings: Settings,
    pub(crate) policy: Arc<Policy>,
    pub(crate) workers: Workers,
    /// Services that a configuration or a job's queue has named.
    services: BTreeSet<String>,
    /// Services in entries of the directory that name no worker to use.
    ignored_entries: BTreeMap<WorkerId, String>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Tasks with a run, by worker.
    pub(crate) runs: BTreeMap<WorkerId, BTreeSet<TaskKey>>,
    /// Tasks whose run is being stopped.
    pub(crate) stopping: BTreeSet<TaskKey>,
    /// Jobs that may have reservations.
    pub(crate) reserving: BTreeSet<JobId>,
    /// Jobs with changes that are not in the store yet.
    pub(crate) dirty: BTreeSet<JobId>,
    /// Jobs that have not ended, or still have runs.
    pub(crate) live: BTreeSet<JobId>,
    /// Jobs that were cancelled before they were stored.
    tombstones: BTreeSet<JobId>,
    /// Ended jobs with the time since which their end is stored, in this order; and tombstones.
    ended: VecDeque<(Time, JobId)>,
    /// Recently removed jobs, which a slow read of the store may still return.
    removed: VecDeque<(Time, JobId)>,
    /// Whether any job has had filler tasks or tasks with a latency target, which never share a
    /// worker.
    pub(crate) needs_isolation: bool,
    /// Recent capacity use of urgent steps.
    pub(crate) urgent_peaks: UrgentUse,
    /// Tasks that may be the cause of crashes.
    pub(crate) suspects: BTreeSet<TaskKey>,
    /// Tasks with a loss of which it is not known whether the worker crashed.
    pub(crate) unsettled: BTreeSet<TaskKey>,
    /// The same tasks by the silent worker.
    pub(crate) silent_workers: BTreeMap<WorkerId, BTreeSet<TaskKey>>,
    /// Whether a placement pass is due.
    pub(crate) replan: bool,
    /// Latest time of the next placement pass.
    pub(crate) replan_at: Time,
    /// Whether all stored jobs have been passed in; no decision is made before.
    restored: bool,
    commit: Option<Commit>,
    /// No commit is started before this time.
    commit_after: Time,
    /// Store revision of the owner's last transaction, as far as it is known.
    pub(crate) revision: u64,
    /// Workers whose fencing token is raised after the next transaction.
    pub(crate) raises: BTreeSet<WorkerId>,
    /// Until when starts of former owners may be carried out.
    pub(crate) late_starts_until: Time,
    /// When the next renewal that waits for the end of a short pause is due.
    pub(crate) renew_at: Time,
    pub(crate) out: Vec<Action>,
    pub(crate) advisor: Advisor,
    /// When leases from former owners have expired on workers that have not answered this owner.
    inherited_end: Time,
    /// How long leases are extended after the store has confirmed the ownership.
    solo: Duration,
    /// Time up to which leases are extended: another owner may have taken over since the store last
    /// confirmed the ownership, and relies on this limit.
    pub(crate) extend_until: Time,
    pub(crate) reservations: Reservations,
    pub(crate) views: Views,
    /// Evacuated availability zones.
    pub(crate) evacuated: BTreeSet<String>,
    /// No long-running tasks are moved out of them before this time.
    pub(crate) moves_after: Time,
    /// Whether gangs are preempted as a whole.
    pub(crate) whole_gangs: bool,
}

/// A commit in flight.
#[derive(Debug)]
struct Commit {
    /// Runs that may be started once it is stored, by task and run number.
    starts: Vec<(TaskKey, u32)>,
    /// Ends that may be acknowledged once it is stored: worker, its incarnation, and the sequence
    /// number of the last end.
    ends: Vec<(WorkerId, u64, u64)>,
    /// Jobs whose records it stores.
    jobs: Vec<JobId>,
}

/// Counters for metrics and logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Number of jobs that have not ended or still have runs.
    pub live: usize,
    /// Number of jobs of each queue that have not begun, except those with a due time.
    pub waiting: BTreeMap<String, u64>,
    /// Number of runs placed on workers.
    pub runs: usize,
    /// Number of these runs whose jobs have ended and that are not being stopped.
    pub orphaned_runs: usize,
    /// Number of workers that accept new runs.
    pub usable: usize,
    /// Number of jobs without due times whose tasks are not in memory yet, since they have many.
    pub deferred: usize,
    /// Number of steps with a reservation in the last placement pass.
    pub reservations: usize,
}

impl Planner {
    /// Creates a planner that takes over ownership at `now`.
    ///
    /// An owner extends leases for at most `solo` after the store has last confirmed its ownership,
    /// of which [`Event::Confirmed`] tells, and so the former one for at most `solo` after the
    /// takeover. A worker that cannot be reached is assumed to run what the store says until such a
    /// lease has expired.
    pub fn new(settings: Settings, now: Time, solo: Duration) -> Planner {
        let inherited_end = now + solo + settings.lease + settings.lease / 40;
        Planner {
            settings,
            policy: Arc::default(),
            workers: BTreeMap::new(),
            services: BTreeSet::new(),
            ignored_entries: BTreeMap::new(),
            jobs: BTreeMap::new(),
            runs: BTreeMap::new(),
            stopping: BTreeSet::new(),
            reserving: BTreeSet::new(),
            dirty: BTreeSet::new(),
            live: BTreeSet::new(),
            tombstones: BTreeSet::new(),
            ended: VecDeque::new(),
            removed: VecDeque::new(),
            needs_isolation: false,
            urgent_peaks: UrgentUse::default(),
            suspects: BTreeSet::new(),
            unsettled: BTreeSet::new(),
            silent_workers: BTreeMap::new(),
            replan: false,
            replan_at: Time::NEVER,
            restored: false,
            commit: None,
            commit_after: Time::ZERO,
            revision: 0,
            raises: BTreeSet::new(),
            late_starts_until: now + solo + DELAYED_START_TIME,
            renew_at: Time::NEVER,
            out: Vec::new(),
            advisor: Advisor::default(),
            inherited_end,
            solo,
            extend_until: Time::ZERO,
            reservations: Reservations::default(),
            views: Views::default(),
            evacuated: BTreeSet::new(),
            moves_after: Time::ZERO,
            whole_gangs: false,
        }
    }

    /// Applies one event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Time, wall: Stamp, event: Event) -> Vec<Action> {
        self.apply(now, event);
        self.decide(now, wall)
    }

    /// Returns the actions to carry out, in order, after the events applied so far.
    ///
    /// Events that arrive together can be applied one by one and share a single decision.
    pub fn decide(&mut self, now: Time, wall: Stamp) -> Vec<Action> {
        if self.restored {
            self.open_occurrences(now, wall);
            self.check_workers(now);
            self.expire_losses(now);
            if self.replan || self.replan_at <= now {
                self.replan = false;
                self.replan_at = Time::NEVER;
                self.place(now);
            }
            self.move_lasting(now);
            self.send_held_starts(now);
            self.send_stops(now);
            self.send_probes(now);
            self.remove_expired_jobs(now);
            self.mark_ends_stored();
            self.send_renewals(now);
            self.start_commit(now);
        }
        std::mem::take(&mut self.out)
    }

    /// Whether leases are extended, or only kept until the store confirms the ownership again.
    pub fn extends_leases(&self, now: Time) -> bool {
        now <= self.extend_until
    }

    /// Latest time of the next decision if no event arrives before.
    pub fn next_wakeup(&self) -> Time {
        let commit = self.commit.is_none() && self.has_transaction();
        let commit_at = if commit { self.commit_after } else { Time::NEVER };
        self.replan_at.min(commit_at).min(self.renew_at)
    }

    /// Returns counters for metrics and logs.
    pub fn summary(&self, now: Time) -> Summary {
        let mut waiting: BTreeMap<String, u64> =
            self.policy.queues.keys().map(|name| (name.clone(), 0)).collect();
        let mut deferred = 0;
        for job in self.live.iter().filter_map(|id| self.jobs.get(id)) {
            let undated = !job.state.ended() && job.spec.first.is_none();
            deferred += usize::from(undated && job.occurrences.is_empty());
            if !job.begun && !job.cancelled && job.spec.first.is_none() {
                *waiting.entry(job.queue.clone()).or_default() += 1;
            }
        }
        Summary {
            live: self.live.len(),
            waiting,
            runs: self.placed_runs(),
            orphaned_runs: self.ended_runs().filter(|run| run.stopping.is_none()).count(),
            usable: self.workers.values().filter(|worker| worker.usable(now)).count(),
            deferred,
            reservations: self.reservations.count(),
        }
    }

    /// Number of runs placed on workers.
    fn placed_runs(&self) -> usize {
        self.runs.values().map(BTreeSet::len).sum()
    }

    /// Runs whose jobs have ended.
    fn ended_runs(&self) -> impl Iterator<Item = &Run> {
        let jobs = self.live.iter().filter_map(|id| Some((id, self.jobs.get(id)?)));
        let ended = jobs.filter(|(_, job)| job.state.ended());
        ended.flat_map(|(id, job)| job_runs(id, job).map(|(_, run)| run))
    }

    /// Applies one event to the state; [`Planner::decide`] acts on it.
    pub fn apply(&mut self, now: Time, event: Event) {
        match event {
            Event::Configured(policy) => {
                self.services.extend(policy.service_names().map(str::to_owned));
                self.policy = policy;
                self.replan = true;
            }
            Event::Listed(workers) => self.listed(now, workers),
            Event::Accepted(id, submission) => self.accepted(now, id, &submission),
            Event::Restored(id, submission, record) => {
                self.restored(now, id, &submission, record.as_ref());
            }
            Event::RestoreComplete => {
                self.restored = true;
                self.replan = true;
                self.note_adopted();
            }
            Event::Cancelled(id) => self.cancelled(now, &id),
            Event::Confirmed(at) => {
                self.extend_until = self.extend_until.max(at + self.solo);
            }
            Event::Viewed(view, at) => self.views.confirm(view, at),
            Event::Evacuated(zones) => self.set_evacuated(now, zones),
            Event::Renewed(worker, report) => self.renewal_answered(now, &worker, &report),
            Event::RenewalFailed(worker) => self.renewal_failed(now, &worker),
            Event::Stored(revision) => self.transaction_stored(revision),
            Event::Deposed => self.out.push(Action::Resign),
            Event::Fenced(worker, token) => self.fenced(&worker, token),
            Event::Replaced(worker) => self.misdirected(now, &worker),
            Event::Started(worker, task, run, result) => {
                if result == StartResult::Unknown {
                    self.note_doubtful_start(now, &worker);
                }
                if result != StartResult::NotSent {
                    self.record_answer(&worker, &task, run, result != StartResult::Unknown);
                }
                self.start_answered(now, &worker, &task, run, result);
            }
            Event::Stopped(worker, task, run, answered) => {
                self.record_answer(&worker, &task, run, answered);
                self.stop_answered(now, &worker, &task, run, answered);
            }
            Event::Advised(advice) => self.advised(now, advice.as_ref()),
            Event::Committed => self.committed(now),
            Event::Tick => {}
        }
    }

    /// Updates the workers from the directory, and drops idle ones that it no longer lists.
    fn listed(&mut self, now: Time, infos: Vec<WorkerInfo>) {
        let mut unseen: BTreeSet<WorkerId> = self.workers.keys().cloned().collect();
        for info in self.named_workers(infos) {
            unseen.remove(&info.id);
            let busy = self.runs.get(&info.id).is_some_and(|keys| !keys.is_empty());
            let worker = self.workers.entry(info.id.clone()).or_insert_with(|| {
                self.replan = true;
                Worker::new(Arc::new(info.clone()), self.inherited_end, self.revision)
            });
            if worker.outdates(&info) {
                continue;
            }
            worker.addresses.list(info.address, busy && worker.in_contact());
            let drain_end = info.drain_left.map(|left| now + left);
            worker.drain_end = match (worker.drain_end, drain_end) {
                (Some(known), Some(listed)) => Some(known.min(listed)),
                (_, listed) => listed,
            };
            worker.cold_until = info.cold_left.map_or(Time::ZERO, |left| now + left);
            if !worker.listed {
                worker.listed = true;
                self.replan = true;
            }
            if *worker.info != info {
                worker.info = Arc::new(info);
            }
        }
        for id in unseen {
            let idle = self.runs.get(&id).is_none_or(BTreeSet::is_empty);
            let inherited = now < self.late_starts_until;
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.listed = false;
                let silent = self.silent_workers.contains_key(&id);
                let threatened = inherited || worker.fence.is_doubtful(now);
                if idle && !worker.renewing && !silent && !threatened {
                    self.workers.remove(&id);
                }
            }
        }
        for id in self.taken_addresses() {
            self.settle_losses(now, &id, u64::MAX);
        }
        self.mark_evacuated(now);
    }

    /// Entries that name a worker to use; the others are logged.
    fn named_workers(&mut self, infos: Vec<WorkerInfo>) -> Vec<WorkerInfo> {
        // Without a configuration it is not known which services there are.
        let is_named =
            |info: &WorkerInfo| self.services.is_empty() || self.services.contains(&info.service);
        let (named, ignored): (Vec<_>, Vec<_>) = infos.into_iter().partition(is_named);
        let before = std::mem::take(&mut self.ignored_entries);
        for WorkerInfo { id, service, .. } in ignored {
            if before.get(&id) != Some(&service) {
                let (worker, service) = (id.clone(), service.clone());
                self.out.push(Action::Note(Note::IgnoresEntry { worker, service }));
            }
            self.ignored_entries.insert(id, service);
        }
        named
    }

    fn accepted(&mut self, now: Time, id: JobId, submission: &Submission) {
        if submission.is_tombstone() {
            self.keep_tombstone(now, id);
            return;
        }
        if self.jobs.contains_key(&id) || self.removed.iter().any(|(_, known)| *known == id) {
            return;
        }
        self.note_isolation(submission);
        self.note_service(submission);
        self.jobs.insert(id.clone(), Job::new(submission, now));
        self.live.insert(id.clone());
        self.replan = true;
        if submission.cancelled {
            self.cancelled(now, &id);
        }
    }

    /// Keeps a tombstone for the retention time.
    fn keep_tombstone(&mut self, now: Time, id: JobId) {
        if self.tombstones.insert(id.clone()) {
            self.ended.push_back((now, id));
        }
    }

    fn note_isolation(&mut self, submission: &Submission) {
        let mut steps = submission.spec.steps.iter();
        self.needs_isolation |= steps.any(|step| step.fills || step.target_ms > 0);
    }

    /// Remembers the service of a job, whose queue later configurations may lack.
    fn note_service(&mut self, submission: &Submission) {
        if let Some(queue) = &submission.admitted {
            self.services.insert(queue.service.clone());
        }
    }

    /// Adds a stored job at a takeover, with the runs that its record names.
    fn restored(&mut self, now: Time, id: JobId, submission: &Submission, record: Option<&Record>) {
        if submission.is_tombstone() {
            self.keep_tombstone(now, id);
            return;
        }
        self.note_isolation(submission);
        self.note_service(submission);
        let mut job = Job::new(submission, now);
        if let Some(record) = record {
            job.restore(record, now);
        }
        for (key, run) in job_runs(&id, &job) {
            let occurrence = &job.occurrences[key.occurrence as usize];
            debug_assert!(occurrence.len() > key.step as usize);
            let need = job.spec.steps[key.step as usize].need;
            let (inherited_end, token) = (self.inherited_end, self.revision);
            let worker = self.workers.entry(run.worker.clone()).or_insert_with(|| {
                // The directory no longer lists the worker, but its leases may not have expired.
                let info = Arc::new(unlisted(&run.worker));
                let mut worker = Worker::new(info, inherited_end, token);
                worker.listed = false;
                worker
            });
            worker.used.add(&need);
            if run.incarnation != 0 && run.incarnation < worker.incarnation {
                // It has restarted, and this owner learns of that only now.
                worker.note_silence(now);
            }
            self.runs.entry(run.worker.clone()).or_default().insert(key);
        }
        let ended = job.state.ended() && !job.has_runs();
        job.end_stored = ended;
        self.jobs.insert(id.clone(), job);
        if ended {
            self.ended.push_back((now, id));
        } else {
            self.live.insert(id.clone());
            self.restore_losses(&id);
            self.stop_obsolete_runs(now, &id);
            if submission.cancelled {
                self.cancelled(now, &id);
            }
        }
        self.replan = true;
    }

    /// Stops the restored runs of a job that have no purpose: all once the job has ended, those of
    /// tasks that have completed, and those of gangs that have lost a member.
    ///
    /// Decisions to stop a run are not stored, and the stops of a former owner may not have reached
    /// the workers.
    fn stop_obsolete_runs(&mut self, now: Time, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let (ended, spec) = (job.state.ended(), Arc::clone(&job.spec));
        for steps in &mut job.occurrences {
            for (step, step_spec) in steps.iter_mut().zip(&spec.steps) {
                let lost = |task: &Task| !task.done && task.stage == Stage::Idle;
                let broken = step_spec.gang && step.tasks.iter().any(lost);
                for task in &mut step.tasks {
                    if let Stage::Placed(run) = &mut task.stage
                        && (ended || broken || task.done)
                    {
                        run.stopping.get_or_insert(now);
                    }
                }
            }
        }
        let stopping = job_runs(id, job).filter(|(_, run)| run.stopping.is_some());
        self.stopping.extend(stopping.map(|(key, _)| key));
    }

    fn note_adopted(&mut self) {
        let (jobs, runs) = (self.live.len(), self.placed_runs());
        let (ended_runs, stopping) = (self.ended_runs().count(), self.stopping.len());
        self.out.push(Action::Note(Note::Adopts { jobs, runs, ended_runs, stopping }));
    }

    fn cancelled(&mut self, now: Time, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.state.ended() {
            return;
        }
        job.cancelled = true;
        self.end_job(now, id, JobState::Cancelled);
    }

    /// Ends a job and stops its remaining runs.
    pub(crate) fn end_job(&mut self, now: Time, id: &JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.state = state;
        let age = millis(now.since(job.since));
        self.out.push(Action::Note(Note::Ends { job: id.clone(), state, age }));
        for task in job.occurrences.iter_mut().flatten().flat_map(|step| &mut step.tasks) {
            match &mut task.stage {
                Stage::Placed(run) => {
                    run.stopping.get_or_insert(now);
                }
                Stage::Reserved(_) => task.stage = Stage::Idle,
                Stage::Idle => {}
            }
        }
        self.stopping.extend(job_runs(id, job).map(|(key, _)| key));
        self.dirty.insert(id.clone());
        if !job.has_runs() {
            self.live.remove(id);
        }
        self.replan = true;
    }

    /// Marks the run of `key` to be stopped, together with the rest of its gang.
    pub(crate) fn stop_run(&mut self, now: Time, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let gang = job.spec.steps[key.step as usize].gang;
        let step = &mut job.occurrences[key.occurrence as usize][key.step as usize];
        for (index, task) in (0u32..).zip(&mut step.tasks) {
            if !gang && index != key.index {
                continue;
            }
            match &mut task.stage {
                Stage::Placed(run) => {
                    run.stopping.get_or_insert(now);
                    self.stopping.insert(TaskKey { index, ..key.clone() });
                }
                Stage::Reserved(_) if gang => task.stage = Stage::Idle,
                _ => {}
            }
        }
    }

    /// Removes ended jobs and tombstones whose retention time is over.
    fn remove_expired_jobs(&mut self, now: Time) {
        while self.removed.front().is_some_and(|(at, _)| now.since(*at) > REMOVED_ID_TIME) {
            self.removed.pop_front();
        }
        while let Some((at, id)) = self.ended.front() {
            if now.since(*at) < self.settings.retention {
                return;
            }
            // A dirty job that is not in `jobs` is removed from the store by the next commit.
            self.jobs.remove(id);
            self.dirty.insert(id.clone());
            let id = id.clone();
            self.ended.pop_front();
            if !self.tombstones.remove(&id) {
                self.removed.push_back((now, id));
            }
        }
    }

    /// Marks ends that change no record as stored once all earlier changes are stored.
    fn mark_ends_stored(&mut self) {
        if self.commit.is_none() && self.dirty.is_empty() {
            for worker in self.workers.values_mut() {
                worker.stored_end = worker.heard_end;
            }
        }
    }

    /// Whether there are changes to store, or a fencing token waits for a transaction.
    fn has_transaction(&self) -> bool {
        !self.dirty.is_empty() || !self.raises.is_empty()
    }

    /// Starts a commit of all changed jobs, unless one is in flight or the pause is not over.
    fn start_commit(&mut self, now: Time) {
        if self.commit.is_some() || !self.has_transaction() || now < self.commit_after {
            return;
        }
        let dirty = std::mem::take(&mut self.dirty);
        let mut records = Vec::with_capacity(dirty.len());
        let mut starts = Vec::new();
        for id in dirty {
            let Some(job) = self.jobs.get(&id) else {
                records.push((id, None));
                continue;
            };
            for (key, run) in job_runs(&id, job) {
                if !run.stored {
                    let number = self.run_number(&key);
                    starts.push((key, number));
                }
            }
            records.push((id.clone(), Some(job.record())));
        }
        let ends = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.heard_end > worker.stored_end)
            .map(|(id, worker)| (id.clone(), worker.incarnation, worker.heard_end))
            .collect();
        let jobs = records.iter().map(|(id, _)| id.clone()).collect();
        self.commit = Some(Commit { starts, ends, jobs });
        self.out.push(Action::Commit(records));
    }

    /// Processes the answer to a commit: acknowledges ends and sends starts that waited for it.
    fn committed(&mut self, now: Time) {
        let Some(commit) = self.commit.take() else { return };
        self.commit_after = now + COMMIT_PAUSE;
        for (id, incarnation, heard) in commit.ends {
            if let Some(worker) = self.workers.get_mut(&id)
                && worker.incarnation == incarnation
            {
                worker.stored_end = worker.stored_end.max(heard);
            }
        }
        for (key, number) in commit.starts {
            self.start(now, &key, number);
        }
        // The retention time of an ended job starts once its end is stored and it has no runs.
        for id in &commit.jobs {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            if job.state.ended() && !job.has_runs() {
                self.live.remove(id);
                job.occurrences = Vec::new();
                if !std::mem::replace(&mut job.end_stored, true) {
                    self.ended.push_back((now, id.clone()));
                }
            }
        }
    }

    /// Sends a start for a run that has been stored.
    pub(crate) fn start(&mut self, now: Time, key: &TaskKey, number: u32) {
        let Some(send_by) = self.clear_to_start(now, key, number) else { return };
        let lease = self.settings.lease / START_LEASE_DIVISOR;
        let extend_from = now.min(self.extend_until);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let spec = Arc::clone(&job.spec);
        let Some(task) = task_mut(job, key) else { return };
        let saved = task.saved.clone();
        let Stage::Placed(run) = &mut task.stage else { return };
        let Some(worker) = self.workers.get_mut(&run.worker) else { return };
        let Some(deadline) = worker.lease_deadline(extend_from, lease) else { return };
        let (id, incarnation) = (run.worker.clone(), worker.incarnation);
        let (address, token) = (worker.addresses.current, worker.fence.token);
        worker.deadline = worker.deadline.max(deadline);
        run.deadline = run.deadline.max(deadline);
        run.first_sent.get_or_insert(now);
        run.start_sent = Some(now);
        let ticket = step_mut(job, key).ticket(&id, incarnation, now).map(str::to_owned);
        self.out.push(Action::Start {
            worker: id,
            address,
            task: key.clone(),
            run: number,
            spec,
            deadline,
            saved,
            ticket,
            token,
            send_by,
        });
    }

    pub(crate) fn step_spec(&self, key: &TaskKey) -> Option<&StepSpec> {
        self.jobs.get(&key.job)?.spec.steps.get(key.step as usize)
    }

    pub(crate) fn task(&self, key: &TaskKey) -> Option<&Task> {
        self.jobs.get(&key.job)?.task(key)
    }

    pub(crate) fn renewal_failed(&mut self, now: Time, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.renewing = false;
        worker.addresses.fail();
        worker.note_silence(now);
        worker.missed_calls += 1;
        if worker.missed_calls >= MAX_MISSED_CALLS {
            worker.reachable = false;
        }
        if worker.missed_calls == 1 && worker.has_answered() {
            self.raise_token(id);
        }
    }
}

/// Returns the task of `key`, if it exists.
pub(crate) fn task_mut<'j>(job: &'j mut Job, key: &TaskKey) -> Option<&'j mut Task> {
    let step = job.occurrences.get_mut(key.occurrence as usize)?.get_mut(key.step as usize)?;
    step.tasks.get_mut(key.index as usize)
}

/// Returns the step of `key`.
///
/// # Panics
///
/// Panics if the step does not exist.
pub(crate) fn step_mut<'j>(job: &'j mut Job, key: &TaskKey) -> &'j mut Step {
    &mut job.occurrences[key.occurrence as usize][key.step as usize]
}

/// Returns the stage of the task of `key`.
///
/// # Panics
///
/// Panics if the task does not exist.
pub(crate) fn stage_mut<'j>(job: &'j mut Job, key: &TaskKey) -> &'j mut Stage {
    &mut job.occurrences[key.occurrence as usize][key.step as usize].tasks[key.index as usize].stage
}

/// Iterates over the runs of a job with their tasks.
pub(crate) fn job_runs<'j>(
    id: &'j JobId,
    job: &'j Job,
) -> impl Iterator<Item = (TaskKey, &'j Run)> {
    job.occurrences.iter().enumerate().flat_map(move |(occurrence, steps)| {
        steps.iter().enumerate().flat_map(move |(step, tasks)| {
            tasks.tasks.iter().enumerate().filter_map(move |(index, task)| {
                let Stage::Placed(run) = &task.stage else { return None };
                let (occurrence, step, index) = (occurrence as u32, step as u32, index as u32);
                Some((TaskKey { job: id.clone(), occurrence, step, index }, run))
            })
        })
    })
}

/// Placeholder for a worker that is known only from the store; port 0 means that it has no address.
fn unlisted(id: &WorkerId) -> WorkerInfo {
    WorkerInfo {
        id: id.clone(),
        service: String::new(),
        address: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
        zone: String::new(),
        rack: String::new(),
        labels: Vec::new(),
        capacity: crate::spec::Need::default(),
        incarnation: None,
        drain_left: None,
        cold_left: None,
    }
}
