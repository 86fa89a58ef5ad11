//! A stand-in for a worker, which keeps the rules of its interface.

use std::collections::BTreeMap;

use batch::End;
use batch::Need;
use batch::Outcome;
use batch::Refusal;
use batch::RenewalReport;
use batch::RunReport;
use batch::StartResult;
use batch::TaskKey;
use model::Time;

/// Longest lease that a worker grants, in ms.
pub const LEASE_MS: u64 = 6_000;
/// Time that a gang's first member waits for the others, in ms.
pub const GATHER_MS: u64 = 3_000;

/// A run at work.
#[derive(Clone, Debug)]
pub struct Work {
    pub run: u32,
    pub need: Need,
    pub since: u64,
    /// Work left, in ms; counts only while the whole gang is present.
    pub left: u64,
    pub total: u64,
    /// Whether its end is a failure.
    pub fails: bool,
    pub saves: bool,
    /// Members of its gang; one for a task alone.
    pub members: u32,
    pub gathered: bool,
    /// Whether it goes on until it is stopped.
    pub lasts: bool,
    /// Whether it is past its startup, if it lasts.
    pub started: bool,
}

/// A stand-in for a worker.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    pub capacity: Need,
    pub born: u64,
    /// When this incarnation started, in ms of true time.
    pub started: u64,
    /// Parts of a thousand by which its clock is slow.
    pub slow: u64,
    pub token: u64,
    pub deadline: u64,
    pub running: BTreeMap<TaskKey, Work>,
    pub ended: Vec<End>,
    pub next: u64,
    /// Highest run of each task that was stopped or ended here.
    pub highest: BTreeMap<TaskKey, u32>,
    pub up: bool,
    /// Nothing reaches it before this, in ms.
    pub cut: u64,
    /// It answers no call before this, in ms, and is listed all the same.
    pub deaf: u64,
    /// It neither carries out nor answers orders before this, in ms, but answers renewals.
    pub idle: u64,
    /// It refuses starts before this, in ms.
    pub unwell: u64,
    /// All that it starts fails before this, in ms.
    pub failing: u64,
    /// When it leaves for good, in ms.
    pub leaves: Option<u64>,
}

impl FakeWorker {
    pub fn new(capacity: Need, slow: u64, now: u64) -> FakeWorker {
        FakeWorker {
            capacity,
            born: 1_000_000 + now,
            started: now,
            slow,
            token: 0,
            deadline: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next: 1,
            highest: BTreeMap::new(),
            up: true,
            cut: 0,
            deaf: 0,
            idle: 0,
            unwell: 0,
            failing: 0,
            leaves: None,
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        (now - self.started) * (1_000 - self.slow) / 1_000
    }

    pub fn used(&self) -> Need {
        let mut used = Need::default();
        for work in self.running.values() {
            used.add(&work.need);
        }
        used
    }

    /// Carries out a start; the work is told by the world.
    pub fn start(
        &mut self,
        now: u64,
        token: u64,
        task: &TaskKey,
        deadline: u64,
        work: Work,
    ) -> StartResult {
        if token < self.token {
            return StartResult::Refused(Refusal::Fence);
        }
        self.token = token;
        let run = work.run;
        if self.running.get(task).is_some_and(|there| there.run == run) {
            return StartResult::Taken;
        }
        if self.highest.get(task).is_some_and(|&highest| run <= highest)
            || self.running.get(task).is_some_and(|there| there.run > run)
        {
            return StartResult::Refused(Refusal::Old);
        }
        if deadline <= self.clock(now) {
            return StartResult::Refused(Refusal::Late);
        }
        if now < self.unwell {
            return StartResult::Refused(Refusal::Unwell);
        }
        self.renew(now, deadline);
        self.running.insert(task.clone(), work);
        StartResult::Taken
    }

    fn renew(&mut self, now: u64, deadline: u64) {
        let most = self.clock(now) + LEASE_MS;
        self.deadline = self.deadline.max(deadline.min(most));
    }

    /// Carries out a stop.
    pub fn stop(&mut self, token: u64, task: &TaskKey, run: u32) -> bool {
        if token < self.token {
            return false;
        }
        self.token = token;
        let highest = self.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
        if self.running.get(task).is_some_and(|work| work.run <= run) {
            self.end(task, Outcome::Stopped);
        }
        true
    }

    /// Carries out a renewal; none if it is fenced.
    pub fn hold(
        &mut self,
        now: u64,
        token: u64,
        deadline: Option<u64>,
        seen: u64,
    ) -> Option<RenewalReport> {
        if token < self.token {
            return None;
        }
        self.token = token;
        if let Some(deadline) = deadline {
            self.renew(now, deadline);
        }
        self.ended.retain(|end| end.number > seen);
        let report = |(task, work): (&TaskKey, &Work)| RunReport {
            task: task.clone(),
            run: work.run,
            saved: String::new(),
            percent: match work.lasts {
                true => u32::from(work.started) * 100,
                false => (100 - work.left.min(work.total) * 100 / work.total.max(1)) as u32,
            },
        };
        Some(RenewalReport {
            sent: Time::ZERO,
            clock: self.clock(now),
            incarnation: self.born,
            running: self.running.iter().map(report).collect(),
            ended: self.ended.clone(),
        })
    }

    /// Ends a run.
    pub fn end(&mut self, task: &TaskKey, outcome: Outcome) {
        let Some(work) = self.running.remove(task) else { return };
        let highest = self.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(work.run);
        let saved = if work.saves { format!("{}", work.total - work.left) } else { String::new() };
        self.ended.push(End {
            number: self.next,
            task: task.clone(),
            run: work.run,
            outcome,
            saved,
        });
        self.next += 1;
    }

    /// Ends all runs if the lease has run out.
    pub fn lapse(&mut self, now: u64) {
        if self.lapsed(now) {
            for task in self.running.keys().cloned().collect::<Vec<_>>() {
                self.end(&task, Outcome::Lapsed);
            }
        }
    }

    /// Whether its lease has run out.
    pub fn lapsed(&self, now: u64) -> bool {
        self.clock(now) >= self.deadline
    }

    /// Whether a call gets there now.
    pub fn reachable(&self, now: u64) -> bool {
        self.up && self.cut <= now && self.deaf <= now
    }

    /// Whether a call, an order or a renewal, is heard now.
    pub fn hears(&self, now: u64, order: bool) -> bool {
        self.reachable(now) && !(order && self.idle > now)
    }

    /// Starts a new incarnation.
    pub fn restart(&mut self, now: u64) {
        *self = FakeWorker {
            cut: self.cut,
            deaf: self.deaf,
            ..FakeWorker::new(self.capacity, self.slow, now)
        };
    }
}
