//! What goes wrong in a run.

use std::time::Duration;

use rand::RngExt;

use crate::trial::world::World;
use model::Time;

/// Longest pause of a member, longer than a lease.
const MAX_PAUSE: f64 = 40.0;
/// Longest cut.
const MAX_CUT: f64 = 40.0;
/// Time that a leaving member takes to finish its work.
const DRAIN: Duration = Duration::from_secs(3);

/// One end of a cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// One member.
    Node(usize),
    /// All members of an availability zone.
    Site(usize),
    /// All members of a region.
    Region(u32),
    /// The store.
    Store,
    /// Everything.
    Any,
}

/// Messages from one end to the other that are lost until a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cut {
    from: End,
    to: End,
    until: Time,
}

/// Something that goes wrong.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Pause,
    Cut,
    Crash,
    Replace,
    Outage { length: Duration },
    Recover,
    Split { length: Duration },
    Roll { turn: u32 },
}

impl World {
    /// The faults of the plan, with the time of the first of each kind.
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
        if let Some((at, length)) = self.plan.split {
            planned.push((start + at, Fault::Split { length }));
        }
        if self.plan.rolling.is_some() {
            planned.push((start, Fault::Roll { turn: 0 }));
        }
        planned
    }

    /// Lets a fault happen, and plans the next of its kind.
    pub(crate) fn strike(&mut self, fault: Fault) {
        if self.quiet && !matches!(fault, Fault::Recover) {
            return;
        }
        match fault {
            Fault::Pause => self.strike_pause(),
            Fault::Cut => self.strike_cut(),
            Fault::Crash => self.strike_crash(),
            Fault::Replace => self.strike_replace(),
            Fault::Outage { length } => {
                self.store.down = true;
                self.schedule(self.now + length, Fault::Recover);
                self.again(self.plan.faults.outage, fault);
            }
            Fault::Recover => self.recover(),
            Fault::Split { length } => self.strike_split(length),
            Fault::Roll { turn } => self.roll(turn),
        }
    }

    fn again(&mut self, interval: Duration, fault: Fault) {
        if !interval.is_zero() {
            let wait = interval.mul_f64(self.rng.random_range(0.3..1.7));
            self.schedule(self.now + wait, fault);
        }
    }

    fn pick(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..self.nodes.len()).filter(|node| self.is_up(*node)).collect();
        (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())])
    }

    fn strike_pause(&mut self) {
        self.again(self.plan.faults.pause, Fault::Pause);
        let length = MAX_PAUSE.powf(self.rng.random::<f64>());
        if let Some(node) = self.pick() {
            self.pause(node, Duration::from_secs_f64(length));
        }
    }

    fn strike_cut(&mut self) {
        self.again(self.plan.faults.cut, Fault::Cut);
        let Some(node) = self.pick() else { return };
        let Some(other) = self.pick() else { return };
        let (from, to) = match self.rng.random_range(0..6) {
            0 => (End::Node(node), End::Node(other)),
            1 => (End::Node(node), End::Any),
            2 => (End::Any, End::Node(node)),
            3 => (End::Node(node), End::Store),
            4 => (End::Site(self.nodes[node].site), End::Store),
            _ => (End::Site(self.nodes[node].site), End::Site(self.nodes[other].site)),
        };
        if from == to {
            return;
        }
        let length = Duration::from_secs_f64(MAX_CUT.powf(self.rng.random::<f64>()));
        let until = self.now + length;
        self.cuts.push(Cut { from, to, until });
        if self.rng.random_bool(0.5) {
            self.cuts.push(Cut { from: to, to: from, until });
        }
    }

    fn strike_crash(&mut self) {
        self.again(self.plan.faults.crash, Fault::Crash);
        if let Some(node) = self.pick() {
            self.nodes[node].up = false;
            self.succeed(node);
        }
    }

    /// Starts a new process in a member's place, on the same VM or a new one.
    fn succeed(&mut self, node: usize) {
        let (site, vm) = self.place_of(node);
        let vm = if self.rng.random_bool(0.5) { vm } else { self.new_vm() };
        self.schedule_start(site, vm);
    }

    fn strike_replace(&mut self) {
        self.again(self.plan.faults.replace, Fault::Replace);
        if let Some(node) = self.pick() {
            self.replace(node);
        }
    }

    fn replace(&mut self, node: usize) {
        self.drain(node);
        self.schedule_finish(node, DRAIN);
        self.succeed(node);
    }

    fn roll(&mut self, turn: u32) {
        let Some(interval) = self.plan.rolling else { return };
        if turn < self.plan.members() {
            self.replace(turn as usize);
            self.schedule(self.now + interval, Fault::Roll { turn: turn + 1 });
        }
    }

    fn strike_split(&mut self, length: Duration) {
        let until = self.now + length;
        let regions: Vec<u32> = self.plan.sites.iter().map(|site| site.region).collect();
        for from in &regions {
            for to in regions.iter().filter(|to| *to != from) {
                self.cuts.push(Cut { from: End::Region(*from), to: End::Region(*to), until });
            }
            if *from != self.plan.sites[0].region {
                self.cuts.push(Cut { from: End::Region(*from), to: End::Store, until });
            }
        }
    }

    fn recover(&mut self) {
        if self.store.down {
            self.store.recover(self.now);
            self.report.recovered = Some(self.now.micros() / 1_000_000);
        }
    }

    /// Ends all faults.
    pub(crate) fn calm(&mut self) {
        self.quiet = true;
        self.cuts.clear();
        self.recover();
    }

    /// Forgets the cuts that have ended.
    pub(crate) fn drop_cuts(&mut self) {
        let now = self.now;
        self.cuts.retain(|cut| cut.until > now);
    }

    /// Whether messages from one member to another are lost.
    pub(crate) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.blocks(End::Node(from), End::Node(to))
    }

    /// Whether calls of a member do not reach the store, or their answers not the member.
    pub(crate) fn is_cut_from_store(&self, node: usize) -> bool {
        let node = End::Node(node);
        self.blocks(node, End::Store) || self.blocks(End::Store, node)
    }

    fn blocks(&self, from: End, to: End) -> bool {
        let open = self.cuts.iter().filter(|cut| cut.until > self.now);
        open.into_iter().any(|cut| self.covers(cut.from, from) && self.covers(cut.to, to))
    }

    fn covers(&self, end: End, point: End) -> bool {
        match (end, point) {
            (End::Any, _) => true,
            (End::Node(a), End::Node(b)) => a == b,
            (End::Site(site), End::Node(node)) => self.nodes[node].site == site,
            (End::Region(region), End::Node(node)) => {
                self.plan.sites[self.nodes[node].site].region == region
            }
            (End::Store, End::Store) => true,
            _ => false,
        }
    }
}
