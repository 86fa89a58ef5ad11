//! One worker, without a clock or a socket.

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
use crate::worker::report::report;
use crate::worker::report::run;
use crate::worker::task::Fate;
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

/// Ended tasks that reports show after their lease is gone.
const MAX_ENDED: usize = 64;

/// One attempt of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    pub(crate) job: JobId,
    pub(crate) attempt: u64,
}

impl Key {
    fn to_wire(self) -> LeaseKey {
        LeaseKey { job: self.job.to_string(), attempt: self.attempt }
    }
}

/// What a worker remembers of a job.
#[derive(Clone, Copy, Debug, Default)]
struct Fence {
    /// Highest attempt that asked for a lease.
    highest: u64,
    /// Highest attempt that is over, plus one.
    next: u64,
}

#[derive(Debug)]
struct Held {
    accelerators: Vec<u8>,
    expires: Time,
    tasks: Vec<Task>,
}

#[derive(Debug)]
struct Ended {
    key: Key,
    task: Task,
}

/// One worker.
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
    held: BTreeMap<Key, Held>,
    fences: BTreeMap<JobId, Fence>,
    ended: VecDeque<Ended>,
    runs: Vec<Run>,
}

impl Machine {
    pub(crate) fn new(
        id: WorkerId,
        accelerators: u32,
        memory_mib: u32,
        times: TaskTimes,
        seed: u64,
        own_seed: u64,
    ) -> Machine {
        Machine {
            id,
            accelerators,
            memory_mib,
            times,
            seed,
            rng: SmallRng::seed_from_u64(own_seed),
            faults: WorkerFaults::default(),
            dead: false,
            held: BTreeMap::new(),
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

    /// Ends everything that runs.
    pub(crate) fn die(&mut self, now: Time) {
        self.advance(now);
        self.dead = true;
        for key in self.keys() {
            self.drop_lease(key, now, Ending::Died);
        }
    }

    /// Comes back empty.
    pub(crate) fn restart(&mut self) {
        self.dead = false;
        self.ended.clear();
    }

    /// Lets tasks run and leases lapse until `now`.
    pub(crate) fn advance(&mut self, now: Time) {
        for key in self.keys() {
            let held = &self.held[&key];
            if held.expires <= now {
                let expires = held.expires;
                self.drop_lease(key, expires, Ending::Lapsed);
            } else if let Some(held) = self.held.get_mut(&key) {
                held.tasks.iter_mut().for_each(|task| task.advance(now));
            }
        }
    }

    pub(crate) fn lease(&mut self, now: Time, key: Key, call: &LeaseCall) -> LeaseAnswer {
        self.advance(now);
        let refused = self.refuse_lease(key, call);
        let fence = self.fences.entry(key.job).or_default();
        fence.highest = fence.highest.max(key.attempt);
        let attempt = fence.highest;
        if let Some(reason) = refused {
            return LeaseAnswer { granted: false, reason, attempt };
        }
        let expires = now + self.span(call.ttl_ms);
        let held = self.held.entry(key).or_insert_with(|| Held {
            accelerators: call.accelerators.clone(),
            expires,
            tasks: Vec::new(),
        });
        held.expires = held.expires.max(expires);
        self.check_leases();
        LeaseAnswer { granted: true, reason: String::new(), attempt }
    }

    pub(crate) fn renew(&mut self, now: Time, keys: &[Key], call: &RenewCall) -> RenewAnswer {
        self.advance(now);
        let expires = now + self.span(call.ttl_ms);
        let mut lapsed = Vec::new();
        for &key in keys {
            match self.held.get_mut(&key) {
                Some(held) => held.expires = expires,
                None => lapsed.push(key.to_wire()),
            }
        }
        RenewAnswer { lapsed }
    }

    pub(crate) fn release(&mut self, now: Time, key: Key) -> TaskAnswer {
        self.advance(now);
        self.drop_lease(key, now, Ending::Stopped);
        TaskAnswer { done: true, reason: String::new() }
    }

    pub(crate) fn start(
        &mut self,
        now: Time,
        key: Key,
        call: StartCall,
        checkpoints: &BTreeMap<u32, Duration>,
    ) -> StartAnswer {
        self.advance(now);
        if let Some(reason) = self.refuse_start(key, &call) {
            return StartAnswer { started: false, reason };
        }
        let expires = now + self.span(call.ttl_ms);
        for spec in call.tasks {
            if !self.has_task(key, spec.index) {
                let checkpoint = checkpoints.get(&spec.index).copied().unwrap_or_default();
                self.start_task(now, key, spec, checkpoint);
            }
        }
        if let Some(held) = self.held.get_mut(&key) {
            held.expires = held.expires.max(expires);
        }
        StartAnswer { started: true, reason: String::new() }
    }

    pub(crate) fn act(&mut self, now: Time, key: Key, call: &TaskCall) -> TaskAnswer {
        self.advance(now);
        let Some(held) = self.held.get_mut(&key) else {
            if call.action == TaskAction::Stop {
                self.drop_lease(key, now, Ending::Stopped);
                return TaskAnswer { done: true, reason: String::new() };
            }
            return TaskAnswer { done: false, reason: "the lease is not held".to_owned() };
        };
        match call.action {
            TaskAction::Stop => self.drop_lease(key, now, Ending::Stopped),
            TaskAction::Checkpoint => held.tasks.iter_mut().for_each(|task| task.save(now)),
            TaskAction::Throttle => {
                let named = |task: &&mut Task| call.index.is_none_or(|i| i == task.spec.index);
                let share = call.millicores.unwrap_or(u32::MAX);
                held.tasks.iter_mut().filter(named).for_each(|task| task.throttle(now, share));
            }
        }
        TaskAnswer { done: true, reason: String::new() }
    }

    /// Work that the tasks of a lease have saved, by task.
    pub(crate) fn checkpoints(&self, key: Key) -> BTreeMap<u32, Duration> {
        let tasks = self.held.get(&key).map_or(&[][..], |held| &held.tasks);
        tasks.iter().map(|task| (task.spec.index, task.checkpoint)).collect()
    }

    pub(crate) fn report(&mut self, now: Time) -> WorkerReport {
        self.advance(now);
        let seen = now - self.faults.lag;
        let lease = |(key, held): (&Key, &Held)| LeaseReport {
            job: key.job.to_string(),
            attempt: key.attempt,
            accelerators: held.accelerators.clone(),
            left_ms: millis(held.expires.since(now)),
            started: !held.tasks.is_empty(),
        };
        let held = self
            .held
            .iter()
            .flat_map(|(key, held)| held.tasks.iter().map(|task| report(*key, task, seen)));
        let ended = self.ended.iter().map(|ended| report(ended.key, &ended.task, seen));
        WorkerReport {
            worker: self.id.to_string(),
            leases: self.held.iter().map(lease).collect(),
            tasks: held.chain(ended).collect(),
            lag_ms: millis(self.faults.lag),
        }
    }

    /// Every task that ran here.
    pub(crate) fn runs(&mut self, now: Time) -> Vec<Run> {
        self.advance(now);
        let running = self.held.iter().flat_map(|(key, held)| {
            held.tasks.iter().map(|task| run(&self.id, *key, task, Ending::Stopped))
        });
        self.runs.iter().cloned().chain(running).collect()
    }

    /// Accelerators under leases.
    pub(crate) fn leased_accelerators(&self) -> usize {
        self.held.values().map(|held| held.accelerators.len()).sum()
    }

    fn keys(&self) -> Vec<Key> {
        self.held.keys().copied().collect()
    }

    /// A time to live on the worker's own clock.
    fn span(&self, ttl_ms: u64) -> Duration {
        Duration::from_millis(ttl_ms).div_f64(self.faults.clock_rate.max(1e-3))
    }

    fn refuse_lease(&mut self, key: Key, call: &LeaseCall) -> Option<String> {
        let refuse = self.faults.refuse_leases;
        if self.chance(refuse) {
            return Some("the worker takes no leases".to_owned());
        }
        let fence = self.fences.get(&key.job).copied().unwrap_or_default();
        if key.attempt < fence.highest || key.attempt < fence.next {
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
        if self.held.get(&key).is_some_and(|held| held.accelerators != call.accelerators) {
            return Some("the attempt holds other accelerators".to_owned());
        }
        let others = self.held.iter().filter(|(held, _)| **held != key);
        let taken = others.flat_map(|(_, held)| &held.accelerators);
        let mut taken = taken.filter(|index| call.accelerators.contains(index));
        taken.next().map(|index| format!("accelerator {index} is held"))
    }

    fn refuse_start(&mut self, key: Key, call: &StartCall) -> Option<String> {
        let Some(held) = self.held.get(&key) else {
            return Some("the lease is not held".to_owned());
        };
        if self.fences.get(&key.job).is_some_and(|fence| key.attempt < fence.highest) {
            return Some(format!("attempt {} is outdated", key.attempt));
        }
        let mut indexes = call.tasks.iter().flat_map(|task| &task.accelerators);
        if let Some(index) = indexes.find(|index| !held.accelerators.contains(index)) {
            return Some(format!("accelerator {index} is not leased"));
        }
        let wanted: u64 = call.tasks.iter().map(|task| u64::from(task.memory_mib)).sum();
        let running = self.held.iter().filter(|(held, _)| **held != key);
        let running = running.flat_map(|(_, held)| &held.tasks).filter(|task| task.is_running());
        let used: u64 = running.map(|task| u64::from(task.spec.memory_mib)).sum();
        if wanted + used > u64::from(self.memory_mib) {
            return Some("not enough memory".to_owned());
        }
        let fail = self.faults.fail_start;
        self.chance(fail).then(|| "the start failed".to_owned())
    }

    fn has_task(&self, key: Key, index: u32) -> bool {
        let tasks = self.held.get(&key).map_or(&[][..], |held| &held.tasks);
        tasks.iter().any(|task| task.spec.index == index)
    }

    fn start_task(&mut self, now: Time, key: Key, spec: TaskSpec, checkpoint: Duration) {
        let (fail, overrun) = (self.faults.fail_tasks, self.faults.overrun);
        let fate = match () {
            () if self.chance(fail) => Fate::Fail,
            () if self.chance(overrun) => Fate::Overrun,
            () => Fate::Succeed,
        };
        let task = Task::start(now, &self.times, self.seed, key.job, spec, fate, checkpoint);
        if let Some(held) = self.held.get_mut(&key) {
            held.tasks.push(task);
        }
    }

    /// Ends an attempt for good.
    fn drop_lease(&mut self, key: Key, at: Time, ending: Ending) {
        let fence = self.fences.entry(key.job).or_default();
        fence.next = fence.next.max(key.attempt.saturating_add(1));
        let Some(held) = self.held.remove(&key) else { return };
        for mut task in held.tasks {
            task.kill(at);
            self.runs.push(run(&self.id, key, &task, ending));
            if self.ended.len() == MAX_ENDED {
                self.ended.pop_front();
            }
            self.ended.push_back(Ended { key, task });
        }
    }

    fn check_leases(&self) {
        let mut all: Vec<u8> =
            self.held.values().flat_map(|held| &held.accelerators).copied().collect();
        let total = all.len();
        all.sort_unstable();
        all.dedup();
        assert_eq!(all.len(), total, "an accelerator of {} has two holders", self.id);
    }
}
