//! Processing of workers' answers: starts, stops, renewals and ends of runs.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Planner;
use crate::action::Action;
use crate::action::Note;
use crate::directory::millis;
use crate::event::End;
use crate::event::Outcome;
use crate::event::Refusal;
use crate::event::RenewalReport;
use crate::event::StartResult;
use crate::job::JobState;
use crate::job::Stage;
use crate::planner::step_mut;
use crate::planner::task_mut;
use crate::spec::JobId;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Time;

/// Number of unanswered starts of a run after which it is stopped instead of started again.
const MAX_START_ATTEMPTS: u32 = 4;
/// Number of failures in a row on one worker, over different jobs, that triggers a back-off.
const BACKOFF_FAILURES: u32 = 3;
/// Initial time for which a worker gets no new runs in a back-off.
const WORKER_BACKOFF: Duration = Duration::from_millis(1_500);
/// Maximum number of doublings of that time.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

impl Planner {
    /// Processes a worker's answer to a renewal: its clock, ends of runs and active runs.
    pub(crate) fn renewal_answered(&mut self, now: Time, id: &WorkerId, report: &RenewalReport) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.renewing = false;
        if report.incarnation < worker.incarnation {
            return;
        }
        if report.incarnation > worker.incarnation {
            worker.note_silence(now);
            // Before its first answer to this owner, its incarnation is not known.
            let known = worker.incarnation > 0;
            worker.start_incarnation(report.incarnation);
            if known {
                self.note_crash(id);
                self.raise_token(id);
            }
            self.stop_unconfirmed(now, id);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !worker.reachable || !worker.clock_known() {
            self.replan = true;
        }
        worker.reachable = true;
        worker.missed_calls = 0;
        worker.inherited_end = Time::ZERO;
        worker.clock = Some((now, report.clock));
        worker.clock_doubtful = false;
        worker.acked_end = worker.acked_end.max(worker.acking_end);
        worker.fence.answered = worker.fence.sent;
        worker.addresses.confirm();
        self.settle_losses(now, id, report.incarnation);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let ended: Vec<&End> =
            report.ended.iter().filter(|end| end.number > worker.heard_end).collect();
        worker.heard_end = ended.iter().map(|end| end.number).fold(worker.heard_end, u64::max);
        for end in ended {
            self.run_ended(now, id, end);
        }
        let mut foreign_runs = 0;
        for listed in &report.running {
            if self.record_progress(now, id, listed) {
                self.repeat_stop(&listed.task, report.sent);
                self.clear_losses(now, &listed.task);
                continue;
            }
            foreign_runs += 1;
            self.push_stop(id.clone(), listed.task.clone(), listed.run);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            if worker.foreign_runs > 0 && foreign_runs == 0 {
                self.replan = true;
            }
            worker.foreign_runs = foreign_runs;
        }
        self.judge_pace(now, id, report);
        self.give_up_missing(now, id, report);
        self.send_delayed_starts(now, id);
    }

    /// Sends starts that were delayed until the worker's clock is known.
    fn send_delayed_starts(&mut self, now: Time, id: &WorkerId) {
        let Some(keys) = self.runs.get(id) else { return };
        let unsent = |key: &&TaskKey| {
            let stage = self.task(key).map(|task| &task.stage);
            matches!(stage, Some(Stage::Placed(run))
                if run.stored && run.start_sent.is_none() && run.stopping.is_none())
        };
        let unsent: Vec<TaskKey> = keys.iter().filter(unsent).cloned().collect();
        for key in unsent {
            let number = self.task(&key).map_or(0, |task| task.run);
            self.start(now, &key, number);
        }
    }

    /// Records the reported progress of a run. Returns false if the run is not a current one.
    fn record_progress(
        &mut self,
        now: Time,
        id: &WorkerId,
        report: &crate::event::RunReport,
    ) -> bool {
        let begun = self.work_begun(&report.task);
        let incarnation = self.workers.get(id).map_or(0, |worker| worker.incarnation);
        let Some(job) = self.jobs.get_mut(&report.task.job) else { return false };
        let Some(task) = task_mut(job, &report.task) else { return false };
        if task.run != report.run {
            return false;
        }
        let Stage::Placed(run) = &mut task.stage else { return false };
        if run.worker != *id {
            return false;
        }
        run.incarnation = incarnation;
        run.confirmed.get_or_insert(now);
        run.pace.record(now, report.percent, begun);
        run.percent = run.percent.max(report.percent);
        if !report.saved.is_empty() {
            task.saved.clone_from(&report.saved);
        }
        true
    }

    /// Prepares another stop of a run that its worker lists in the answer to a renewal sent at
    /// `sent`, long after it has answered a stop: it may have restarted since, and then have
    /// carried out a start that was in flight.
    fn repeat_stop(&mut self, key: &TaskKey, sent: Time) {
        let stop = self.settings.stop;
        let task = self.jobs.get_mut(&key.job).and_then(|job| task_mut(job, key));
        let Some(Stage::Placed(run)) = task.map(|task| &mut task.stage) else { return };
        if run.stop_acked.is_some_and(|at| at + stop * 2 < sent) {
            run.stop_acked = None;
            run.stop_sent = None;
        }
    }

    /// Gives up runs that the worker provably does not have: it had confirmed the run or its stop
    /// before this renewal was sent and no longer reports it, or the last start's lease has expired
    /// on its clock.
    ///
    /// A truncated report proves nothing, since the run may be among the ends that it leaves out.
    fn give_up_missing(&mut self, now: Time, id: &WorkerId, report: &RenewalReport) {
        if report.truncated {
            return;
        }
        let Some(keys) = self.runs.get(id) else { return };
        let mut missing = Vec::new();
        for key in keys {
            let Some(task) = self.task(key) else { continue };
            let Stage::Placed(run) = &task.stage else { continue };
            if report.running.iter().any(|listed| listed.task == *key && listed.run == task.run) {
                continue;
            }
            let settled = match (run.confirmed, run.stop_acked) {
                (Some(confirmed), Some(acked)) => Some(confirmed.min(acked)),
                (confirmed, acked) => confirmed.or(acked),
            };
            let settled = settled.is_some_and(|at| at < report.sent);
            let expired =
                run.start_sent.is_some_and(|at| at < report.sent) && run.deadline < report.clock;
            if settled || expired {
                missing.push(key.clone());
            }
        }
        for key in missing {
            self.record_loss(now, &key, Some(report.incarnation));
            self.give_up(now, &key, "the worker does not have the run");
        }
    }

    /// Processes the reported end of a run.
    fn run_ended(&mut self, now: Time, id: &WorkerId, end: &End) {
        let key = &end.task;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let attempts = self.policy.queue(job).map_or(u32::MAX, |queue| queue.attempts) as usize;
        let Some(spec) = job.spec.steps.get(key.step as usize) else { return };
        let (gang, lasting) = (spec.gang, spec.lasting);
        let Some(task) = task_mut(job, key) else { return };
        let current =
            task.run == end.run && matches!(&task.stage, Stage::Placed(run) if run.worker == *id);
        if task.done && !current {
            return;
        }
        if end.outcome == Outcome::Done && !lasting {
            if current {
                self.learn_run_time(now, key);
            }
            self.complete_task(now, key, gang, current);
            return;
        }
        if current && !end.saved.is_empty() {
            task.saved.clone_from(&end.saved);
        }
        if end.outcome == Outcome::Broken {
            task.broken_run = task.broken_run.max(end.run);
        }
        // A failure also counts if the run was given up before its end was reported. Lasting tasks
        // have no limit of failures, and their records would grow with each one.
        let failed = end.outcome == Outcome::Failed
            && if lasting { current } else { task.failures.insert(end.run) };
        if failed {
            task.failed_on = Some(id.clone());
            step_mut(job, key).failed_at = now;
            self.dirty.insert(key.job.clone());
            self.record_failure(now, id, Some(&key.job));
        }
        if current {
            self.clear_run(now, key);
        }
        if failed && !lasting && self.failures(key) >= attempts {
            self.end_job(now, &key.job, JobState::Failed);
        }
    }

    /// Number of failed runs of a task, or of its gang.
    pub(crate) fn failures(&self, key: &TaskKey) -> usize {
        let Some(job) = self.jobs.get(&key.job) else { return 0 };
        let tasks = &job.occurrences[key.occurrence as usize][key.step as usize].tasks;
        if !job.spec.steps[key.step as usize].gang {
            return tasks[key.index as usize].failures.len();
        }
        let runs: BTreeSet<u32> = tasks.iter().flat_map(|task| &task.failures).copied().collect();
        runs.len()
    }

    /// Marks a task as done, together with its whole gang.
    fn complete_task(&mut self, now: Time, key: &TaskKey, gang: bool, current: bool) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(step) = job
            .occurrences
            .get_mut(key.occurrence as usize)
            .and_then(|occurrence| occurrence.get_mut(key.step as usize))
        else {
            return;
        };
        let mut freed = Vec::new();
        for (index, task) in step.tasks.iter_mut().enumerate() {
            if !(gang || index == key.index as usize) || task.done {
                if index == key.index as usize && current {
                    freed.push(TaskKey { index: index as u32, ..key.clone() });
                }
                continue;
            }
            task.done = true;
            task.losses.clear();
            match &mut task.stage {
                Stage::Placed(_) if current => {
                    freed.push(TaskKey { index: index as u32, ..key.clone() });
                }
                // An earlier run completed the task, so the current one is no longer needed.
                Stage::Placed(run) => {
                    run.stopping.get_or_insert(now);
                    self.stopping.insert(TaskKey { index: index as u32, ..key.clone() });
                }
                Stage::Reserved(_) => task.stage = Stage::Idle,
                Stage::Idle => {}
            }
        }
        self.dirty.insert(key.job.clone());
        self.replan = true;
        for key in freed {
            if let Some(Stage::Placed(run)) = self.task(&key).map(|task| &task.stage)
                && let Some(worker) = self.workers.get_mut(&run.worker.clone())
            {
                worker.clear_suspicion();
            }
            self.release_run(&key);
        }
        let Some(job) = self.jobs.get(&key.job) else { return };
        let all = job.occurrences.len() as u32 == job.spec.occurrences()
            && job.tasks().all(|task| task.done);
        if all && !job.state.ended() {
            self.end_job(now, &key.job, JobState::Completed);
        }
    }

    /// Removes the run of a task, which then waits for the next one unless its job has ended. The
    /// other runs of a gang are stopped.
    pub(crate) fn clear_run(&mut self, now: Time, key: &TaskKey) {
        self.release_run(key);
        self.dirty.insert(key.job.clone());
        self.replan = true;
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.spec.steps[key.step as usize].gang {
            self.stop_run(now, key);
        }
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.state.ended() && !job.has_runs() {
            self.live.remove(&key.job);
        }
    }

    /// Gives up a run whose end was never reported.
    pub(crate) fn give_up(&mut self, now: Time, key: &TaskKey, why: &'static str) {
        if let Some(Stage::Placed(run)) = self.task(key).map(|task| &task.stage) {
            let (task, worker) = (key.clone(), run.worker.clone());
            self.out.push(Action::Note(Note::GivesUp { task, worker, why }));
        }
        self.clear_run(now, key);
    }

    /// Releases the capacity of a run.
    fn release_run(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let need = job.spec.steps[key.step as usize].need;
        let Some(task) = task_mut(job, key) else { return };
        let Stage::Placed(run) = std::mem::replace(&mut task.stage, Stage::Idle) else { return };
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.used.remove(&need);
        }
        if let Some(keys) = self.runs.get_mut(&run.worker) {
            keys.remove(key);
        }
        self.stopping.remove(key);
    }

    /// Records that a run of `job` failed on a worker, or that its starts got no answer (`None`).
    ///
    /// The worker is backed off from after failures of several different jobs in a row, since one
    /// job that fails everywhere says nothing about a worker. Unanswered starts trigger it at once.
    fn record_failure(&mut self, now: Time, id: &WorkerId, job: Option<&JobId>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if let Some(job) = job {
            let (worker, span) = (id.clone(), millis(worker.suspect(now)));
            self.out.push(Action::Note(Note::Suspects { worker, job: job.clone(), span }));
        }
        match job {
            Some(job) if !worker.failed_jobs.insert(job.clone()) => return,
            Some(_) => worker.failures = worker.failed_jobs.len() as u32,
            None => worker.failures += BACKOFF_FAILURES,
        }
        if worker.failures >= BACKOFF_FAILURES {
            let doublings = (worker.failures / BACKOFF_FAILURES - 1).min(MAX_BACKOFF_DOUBLINGS);
            let span = WORKER_BACKOFF * 2u32.pow(doublings);
            self.back_off(now, id, span, "several jobs in a row failed or got no answer");
        }
    }

    /// Gives a worker no new runs for the time `span`.
    fn back_off(&mut self, now: Time, id: &WorkerId, span: Duration, why: &'static str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.backoff_until = worker.backoff_until.max(now + span);
        self.replan_at = self.replan_at.min(worker.backoff_until);
        let span = millis(span);
        self.out.push(Action::Note(Note::BacksOff { worker: id.clone(), why, span }));
    }

    /// Notes which tasks may have been running on a worker whose former incarnation has ended.
    fn note_crash(&mut self, id: &WorkerId) {
        let sent = |key: &&TaskKey| {
            let stage = self.task(key).map(|task| &task.stage);
            matches!(stage, Some(Stage::Placed(run)) if run.start_sent.is_some())
        };
        let tasks: Vec<TaskKey> =
            self.runs.get(id).into_iter().flatten().filter(sent).cloned().collect();
        if !tasks.is_empty() {
            self.out.push(Action::Note(Note::Crashed { worker: id.clone(), tasks }));
        }
    }

    /// Processes a renewal that another worker has answered. The one that was meant may go on
    /// elsewhere, and its leases have to expire for its runs to be given up.
    pub(crate) fn misdirected(&mut self, now: Time, id: &WorkerId) {
        self.renewal_failed(now, id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.reachable = false;
        }
    }

    /// Stops runs with unanswered starts after the worker has restarted as another incarnation.
    ///
    /// A start that was in flight during the restart may have reached the new incarnation before
    /// the fencing token was raised, so the worker's reports decide about each run as usual.
    fn stop_unconfirmed(&mut self, now: Time, id: &WorkerId) {
        let Some(keys) = self.runs.get(id) else { return };
        for key in keys {
            let task = self.jobs.get_mut(&key.job).and_then(|job| task_mut(job, key));
            let Some(Stage::Placed(run)) = task.map(|task| &mut task.stage) else { continue };
            if run.unanswered_starts > 0 {
                run.confirmed = None;
                run.stop_acked = None;
                run.stopping.get_or_insert(now);
                self.stopping.insert(key.clone());
            }
        }
    }

    /// Records whether a worker answered a start or stop.
    pub(crate) fn record_answer(
        &mut self,
        id: &WorkerId,
        key: &TaskKey,
        number: u32,
        answered: bool,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let before = worker.ignores_orders();
        if answered {
            worker.unanswered_orders = 0;
            worker.probe = None;
        } else {
            worker.unanswered_orders += 1;
            worker.probe = Some((key.clone(), number));
        }
        if worker.ignores_orders() != before {
            self.replan |= answered;
            self.out
                .push(Action::Note(Note::AnswersOrders { worker: id.clone(), heeds: answered }));
        }
    }

    /// Processes the result of a start: sends it again, or stops or clears the run.
    pub(crate) fn start_answered(
        &mut self,
        now: Time,
        id: &WorkerId,
        key: &TaskKey,
        number: u32,
        result: StartResult,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = task_mut(job, key) else { return };
        if task.run != number {
            return;
        }
        let Stage::Placed(run) = &mut task.stage else { return };
        if run.worker != *id {
            return;
        }
        match result {
            StartResult::Taken => {
                run.confirmed.get_or_insert(now);
                if task.saved.is_empty() {
                    run.pace.started.get_or_insert(now);
                }
            }
            StartResult::Unknown => {
                run.unanswered_starts += 1;
                if run.confirmed.is_some() || run.stopping.is_some() {
                    return;
                }
                if run.unanswered_starts < MAX_START_ATTEMPTS {
                    self.start(now, key, number);
                } else {
                    let worker = run.worker.clone();
                    self.stop_run(now, key);
                    self.record_failure(now, &worker, None);
                }
            }
            StartResult::NotSent => self.start_not_sent(now, key, number),
            StartResult::Refused(reason) => {
                let (worker, unanswered) = (run.worker.clone(), run.unanswered_starts);
                if run.confirmed.is_some() {
                    return;
                }
                if reason == Refusal::Ticket {
                    self.drop_ticket(&key.job, key.occurrence, key.step, &worker);
                }
                match (reason, self.workers.get_mut(&worker)) {
                    (Refusal::Ticket | Refusal::Fence, _) => {}
                    (Refusal::Late, Some(worker)) => worker.clock_doubtful = true,
                    // The next renewal tries its other address.
                    (Refusal::Reborn, Some(worker)) => worker.reachable = false,
                    _ => self.back_off(now, &worker, WORKER_BACKOFF, "the worker refused a start"),
                }
                match (unanswered, reason) {
                    (0, _) => self.clear_run(now, key),
                    // An unanswered start was carried out, and the run has ended there since. Its
                    // end may still have to be reported.
                    (_, Refusal::Old) => self.confirm_run(now, key),
                    _ => self.stop_run(now, key),
                }
            }
        }
    }

    /// Records that the worker has had the current run of a task, so that its reports decide about
    /// the run.
    fn confirm_run(&mut self, now: Time, key: &TaskKey) {
        let task = self.jobs.get_mut(&key.job).and_then(|job| task_mut(job, key));
        if let Some(Stage::Placed(run)) = task.map(|task| &mut task.stage) {
            run.confirmed.get_or_insert(now);
        }
    }

    /// Processes the result of a stop.
    pub(crate) fn stop_answered(
        &mut self,
        now: Time,
        id: &WorkerId,
        key: &TaskKey,
        number: u32,
        answered: bool,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = task_mut(job, key) else { return };
        if task.run != number || !answered {
            return;
        }
        if let Stage::Placed(run) = &mut task.stage
            && run.worker == *id
        {
            run.stop_acked.get_or_insert(now);
        }
    }
}
