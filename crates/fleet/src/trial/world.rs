//! The run itself: members, network, store and time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Action;
use crate::Answer;
use crate::Event;
use crate::Fleet;
use crate::Member;
use crate::Message;
use crate::Outcome;
use crate::Shard;
use crate::Step;
use crate::StoreOutcome;
use crate::StoreRequest;
use crate::VmEntry;
use crate::WriteId;
use crate::trial::Plan;
use crate::trial::Report;
use crate::trial::faults::Cut;
use crate::trial::faults::Fault;
use crate::trial::operator::Operator;
use crate::trial::operator::name;
use crate::trial::stand_in::StandIn;
use model::Epoch;
use model::Incarnation;
use model::RegionId;
use model::Revision;
use model::ShardId;
use model::Stamp;
use model::Time;
use model::VmId;
use model::ZoneId;

/// One-way delay inside an availability zone.
const ZONE_DELAY: Duration = Duration::from_micros(300);
/// One-way delay between availability zones of a region.
const REGION_DELAY: Duration = Duration::from_micros(1_400);
/// One-way delay between regions.
const LINK_DELAY: Duration = Duration::from_millis(30);
/// Time after which a store call without an answer fails.
const CALL_DEADLINE: Duration = Duration::from_secs(1);
/// Between two looks at what must hold, at leases and at watches.
const SWEEP: Duration = Duration::from_millis(250);
/// Between two readings of the VM list, which is as old as this when read.
const VM_LIST: Duration = Duration::from_secs(5);
/// Time from a process's end to its successor's start.
const RESTART: Duration = Duration::from_secs(3);

/// One process.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) fleet: Fleet,
    pub(crate) site: usize,
    /// What its clock shows at the run's time zero.
    offset: Duration,
    pub(crate) up: bool,
    paused: Time,
    watching: bool,
    /// Whether a watch event was lost and the state has to be shown again.
    stale: bool,
    leaving: bool,
    wake: Time,
    pub(crate) started: Time,
    pub(crate) in_force: Revision,
    sent: u64,
}

#[derive(Debug)]
enum Item {
    Wake { node: usize },
    Tell { node: usize, event: Event },
    Arrive { node: usize, call: u64, request: StoreRequest },
    Operate { operator: usize },
    Change,
    Fault(Fault),
    Sweep,
    VmList,
    Start { site: usize, vm: VmId },
    Finish { node: usize },
}

/// A run in progress.
pub(crate) struct World {
    pub(crate) plan: Plan,
    pub(crate) rng: SmallRng,
    pub(crate) now: Time,
    queue: BTreeMap<(Time, u64), Item>,
    order: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) store: StandIn,
    pub(crate) cuts: Vec<Cut>,
    operators: Vec<Operator>,
    pub(crate) report: Report,
    pub(crate) quiet: bool,
    vms: Vec<VmEntry>,
    owned: BTreeMap<ShardId, BTreeSet<Epoch>>,
    next_vm: u32,
    /// The last process at each address.
    addresses: BTreeMap<String, usize>,
}

/// Carries out a plan.
///
/// # Panics
///
/// Something that must hold did not.
pub fn run(plan: &Plan) -> Report {
    let mut world = World::new(plan.clone());
    world.begin();
    let faults_end = Time::ZERO + plan.warmup + plan.length;
    world.until(faults_end);
    world.calm();
    world.converge();
    world.finish()
}

impl World {
    fn new(plan: Plan) -> World {
        let rng = SmallRng::seed_from_u64(plan.seed);
        World {
            plan,
            rng,
            now: Time::ZERO,
            queue: BTreeMap::new(),
            order: 0,
            nodes: Vec::new(),
            store: StandIn::default(),
            cuts: Vec::new(),
            operators: Vec::new(),
            report: Report::default(),
            quiet: false,
            vms: Vec::new(),
            owned: BTreeMap::new(),
            next_vm: 0,
            addresses: BTreeMap::new(),
        }
    }

    fn begin(&mut self) {
        for site in 0..self.plan.sites.len() {
            for _ in 0..self.plan.sites[site].members {
                let vm = self.new_vm();
                let after = Duration::from_millis(self.rng.random_range(0..2_000));
                self.after(after, Item::Start { site, vm });
            }
        }
        self.after(Duration::from_millis(10), Item::Change);
        self.after(SWEEP, Item::Sweep);
        self.after(VM_LIST, Item::VmList);
        for fault in self.planned_faults() {
            self.push(fault.0, Item::Fault(fault.1));
        }
    }

    pub(crate) fn new_vm(&mut self) -> VmId {
        self.next_vm += 1;
        VmId::from(format!("entry-{}", self.next_vm).as_str())
    }

    fn push(&mut self, at: Time, item: Item) {
        self.order += 1;
        self.queue.insert((at.max(self.now), self.order), item);
    }

    fn after(&mut self, span: Duration, item: Item) {
        self.push(self.now + span, item);
    }

    pub(crate) fn schedule(&mut self, at: Time, fault: Fault) {
        self.push(at, Item::Fault(fault));
    }

    pub(crate) fn schedule_start(&mut self, site: usize, vm: VmId) {
        self.after(RESTART, Item::Start { site, vm });
    }

    pub(crate) fn schedule_finish(&mut self, node: usize, span: Duration) {
        self.after(span, Item::Finish { node });
    }

    /// Runs until `end`.
    pub(crate) fn until(&mut self, end: Time) {
        while let Some(((at, _), _)) =
            self.queue.first_key_value().filter(|((at, _), _)| *at <= end)
        {
            self.now = *at;
            if let Some((_, item)) = self.queue.pop_first() {
                self.take(item);
            }
        }
        self.now = end;
    }

    fn take(&mut self, item: Item) {
        match item {
            Item::Wake { node } => {
                if self.nodes[node].wake <= self.now {
                    self.tell(node, Event::Tick);
                }
            }
            Item::Tell { node, event } => self.tell(node, event),
            Item::Arrive { node, call, request } => self.arrive(node, call, &request),
            Item::Operate { operator } => self.operate(operator),
            Item::Change => self.change(),
            Item::Fault(fault) => self.strike(fault),
            Item::Sweep => self.sweep(),
            Item::VmList => self.list_vms(),
            Item::Start { site, vm } => self.start(site, vm),
            Item::Finish { node } => {
                if self.nodes[node].up {
                    self.tell(node, Event::Finished);
                    self.nodes[node].up = false;
                }
            }
        }
    }

    fn start(&mut self, site: usize, vm: VmId) {
        let incarnation = Incarnation(self.rng.random());
        let zone = format!("zone-{site}");
        let region = format!("region-{}", self.plan.sites[site].region);
        let member = Member {
            incarnation,
            vm: vm.clone(),
            zone: ZoneId::from(zone.as_str()),
            region: RegionId::from(region.as_str()),
            address: vm.to_string(),
        };
        let fleet = Fleet::new(member, self.rng.random());
        let offset = Duration::from_millis(self.rng.random_range(0..10_000_000));
        self.nodes.push(Node {
            fleet,
            site,
            offset,
            up: true,
            paused: Time::ZERO,
            watching: false,
            stale: false,
            leaving: false,
            wake: Time::NEVER,
            started: self.now,
            in_force: Revision(0),
            sent: 0,
        });
        let node = self.nodes.len() - 1;
        self.addresses.insert(vm.to_string(), node);
        self.tell(node, Event::VmList(self.vms.clone()));
        let shards = self.shards();
        self.tell(node, Event::Shards(shards));
    }

    fn shards(&self) -> Vec<Shard> {
        let sites = self.plan.sites.iter().enumerate();
        let shard = |site: usize, region: u32, number: u32| Shard {
            id: ShardId::from(format!("zone-{site}/{number}").as_str()),
            zone: ZoneId::from(format!("zone-{site}").as_str()),
            region: RegionId::from(format!("region-{region}").as_str()),
        };
        sites
            .flat_map(|(index, site)| {
                (0..site.shards).map(move |number| shard(index, site.region, number))
            })
            .collect()
    }

    /// Gives an event to a member, now or when its pause ends.
    pub(crate) fn tell(&mut self, node: usize, event: Event) {
        let target = &mut self.nodes[node];
        if !target.up {
            return;
        }
        if self.now < target.paused {
            let at = target.paused;
            self.push(at, Item::Tell { node, event });
            return;
        }
        let mut out = Vec::new();
        let local = self.now + target.offset;
        target.fleet.handle(local, event, &mut out);
        self.report.events += 1;
        for action in out {
            self.act(node, action);
        }
        self.rest(node);
    }

    fn rest(&mut self, node: usize) {
        let target = &mut self.nodes[node];
        let Some(wake) = target.fleet.next_wake() else { return };
        let wake = wake - target.offset;
        if wake < target.wake || target.wake <= self.now {
            target.wake = wake;
            self.push(wake, Item::Wake { node });
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, address, message } => self.send(node, Some(to), &address, message),
            Action::Greet { address, message } => self.send(node, None, &address, message),
            Action::Reconnect { .. } => {}
            Action::Store { call, request } => self.call(node, call, request),
            Action::Watch(on) => {
                self.nodes[node].watching = on;
                self.nodes[node].stale = on;
            }
            Action::Adopt { revision, .. } => self.adopt(node, revision),
            Action::Own { shard, epoch } => {
                self.report.moves += 1;
                let fresh = self.owned.entry(shard.clone()).or_default().insert(epoch);
                assert!(fresh, "shard {shard} was owned twice in epoch {epoch}");
            }
            Action::MemberDown { incarnation, gone } => self.count_down(incarnation, gone),
            Action::Fenced => {
                self.report.fenced += 1;
                let (site, vm) = self.place_of(node);
                self.nodes[node].up = false;
                // One that was leaving already has its successor.
                if !self.nodes[node].leaving {
                    self.schedule_start(site, vm);
                }
            }
            Action::Disown { .. } | Action::MemberUp(_) | Action::MemberLeaving(_) => {}
        }
    }

    pub(crate) fn place_of(&self, node: usize) -> (usize, VmId) {
        (self.nodes[node].site, self.nodes[node].fleet.me().vm.clone())
    }

    fn count_down(&mut self, incarnation: Incarnation, gone: bool) {
        let mut nodes = self.nodes.iter();
        let up = nodes.any(|n| n.up && !n.leaving && n.fleet.me().incarnation == incarnation);
        self.report.gone += u64::from(gone);
        self.report.gone_wrongly += u64::from(gone && up);
        let warm = self.now >= Time::ZERO + self.plan.warmup;
        self.report.false_silences += u64::from(!gone && up && warm);
    }

    fn adopt(&mut self, node: usize, revision: Revision) {
        let started = self.nodes[node].started;
        let before = self.nodes[node].in_force;
        assert!(revision > before, "revision in force fell from {before} to {revision}");
        let first = Revision(before.0 + 1);
        for (_, (at, _)) in self.store.log.range(first..=revision) {
            if *at > started {
                self.report.spread.push(self.now.since(*at));
            }
        }
        self.nodes[node].in_force = revision;
    }

    fn send(&mut self, from: usize, to: Option<Incarnation>, address: &str, message: Message) {
        let bytes = (self.plan.measure)(&message);
        if self.now >= Time::ZERO + self.plan.warmup {
            self.nodes[from].sent += bytes;
            self.report.messages += 1;
            self.report.bytes += bytes;
        }
        let Some(target) = self.addresses.get(address).copied() else { return };
        let wanted = to.is_none_or(|to| to == self.nodes[target].fleet.me().incarnation);
        if !wanted || !self.nodes[target].up {
            return;
        }
        let lost = !self.quiet && self.rng.random_bool(self.plan.faults.loss);
        if lost || target == from || self.is_cut(from, target) {
            return;
        }
        let delay = self.delay(self.nodes[from].site, self.nodes[target].site);
        let from = self.nodes[from].fleet.me().incarnation;
        self.after(delay, Item::Tell { node: target, event: Event::Message { from, message } });
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let region = |site: usize| self.plan.sites[site].region;
        let base = match (from == to, region(from) == region(to)) {
            (true, _) => ZONE_DELAY,
            (_, true) => REGION_DELAY,
            _ => LINK_DELAY,
        };
        base.mul_f64(1.0 + 0.2 * self.rng.random::<f64>())
    }

    fn call(&mut self, node: usize, call: u64, request: StoreRequest) {
        let second = self.now.micros() / 1_000_000;
        let by = self.report.calls.entry(second).or_default();
        *by.entry(request.purpose()).or_default() += u64::from(request.cost());
        let delay = self.delay(self.nodes[node].site, 0);
        self.after(delay, Item::Arrive { node, call, request });
    }

    fn arrive(&mut self, node: usize, call: u64, request: &StoreRequest) {
        let member = self.nodes[node].fleet.me().clone();
        let failed = Event::Store { call, outcome: StoreOutcome::Failed };
        if self.store.down || self.is_cut_from_store(node) {
            return self.after(CALL_DEADLINE, Item::Tell { node, event: failed });
        }
        let (outcome, events) = self.store.call(self.now, &member, request);
        self.show(&events);
        if self.loses_answer() {
            return self.after(CALL_DEADLINE, Item::Tell { node, event: failed });
        }
        let delay = self.delay(0, self.nodes[node].site);
        self.after(delay, Item::Tell { node, event: Event::Store { call, outcome } });
    }

    fn loses_answer(&mut self) -> bool {
        !self.quiet && self.rng.random_bool(self.plan.faults.store_loss)
    }

    /// Shows changes to every watch.
    fn show(&mut self, events: &[Event]) {
        if events.is_empty() {
            return;
        }
        for node in 0..self.nodes.len() {
            if !self.nodes[node].watching || !self.nodes[node].up {
                continue;
            }
            if self.is_cut_from_store(node) {
                self.nodes[node].stale = true;
                continue;
            }
            if self.loses_answer() {
                continue;
            }
            let delay = self.delay(0, self.nodes[node].site);
            for event in events {
                self.after(delay, Item::Tell { node, event: event.clone() });
            }
        }
    }

    fn change(&mut self) {
        let spread = self.rng.random_range(0.2..1.8);
        self.after(self.plan.change.mul_f64(spread), Item::Change);
        for _ in 0..self.plan.operators {
            let write = WriteId(self.rng.random());
            let expects = self.rng.random_bool(0.5);
            let (revision, _) = self.store.text();
            let base = expects.then_some(revision);
            let at = Stamp(self.now.micros() / 1_000);
            self.operators.push(Operator::new(write, base, self.rng.random(), at));
            let operator = self.operators.len() - 1;
            let after = Duration::from_millis(self.rng.random_range(0..20));
            self.after(after, Item::Operate { operator });
        }
    }

    /// Makes an operator's next call; the answer is back at the operator's next turn.
    fn operate(&mut self, operator: usize) {
        if self.operators[operator].outcome().is_some() {
            return;
        }
        *self.report.applies.entry(self.now.micros() / 1_000_000).or_default() += 1;
        let step = self.operators[operator].apply.step().clone();
        let (answer, events) = match step {
            _ if self.store.down => (Answer::Lost, Vec::new()),
            Step::Read => (self.store.read(), Vec::new()),
            Step::Write { expect, value } => self.store.write(self.now, expect, &value),
            Step::Finished(_) => return,
        };
        self.show(&events);
        let answer = if self.loses_answer() { Answer::Lost } else { answer };
        let wait = match answer {
            Answer::Lost => CALL_DEADLINE,
            _ => Duration::from_millis(self.rng.random_range(2..30)),
        };
        self.operators[operator].apply.answer(answer);
        match self.operators[operator].outcome() {
            Some(outcome) => *self.report.outcomes.entry(name(outcome)).or_default() += 1,
            None => self.after(wait, Item::Operate { operator }),
        }
    }

    fn sweep(&mut self) {
        self.after(SWEEP, Item::Sweep);
        self.drop_cuts();
        let events = self.store.expire(self.now);
        self.show(&events);
        for node in 0..self.nodes.len() {
            let reachable = !self.store.down && !self.is_cut_from_store(node);
            if reachable && self.nodes[node].watching && self.nodes[node].stale {
                self.nodes[node].stale = false;
                for event in self.store.state() {
                    self.tell(node, event);
                }
            }
        }
        self.check_now();
    }

    fn list_vms(&mut self) {
        self.after(VM_LIST, Item::VmList);
        let shown = self.vms.clone();
        for node in 0..self.nodes.len() {
            self.tell(node, Event::VmList(shown.clone()));
        }
        let up = self.nodes.iter().filter(|node| node.up);
        self.vms = up
            .map(|node| VmEntry {
                vm: node.fleet.me().vm.clone(),
                address: node.fleet.me().address.clone(),
                leaving: node.leaving,
            })
            .collect();
    }

    /// Pauses a member.
    pub(crate) fn pause(&mut self, node: usize, span: Duration) {
        self.nodes[node].paused = self.now + span;
    }

    /// Asks a member to leave.
    pub(crate) fn drain(&mut self, node: usize) {
        self.nodes[node].leaving = true;
        self.tell(node, Event::Drain);
    }

    /// Whether a member could take part now.
    pub(crate) fn is_up(&self, node: usize) -> bool {
        self.nodes[node].up && !self.nodes[node].leaving
    }

    /// What a member's clock shows.
    pub(crate) fn local(&self, node: usize) -> Time {
        self.now + self.nodes[node].offset
    }

    /// The run's time at which a member's clock showed `local`.
    pub(crate) fn global(&self, node: usize, local: Time) -> Time {
        local - self.nodes[node].offset
    }

    fn finish(mut self) -> Report {
        for operator in &self.operators {
            let committed = self.store.log.values().find(|(_, r)| r.write == operator.write);
            let revision = committed.map(|(_, record)| record.revision);
            match operator.outcome() {
                Some(Outcome::Applied { revision: said, .. }) => {
                    assert_eq!(revision, Some(*said), "an applied change is stored as told");
                }
                Some(Outcome::Unsettled) | None => {}
                Some(other) => assert_eq!(revision, None, "{other}, but it was stored"),
            }
        }
        self.report.revisions = self.store.log.len() as u64;
        self.report.heaviest = self.nodes.iter().map(|node| node.sent).max().unwrap_or(0);
        let sums = self.report.calls.values().map(|by| by.values().sum::<u64>());
        self.report.peak = sums.max().unwrap_or(0);
        self.report.seconds = self.now.micros() / 1_000_000;
        self.report
    }
}
