//! Fault injection.

use std::time::Duration;

use rand::RngExt;

use crate::trial::world::World;
use model::Time;

/// Longest pause of a member, in seconds; longer than a lease.
const MAX_PAUSE_SECONDS: f64 = 40.0;
/// Longest network cut, in seconds.
const MAX_CUT_SECONDS: f64 = 40.0;
/// Time that a leaving member takes to finish its work.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// One end of a network cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// One member.
    Node(usize),
    /// All members of an availability zone.
    Site(usize),
    /// All members of a region.
    Region(u32),
    /// The store.
    Store,
    /// Every member and the store.
    Any,
}

/// Loss of all messages in one direction until a given time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cut {
    from: Endpoint,
    to: Endpoint,
    until: Time,
}

/// Scheduled fault, recovery or replacement.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Pause,
    Cut,
    Crash,
    Replace,
    Outage { length: Duration },
    Recover,
    Partition { length: Duration },
    ReplaceNext { turn: u32 },
}

impl World {
    /// Returns the first fault of each planned kind, with its time.
    pub(crate) fn planned_faults(&mut self) -> Vec<(Time, Fault)> {
        let start = Time::ZERO + self.plan.warmup;
        let faults = self.plan.faults;
        let outage = Fault::Outage { length: faults.outage_length };
        let kinds = [
            (faults.pause, Fault::Pause),
            (faults.cut, Fault::Cut),
            (faults.crash, Fault::Crash),
            (faults.replace, Fault::Replace),
            (faults.outage, outage),
        ];
        let mut planned = Vec::new();
        for (interval, fault) in kinds {
            if !interval.is_zero() {
                let wait = interval.mul_f64(self.rng.random_range(0.0..1.0));
                planned.push((start + wait, fault));
            }
        }
        if let Some((at, length)) = self.plan.outage {
            planned.push((start + at, Fault::Outage { length }));
        }
        if let Some((at, length)) = self.plan.partition {
            planned.push((start + at, Fault::Partition { length }));
        }
        if self.plan.rolling_interval.is_some() {
            planned.push((start, Fault::ReplaceNext { turn: 0 }));
        }
        planned
    }

    /// Injects a fault and schedules the next one of its kind.
    pub(crate) fn inject(&mut self, fault: Fault) {
        if self.faults_ended && !matches!(fault, Fault::Recover) {
            return;
        }
        match fault {
            Fault::Pause => self.inject_pause(),
            Fault::Cut => self.inject_cut(),
            Fault::Crash => self.inject_crash(),
            Fault::Replace => self.inject_replacement(),
            Fault::Outage { length } => {
                self.store.down = true;
                self.schedule(self.now + length, Fault::Recover);
                self.schedule_next(self.plan.faults.outage, fault);
            }
            Fault::Recover => self.recover_store(),
            Fault::Partition { length } => self.inject_partition(length),
            Fault::ReplaceNext { turn } => self.replace_next(turn),
        }
    }

    fn schedule_next(&mut self, interval: Duration, fault: Fault) {
        if !interval.is_zero() {
            let wait = interval.mul_f64(self.rng.random_range(0.3..1.7));
            self.schedule(self.now + wait, fault);
        }
    }

    fn pick_running_member(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..self.nodes.len()).filter(|node| self.is_up(*node)).collect();
        (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())])
    }

    fn inject_pause(&mut self) {
        self.schedule_next(self.plan.faults.pause, Fault::Pause);
        let length = MAX_PAUSE_SECONDS.powf(self.rng.random::<f64>());
        if let Some(node) = self.pick_running_member() {
            self.pause(node, Duration::from_secs_f64(length));
        }
    }

    fn inject_cut(&mut self) {
        self.schedule_next(self.plan.faults.cut, Fault::Cut);
        let Some(node) = self.pick_running_member() else { return };
        let Some(other) = self.pick_running_member() else { return };
        let (from, to) = match self.rng.random_range(0..6) {
            0 => (Endpoint::Node(node), Endpoint::Node(other)),
            1 => (Endpoint::Node(node), Endpoint::Any),
            2 => (Endpoint::Any, Endpoint::Node(node)),
            3 => (Endpoint::Node(node), Endpoint::Store),
            4 => (Endpoint::Site(self.nodes[node].site), Endpoint::Store),
            _ => (Endpoint::Site(self.nodes[node].site), Endpoint::Site(self.nodes[other].site)),
        };
        if from == to {
            return;
        }
        let length = Duration::from_secs_f64(MAX_CUT_SECONDS.powf(self.rng.random::<f64>()));
        let until = self.now + length;
        self.cuts.push(Cut { from, to, until });
        if self.rng.random_bool(0.5) {
            self.cuts.push(Cut { from: to, to: from, until });
        }
    }

    fn inject_crash(&mut self) {
        self.schedule_next(self.plan.faults.crash, Fault::Crash);
        if let Some(node) = self.pick_running_member() {
            self.nodes[node].up = false;
            self.schedule_successor(node);
        }
    }

    /// Schedules the start of a member's successor, on the same VM or a new one.
    fn schedule_successor(&mut self, node: usize) {
        let (site, vm) = self.place_of(node);
        let vm = if self.rng.random_bool(0.5) { vm } else { self.new_vm() };
        self.schedule_start(site, vm);
    }

    fn inject_replacement(&mut self) {
        self.schedule_next(self.plan.faults.replace, Fault::Replace);
        if let Some(node) = self.pick_running_member() {
            self.replace(node);
        }
    }

    fn replace(&mut self, node: usize) {
        self.drain(node);
        self.schedule_finish(node, DRAIN_TIME);
        self.schedule_successor(node);
    }

    fn replace_next(&mut self, turn: u32) {
        let Some(interval) = self.plan.rolling_interval else { return };
        if turn < self.plan.members() {
            self.replace(turn as usize);
            self.schedule(self.now + interval, Fault::ReplaceNext { turn: turn + 1 });
        }
    }

    fn inject_partition(&mut self, length: Duration) {
        let until = self.now + length;
        let regions: Vec<u32> = self.plan.sites.iter().map(|site| site.region).collect();
        for from in &regions {
            for to in regions.iter().filter(|to| *to != from) {
                self.cuts.push(Cut {
                    from: Endpoint::Region(*from),
                    to: Endpoint::Region(*to),
                    until,
                });
            }
            if *from != self.plan.sites[0].region {
                self.cuts.push(Cut { from: Endpoint::Region(*from), to: Endpoint::Store, until });
            }
        }
    }

    fn recover_store(&mut self) {
        if self.store.down {
            self.store.recover(self.now);
            self.report.recovered_at = Some(self.now.micros() / 1_000_000);
        }
    }

    /// Ends all faults and prevents new ones.
    pub(crate) fn end_faults(&mut self) {
        self.faults_ended = true;
        self.cuts.clear();
        self.recover_store();
    }

    /// Removes the cuts that have ended.
    pub(crate) fn drop_cuts(&mut self) {
        let now = self.now;
        self.cuts.retain(|cut| cut.until > now);
    }

    /// Whether a cut drops messages from one member to another.
    pub(crate) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.blocks(Endpoint::Node(from), Endpoint::Node(to))
    }

    /// Whether a cut separates a member from the store in either direction.
    pub(crate) fn is_cut_from_store(&self, node: usize) -> bool {
        let node = Endpoint::Node(node);
        self.blocks(node, Endpoint::Store) || self.blocks(Endpoint::Store, node)
    }

    fn blocks(&self, from: Endpoint, to: Endpoint) -> bool {
        let open = self.cuts.iter().filter(|cut| cut.until > self.now);
        open.into_iter().any(|cut| self.covers(cut.from, from) && self.covers(cut.to, to))
    }

    fn covers(&self, end: Endpoint, point: Endpoint) -> bool {
        match (end, point) {
            (Endpoint::Any, _) => true,
            (Endpoint::Node(a), Endpoint::Node(b)) => a == b,
            (Endpoint::Site(site), Endpoint::Node(node)) => self.nodes[node].site == site,
            (Endpoint::Region(region), Endpoint::Node(node)) => {
                self.plan.sites[self.nodes[node].site].region == region
            }
            (Endpoint::Store, Endpoint::Store) => true,
            _ => false,
        }
    }
}
