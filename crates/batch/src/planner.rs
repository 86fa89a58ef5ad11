//! The state of a planner, and the way through one event.

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
use crate::job::Job;
use crate::job::JobState;
use crate::job::Run;
use crate::job::Stage;
use crate::job::Step;
use crate::job::Task;
use crate::record::Record;
use crate::spec::JobId;
use crate::spec::StepSpec;
use crate::spec::Submission;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Stamp;
use model::Time;

/// Time within which a read of the store that began before a removal has ended.
const REMOVED_ID_TIME: Duration = Duration::from_secs(30);
/// Calls in a row without an answer after which a worker gets no new runs.
pub(crate) const MAX_MISSED_CALLS: u32 = 2;
/// Pause after a commit before the next: the changes that come meanwhile share one.
const COMMIT_PAUSE: Duration = Duration::from_millis(15);
/// Share of the longest lease that a start carries, so that a start that is carried out late
/// is refused soon; renewals carry the whole lease.
const START_LEASE_DIVISOR: u32 = 2;
/// Time before a leaving worker goes at which its tasks are stopped, beside the time to stop.
const DRAIN_MARGIN: Duration = Duration::from_millis(300);

/// Decides for the jobs of one owner.
#[derive(Debug)]
pub struct Planner {
    pub(crate) settings: Settings,
    pub(crate) policy: Arc<Policy>,
    pub(crate) workers: Workers,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Runs by worker.
    pub(crate) runs: BTreeMap<WorkerId, BTreeSet<TaskKey>>,
    /// Runs that are to be stopped.
    pub(crate) stopping: BTreeSet<TaskKey>,
    /// Jobs for which room may be reserved.
    pub(crate) reserving: BTreeSet<JobId>,
    /// Jobs whose record in the store is behind.
    pub(crate) dirty: BTreeSet<JobId>,
    /// Jobs that are not at their end.
    pub(crate) live: BTreeSet<JobId>,
    /// Jobs that have ended, in the order in which that was stored.
    ended: VecDeque<(Time, JobId)>,
    /// Jobs that were removed lately: a slow read of the store may still name them.
    removed: VecDeque<(Time, JobId)>,
    /// Whether there has been a job with tasks that fill or that have a target, which are to be
    /// kept apart.
    pub(crate) needs_isolation: bool,
    /// Whether places have to be looked for.
    pub(crate) replan: bool,
    /// When places are looked for at the latest.
    pub(crate) replan_at: Time,
    /// Whether the stored jobs are complete.
    restored: bool,
    commit: Option<Commit>,
    /// No commit before this.
    commit_after: Time,
    pub(crate) out: Vec<Action>,
    pub(crate) advisor: Advisor,
    /// Before this a worker that never answered may hold runs of former owners.
    inherited_end: Time,
}

/// A commit on its way.
#[derive(Debug)]
struct Commit {
    /// Runs that may be started once it is stored.
    starts: Vec<(TaskKey, u32)>,
    /// Ends that workers may forget once it is stored.
    ends: Vec<(WorkerId, u64, u64)>,
    /// Jobs whose records it stores.
    jobs: Vec<JobId>,
}

/// Counts for metrics and logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Jobs that have not ended.
    pub live: usize,
    /// Jobs of each queue that were accepted and have not begun.
    pub waiting: BTreeMap<String, u64>,
    /// Runs on workers.
    pub runs: usize,
    /// Workers that take new runs.
    pub usable: usize,
}

impl Planner {
    /// A planner that takes over at `now`.
    ///
    /// A worker that cannot be reached is held to run what the store says until a lease of a
    /// former owner, sent up to `quiet` after the takeover, has run out.
    pub fn new(settings: Settings, now: Time, quiet: Duration) -> Planner {
        let inherited_end = now + quiet + settings.lease + settings.lease / 40;
        Planner {
            settings,
            policy: Arc::default(),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            runs: BTreeMap::new(),
            stopping: BTreeSet::new(),
            reserving: BTreeSet::new(),
            dirty: BTreeSet::new(),
            live: BTreeSet::new(),
            ended: VecDeque::new(),
            removed: VecDeque::new(),
            needs_isolation: false,
            replan: false,
            replan_at: Time::NEVER,
            restored: false,
            commit: None,
            commit_after: Time::ZERO,
            out: Vec::new(),
            advisor: Advisor::default(),
            inherited_end,
        }
    }

    /// Takes in one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Time, wall: Stamp, event: Event) -> Vec<Action> {
        self.apply(now, event);
        self.decide(now, wall)
    }

    /// Returns what is to be done, in order, after the events that were told.
    ///
    /// Several events that came together cost one decision.
    pub fn decide(&mut self, now: Time, wall: Stamp) -> Vec<Action> {
        if self.restored {
            self.open_occurrences(now, wall);
            self.check_workers(now);
            if self.replan || self.replan_at <= now {
                self.replan = false;
                self.replan_at = Time::NEVER;
                self.place(now);
            }
            self.send_stops(now);
            self.send_probes(now);
            self.remove_expired_jobs(now);
            self.mark_ends_stored();
            self.send_renewals(now);
            self.start_commit(now);
        }
        std::mem::take(&mut self.out)
    }

    /// When a decision is due at the latest, if nothing else happens.
    pub fn next_wakeup(&self) -> Time {
        let commit = self.commit.is_none() && !self.dirty.is_empty();
        self.replan_at.min(if commit { self.commit_after } else { Time::NEVER })
    }

    /// Counts for metrics and logs.
    pub fn summary(&self, now: Time) -> Summary {
        let mut waiting: BTreeMap<String, u64> =
            self.policy.queues.keys().map(|name| (name.clone(), 0)).collect();
        for job in self.live.iter().filter_map(|id| self.jobs.get(id)) {
            if !job.begun && !job.cancelled && job.spec.first.is_none() {
                *waiting.entry(job.queue.clone()).or_default() += 1;
            }
        }
        Summary {
            live: self.live.len(),
            waiting,
            runs: self.runs.values().map(BTreeSet::len).sum(),
            usable: self.workers.values().filter(|worker| worker.usable(now)).count(),
        }
    }

    /// Takes in one event; [`Planner::decide`] acts on it.
    pub fn apply(&mut self, now: Time, event: Event) {
        match event {
            Event::Configured(policy) => {
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
            }
            Event::Cancelled(id) => self.cancelled(now, &id),
            Event::Renewed(worker, report) => self.renewal_answered(now, &worker, &report),
            Event::RenewalFailed(worker) => self.renewal_failed(&worker),
            Event::Deposed => self.out.push(Action::Resign),
            Event::Replaced(worker) => self.replaced(now, &worker),
            Event::Started(worker, task, run, result) => {
                self.record_answer(&worker, &task, run, result != StartResult::Unknown);
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

    fn listed(&mut self, now: Time, infos: Vec<WorkerInfo>) {
        let mut unseen: BTreeSet<WorkerId> = self.workers.keys().cloned().collect();
        for info in infos {
            unseen.remove(&info.id);
            let worker = self.workers.entry(info.id.clone()).or_insert_with(|| {
                self.replan = true;
                Worker::new(Arc::new(info.clone()), self.inherited_end)
            });
            let drain_end = info.drain_left.map(|left| now + left);
            worker.drain_end = match (worker.drain_end, drain_end) {
                (Some(known), Some(listed)) => Some(known.min(listed)),
                (_, listed) => listed,
            };
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
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.listed = false;
                if idle && !worker.renewing {
                    self.workers.remove(&id);
                }
            }
        }
    }

    fn accepted(&mut self, now: Time, id: JobId, submission: &Submission) {
        if self.jobs.contains_key(&id) || self.removed.iter().any(|(_, known)| *known == id) {
            return;
        }
        self.note_isolation(submission);
        self.jobs.insert(id.clone(), Job::new(submission, now));
        self.live.insert(id.clone());
        self.replan = true;
        if submission.cancelled {
            self.cancelled(now, &id);
        }
    }

    fn note_isolation(&mut self, submission: &Submission) {
        let mut steps = submission.spec.steps.iter();
        self.needs_isolation |= steps.any(|step| step.fills || step.target_ms > 0);
    }

    fn restored(&mut self, now: Time, id: JobId, submission: &Submission, record: Option<&Record>) {
        self.note_isolation(submission);
        let mut job = Job::new(submission, now);
        if let Some(record) = record {
            job.restore(record, now);
        }
        for (key, run) in job_runs(&id, &job) {
            let occurrence = &job.occurrences[key.occurrence as usize];
            debug_assert!(occurrence.len() > key.step as usize);
            let need = job.spec.steps[key.step as usize].need;
            let inherited_end = self.inherited_end;
            let worker = self.workers.entry(run.worker.clone()).or_insert_with(|| {
                // The directory does not list it any more; its lease may still run.
                let mut worker = Worker::new(Arc::new(unlisted(&run.worker)), inherited_end);
                worker.listed = false;
                worker
            });
            worker.used.add(&need);
            self.runs.entry(run.worker.clone()).or_default().insert(key);
        }
        let ended = job.state.ended() && !job.has_runs();
        job.end_stored = ended;
        self.jobs.insert(id.clone(), job);
        if ended {
            self.ended.push_back((now, id));
        } else {
            self.live.insert(id.clone());
            if submission.cancelled {
                self.cancelled(now, &id);
            }
        }
        self.replan = true;
    }

    fn cancelled(&mut self, now: Time, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.state.ended() {
            return;
        }
        job.cancelled = true;
        self.end_job(now, id, JobState::Cancelled);
    }

    /// Shows a job as ended and stops what still runs of it.
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

    fn open_occurrences(&mut self, now: Time, wall: Stamp) {
        for id in &self.live {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            if job.state.ended() {
                continue;
            }
            while (job.occurrences.len() as u32) < job.spec.occurrences() {
                let occurrence = job.occurrences.len() as u32;
                if job.spec.due(occurrence).is_some_and(|due| due > wall) {
                    break;
                }
                job.open_occurrence();
                if job.spec.first.is_some() {
                    job.since = now;
                }
                self.replan = true;
            }
        }
    }

    /// Gives up runs whose leases have run out, and empties workers that leave.
    fn check_workers(&mut self, now: Time) {
        let mut expired = Vec::new();
        let mut draining = Vec::new();
        let stop = self.settings.stop;
        for (id, keys) in self.runs.iter().filter(|(_, keys)| !keys.is_empty()) {
            let Some(worker) = self.workers.get(id) else { continue };
            if !worker.reachable && worker.leases_end() <= now {
                expired.extend(keys.iter().cloned());
            } else if worker.drain_end.is_some_and(|at| at <= now + stop + DRAIN_MARGIN) {
                draining.extend(keys.iter().cloned());
            }
        }
        for key in expired {
            self.give_up(now, &key, "all leases that were sent have run out");
        }
        for key in draining {
            self.stop_run(now, &key);
        }
    }

    /// Asks for the run of `key` to be stopped, and with it those of its gang.
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

    /// Removes jobs whose states have been kept for long enough.
    fn remove_expired_jobs(&mut self, now: Time) {
        while self.removed.front().is_some_and(|(at, _)| now.since(*at) > REMOVED_ID_TIME) {
            self.removed.pop_front();
        }
        while let Some((at, id)) = self.ended.front() {
            if now.since(*at) < self.settings.retention {
                return;
            }
            // The next commit removes what is no longer known here.
            self.jobs.remove(id);
            self.dirty.insert(id.clone());
            let id = id.clone();
            self.ended.pop_front();
            self.removed.push_back((now, id));
        }
    }

    /// Ends that change no record may be forgotten as soon as all earlier ones are stored.
    fn mark_ends_stored(&mut self) {
        if self.commit.is_none() && self.dirty.is_empty() {
            for worker in self.workers.values_mut() {
                worker.stored_end = worker.heard_end;
            }
        }
    }

    fn start_commit(&mut self, now: Time) {
        if self.commit.is_some() || self.dirty.is_empty() || now < self.commit_after {
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
        // An ended job's record shrinks once nothing of it runs; jobs that ended are let go.
        for id in &commit.jobs {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            if job.state.ended() && !job.has_runs() {
                self.live.remove(id);
                if !std::mem::replace(&mut job.end_stored, true) {
                    self.ended.push_back((now, id.clone()));
                }
            }
        }
    }

    /// Sends a start for a run that the store holds.
    pub(crate) fn start(&mut self, now: Time, key: &TaskKey, number: u32) {
        let lease = self.settings.lease / START_LEASE_DIVISOR;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let spec = Arc::clone(&job.spec);
        let Some(task) = task_mut(job, key) else { return };
        if task.run != number {
            return;
        }
        let saved = task.saved.clone();
        let Stage::Placed(run) = &mut task.stage else { return };
        run.stored = true;
        if run.stopping.is_some() {
            return;
        }
        let Some(worker) = self.workers.get_mut(&run.worker) else { return };
        let Some(deadline) = worker.renewed_deadline(now, lease) else { return };
        let (id, incarnation) = (run.worker.clone(), worker.incarnation);
        worker.deadline = worker.deadline.max(deadline);
        run.deadline = run.deadline.max(deadline);
        run.start_sent = Some(now);
        let ticket = step_mut(job, key).ticket(&id, incarnation, now).map(str::to_owned);
        self.out.push(Action::Start {
            worker: id,
            task: key.clone(),
            run: number,
            spec,
            deadline,
            saved,
            ticket,
        });
    }

    pub(crate) fn step_spec(&self, key: &TaskKey) -> Option<&StepSpec> {
        self.jobs.get(&key.job)?.spec.steps.get(key.step as usize)
    }

    pub(crate) fn task(&self, key: &TaskKey) -> Option<&Task> {
        let job = self.jobs.get(&key.job)?;
        job.occurrences
            .get(key.occurrence as usize)?
            .get(key.step as usize)?
            .tasks
            .get(key.index as usize)
    }

    fn renewal_failed(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.renewing = false;
        worker.missed_calls += 1;
        if worker.missed_calls >= MAX_MISSED_CALLS {
            worker.reachable = false;
        }
    }
}

/// The task of `key`.
pub(crate) fn task_mut<'j>(job: &'j mut Job, key: &TaskKey) -> Option<&'j mut Task> {
    let step = job.occurrences.get_mut(key.occurrence as usize)?.get_mut(key.step as usize)?;
    step.tasks.get_mut(key.index as usize)
}

/// The step of `key`, which exists.
pub(crate) fn step_mut<'j>(job: &'j mut Job, key: &TaskKey) -> &'j mut Step {
    &mut job.occurrences[key.occurrence as usize][key.step as usize]
}

pub(crate) fn stage<'j>(job: &'j mut Job, key: &TaskKey) -> &'j mut Stage {
    &mut job.occurrences[key.occurrence as usize][key.step as usize].tasks[key.index as usize].stage
}

/// The runs of a job.
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
    }
}
