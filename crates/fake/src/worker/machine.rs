//! State machine of one worker, without clock or I/O.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::worker::faults::WorkerFaults;
use crate::worker::history::Ending;
use crate::worker::history::Run;
use crate::worker::report::millis;
use crate::worker::report::run_record;
use crate::worker::report::task_report;
use crate::worker::task::PlannedEnd;
use crate::worker::task::Task;
use crate::worker::task::TaskTimes;
use model::JobId;
use model::Time;
use model::WorkerId;
use wire::border::LeaseAnswer;
use wire::border::LeaseCall;
use wire::border::LeaseKey;
use wire::border::LeaseReport;
use wire::border::RenewAnswer;
use wire::border::RenewCall;
use wire::border::StartAnswer;
use wire::border::StartCall;
use wire::border::TaskAction;
use wire::border::TaskAnswer;
use wire::border::TaskCall;
use wire::border::TaskSpec;
use wire::border::WorkerReport;

/// Maximum number of ended tasks that are still reported after their lease has ended.
const MAX_REPORTED_ENDED: usize = 64;

/// Identifies one attempt of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) job: JobId,
    pub(crate) attempt: u64,
}

impl AttemptKey {
    fn to_wire(self) -> LeaseKey {
        LeaseKey { job: self.job.to_string(), attempt: self.attempt }
    }
}

/// Fencing state of a job: attempts that the worker no longer accepts.
#[derive(Clone, Copy, Debug, Default)]
struct Fence {
    /// Highest attempt that requested a lease.
    highest_requested: u64,
    /// Lowest attempt that may still get a lease: the highest ended attempt plus one.
    lowest_allowed: u64,
}

#[derive(Debug)]
struct Lease {
    accelerators: Vec<u8>,
    expires: Time,
    tasks: Vec<Task>,
}

#[derive(Debug)]
struct EndedTask {
    key: AttemptKey,
    task: Task,
}

/// A simulated worker. All times are passed in by the caller.
#[derive(Debug)]
pub(crate) struct Machine {
    id: WorkerId,
    accelerators: u32,
    memory_mib: u32,
    times: TaskTimes,
    seed: u64,
    rng: SmallRng,
    pub(crate) faults: WorkerFaults,
    dead: bool,
    leases: BTreeMap<AttemptKey, Lease>,
    fences: BTreeMap<JobId, Fence>,
    ended: VecDeque<EndedTask>,
    runs: Vec<Run>,
}

impl Machine {
    pub(crate) fn new(
        id: WorkerId,
        accelerators: u32,
        memory_mib: u32,
        times: TaskTimes,
        seed: u64,
        worker_seed: u64,
    ) -> Machine {
        Machine {
            id,
            accelerators,
            memory_mib,
            times,
            seed,
            rng: SmallRng::seed_from_u64(worker_seed),
            faults: WorkerFaults::default(),
            dead: false,
            leases: BTreeMap::new(),
            fences: BTreeMap::new(),
            ended: VecDeque::new(),
            runs: Vec::new(),
        }
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.dead
    }

    pub(crate) fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }

    /// Kills the worker with all its leases and tasks.
    pub(crate) fn die(&mut self, now: Time) {
        self.advance(now);
        self.dead = true;
        for key in self.lease_keys() {
            self.drop_lease(key, now, Ending::Died);
        }
    }

    /// Restarts the worker without leases or tasks.
    pub(crate) fn restart(&mut self) {
        self.dead = false;
        self.ended.clear();
    }

    /// Advances tasks and lapses leases up to `now`.
    pub(crate) fn advance(&mut self, now: Time) {
        for key in self.lease_keys() {
            let lease = &self.leases[&key];
            if lease.expires <= now {
                let expires = lease.expires;
                self.drop_lease(key, expires, Ending::Lapsed);
            } else if let Some(lease) = self.leases.get_mut(&key) {
                lease.tasks.iter_mut().for_each(|task| task.advance(now));
            }
        }
    }

    pub(crate) fn lease(&mut self, now: Time, key: AttemptKey, call: &LeaseCall) -> LeaseAnswer {
        self.advance(now);
        let refusal = self.refuse_lease(key, call);
        let fence = self.fences.entry(key.job).or_default();
        fence.highest_requested = fence.highest_requested.max(key.attempt);
        let attempt = fence.highest_requested;
        if let Some(reason) = refusal {
            return LeaseAnswer { granted: false, reason, attempt };
        }
        let expires = now + self.lease_duration(call.ttl_ms);
        let lease = self.leases.entry(key).or_insert_with(|| Lease {
            accelerators: call.accelerators.clone(),
            expires,
            tasks: Vec::new(),
        });
        lease.expires = lease.expires.max(expires);
        self.check_leases();
        LeaseAnswer { granted: true, reason: String::new(), attempt }
    }

    pub(crate) fn renew(
        &mut self,
        now: Time,
        keys: &[AttemptKey],
        call: &RenewCall,
    ) -> RenewAnswer {
        self.advance(now);
        let expires = now + self.lease_duration(call.ttl_ms);
        let mut lapsed = Vec::new();
        for &key in keys {
            match self.leases.get_mut(&key) {
                Some(lease) => lease.expires = expires,
                None => lapsed.push(key.to_wire()),
            }
        }
        RenewAnswer { lapsed }
    }

    pub(crate) fn release(&mut self, now: Time, key: AttemptKey) -> TaskAnswer {
        self.advance(now);
        self.drop_lease(key, now, Ending::Stopped);
        TaskAnswer { done: true, reason: String::new() }
    }

    pub(crate) fn start(
        &mut self,
        now: Time,
        key: AttemptKey,
        call: StartCall,
        checkpoints: &BTreeMap<u32, Duration>,
    ) -> StartAnswer {
        self.advance(now);
        if let Some(reason) = self.refuse_start(key, &call) {
            return StartAnswer { started: false, reason };
        }
        let expires = now + self.lease_duration(call.ttl_ms);
        for spec in call.tasks {
            if !self.has_task(key, spec.index) {
                let checkpoint = checkpoints.get(&spec.index).copied().unwrap_or_default();
                self.start_task(now, key, spec, checkpoint);
            }
        }
        if let Some(lease) = self.leases.get_mut(&key) {
            lease.expires = lease.expires.max(expires);
        }
        StartAnswer { started: true, reason: String::new() }
    }

    pub(crate) fn apply_task_action(
        &mut self,
        now: Time,
        key: AttemptKey,
        call: &TaskCall,
    ) -> TaskAnswer {
        self.advance(now);
        let Some(lease) = self.leases.get_mut(&key) else {
            if call.action == TaskAction::Stop {
                self.drop_lease(key, now, Ending::Stopped);
                return TaskAnswer { done: true, reason: String::new() };
            }
            return TaskAnswer { done: false, reason: "the lease is not held".to_owned() };
        };
        match call.action {
            TaskAction::Stop => self.drop_lease(key, now, Ending::Stopped),
            TaskAction::Checkpoint => {
                lease.tasks.iter_mut().for_each(|task| task.save_checkpoint(now))
            }
            TaskAction::Throttle => {
                let is_addressed =
                    |task: &&mut Task| call.index.is_none_or(|i| i == task.spec.index);
                let cpu_limit = call.millicores.unwrap_or(u32::MAX);
                lease
                    .tasks
                    .iter_mut()
                    .filter(is_addressed)
                    .for_each(|task| task.throttle(now, cpu_limit));
            }
        }
        TaskAnswer { done: true, reason: String::new() }
    }

    /// Returns the checkpointed work of a lease's tasks, by task index.
    pub(crate) fn checkpoints(&self, key: AttemptKey) -> BTreeMap<u32, Duration> {
        let tasks = self.leases.get(&key).map_or(&[][..], |lease| &lease.tasks);
        tasks.iter().map(|task| (task.spec.index, task.checkpoint)).collect()
    }

    pub(crate) fn report(&mut self, now: Time) -> WorkerReport {
        self.advance(now);
        let measured_at = now - self.faults.lag;
        let lease_report = |(key, lease): (&AttemptKey, &Lease)| LeaseReport {
            job: key.job.to_string(),
            attempt: key.attempt,
            accelerators: lease.accelerators.clone(),
            left_ms: millis(lease.expires.since(now)),
            started: !lease.tasks.is_empty(),
        };
        let active = self.leases.iter().flat_map(|(key, lease)| {
            lease.tasks.iter().map(|task| task_report(*key, task, measured_at))
        });
        let ended = self.ended.iter().map(|ended| task_report(ended.key, &ended.task, measured_at));
        WorkerReport {
            worker: self.id.to_string(),
            leases: self.leases.iter().map(lease_report).collect(),
            tasks: active.chain(ended).collect(),
            lag_ms: millis(self.faults.lag),
        }
    }

    /// Returns all task runs on this worker, finished and running.
    pub(crate) fn runs(&mut self, now: Time) -> Vec<Run> {
        self.advance(now);
        let running = self.leases.iter().flat_map(|(key, lease)| {
            lease.tasks.iter().map(|task| run_record(&self.id, *key, task, Ending::Stopped))
        });
        self.runs.iter().cloned().chain(running).collect()
    }

    /// Returns the number of leased accelerators.
    pub(crate) fn leased_accelerators(&self) -> usize {
        self.leases.values().map(|lease| lease.accelerators.len()).sum()
    }

    fn lease_keys(&self) -> Vec<AttemptKey> {
        self.leases.keys().copied().collect()
    }

    /// Converts a time to live to a duration on the worker's clock, which may run fast or slow.
    fn lease_duration(&self, ttl_ms: u64) -> Duration {
        Duration::from_millis(ttl_ms).div_f64(self.faults.clock_rate.max(1e-3))
    }

    fn refuse_lease(&mut self, key: AttemptKey, call: &LeaseCall) -> Option<String> {
        let refuse_share = self.faults.refuse_leases;
        if self.chance(refuse_share) {
            return Some("the worker takes no leases".to_owned());
        }
        let fence = self.fences.get(&key.job).copied().unwrap_or_default();
        if key.attempt < fence.highest_requested || key.attempt < fence.lowest_allowed {
            return Some(format!("attempt {} is outdated", key.attempt));
        }
        if call.accelerators.is_empty() {
            return Some("no accelerator is named".to_owned());
        }
        let unknown =
            call.accelerators.iter().find(|&&index| u32::from(index) >= self.accelerators);
        if let Some(index) = unknown {
            return Some(format!("accelerator {index} does not exist"));
        }
        if self.leases.get(&key).is_some_and(|lease| lease.accelerators != call.accelerators) {
            return Some("the attempt holds other accelerators".to_owned());
        }
        let others = self.leases.iter().filter(|(other, _)| **other != key);
        let taken = others.flat_map(|(_, lease)| &lease.accelerators);
        let mut taken = taken.filter(|index| call.accelerators.contains(index));
        taken.next().map(|index| format!("accelerator {index} is held"))
    }

    fn refuse_start(&mut self, key: AttemptKey, call: &StartCall) -> Option<String> {
        let Some(lease) = self.leases.get(&key) else {
            return Some("the lease is not held".to_owned());
        };
        if self.fences.get(&key.job).is_some_and(|fence| key.attempt < fence.highest_requested) {
            return Some(format!("attempt {} is outdated", key.attempt));
        }
        let mut indexes = call.tasks.iter().flat_map(|task| &task.accelerators);
        if let Some(index) = indexes.find(|index| !lease.accelerators.contains(index)) {
            return Some(format!("accelerator {index} is not leased"));
        }
        let wanted: u64 = call.tasks.iter().map(|task| u64::from(task.memory_mib)).sum();
        let running = self.leases.iter().filter(|(other, _)| **other != key);
        let running = running.flat_map(|(_, lease)| &lease.tasks).filter(|task| task.is_running());
        let used: u64 = running.map(|task| u64::from(task.spec.memory_mib)).sum();
        if wanted + used > u64::from(self.memory_mib) {
            return Some("not enough memory".to_owned());
        }
        let fail_share = self.faults.fail_start;
        self.chance(fail_share).then(|| "the start failed".to_owned())
    }

    fn has_task(&self, key: AttemptKey, index: u32) -> bool {
        let tasks = self.leases.get(&key).map_or(&[][..], |lease| &lease.tasks);
        tasks.iter().any(|task| task.spec.index == index)
    }

    fn start_task(&mut self, now: Time, key: AttemptKey, spec: TaskSpec, checkpoint: Duration) {
        let (fail_share, overrun_share) = (self.faults.fail_tasks, self.faults.overrun);
        let planned_end = match () {
            () if self.chance(fail_share) => PlannedEnd::Fail,
            () if self.chance(overrun_share) => PlannedEnd::Overrun,
            () => PlannedEnd::Succeed,
        };
        let task = Task::start(now, &self.times, self.seed, key.job, spec, planned_end, checkpoint);
        if let Some(lease) = self.leases.get_mut(&key) {
            lease.tasks.push(task);
        }
    }

    /// Ends an attempt permanently: its lease is dropped and the attempt is never leased again.
    fn drop_lease(&mut self, key: AttemptKey, at: Time, ending: Ending) {
        let fence = self.fences.entry(key.job).or_default();
        fence.lowest_allowed = fence.lowest_allowed.max(key.attempt.saturating_add(1));
        let Some(lease) = self.leases.remove(&key) else { return };
        for mut task in lease.tasks {
            task.kill(at);
            self.runs.push(run_record(&self.id, key, &task, ending));
            if self.ended.len() == MAX_REPORTED_ENDED {
                self.ended.pop_front();
            }
            self.ended.push_back(EndedTask { key, task });
        }
    }

    fn check_leases(&self) {
        let mut all: Vec<u8> =
            self.leases.values().flat_map(|lease| &lease.accelerators).copied().collect();
        let total = all.len();
        all.sort_unstable();
        all.dedup();
        assert_eq!(all.len(), total, "an accelerator of {} has two holders", self.id);
    }
}
