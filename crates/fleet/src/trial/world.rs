//! Simulation of members, network, store and time.

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
use crate::trial::fake_store::FakeStore;
use crate::trial::faults::Cut;
use crate::trial::faults::Fault;
use crate::trial::operator::Operator;
use crate::trial::operator::outcome_name;
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
const INTRA_ZONE_DELAY: Duration = Duration::from_micros(300);
/// One-way delay between availability zones of a region.
const INTER_ZONE_DELAY: Duration = Duration::from_micros(1_400);
/// One-way delay between regions.
const INTER_REGION_DELAY: Duration = Duration::from_millis(30);
/// Timeout of a store call without an answer.
const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of invariant checks, lease expiry and watch resyncs.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between readings of the VM list, and the age of the list when it is read.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Time from the end of a process to the start of its successor.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// A simulated process of an entry VM.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) fleet: Fleet,
    pub(crate) site: usize,
    /// Offset of its clock from the simulation's.
    offset: Duration,
    pub(crate) up: bool,
    paused_until: Time,
    watching: bool,
    /// Whether the watch missed events and its state must be reported again.
    needs_resync: bool,
    leaving: bool,
    wake_at: Time,
    pub(crate) started: Time,
    pub(crate) in_force: Revision,
    sent_bytes: u64,
}

#[derive(Debug)]
enum Task {
    Wake { node: usize },
    Deliver { node: usize, event: Event },
    StoreCall { node: usize, call: u64, request: StoreRequest },
    OperatorCall { operator: usize },
    StartChanges,
    Fault(Fault),
    RunChecks,
    VmList,
    Start { site: usize, vm: VmId },
    Finish { node: usize },
}

/// State of a simulation run.
pub(crate) struct World {
    pub(crate) plan: Plan,
    pub(crate) rng: SmallRng,
    pub(crate) now: Time,
    queue: BTreeMap<(Time, u64), Task>,
    last_order: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) store: FakeStore,
    pub(crate) cuts: Vec<Cut>,
    operators: Vec<Operator>,
    pub(crate) report: Report,
    pub(crate) faults_ended: bool,
    vms: Vec<VmEntry>,
    owned_epochs: BTreeMap<ShardId, BTreeSet<Epoch>>,
    next_vm: u32,
    /// Index of the last process started at each address.
    addresses: BTreeMap<String, usize>,
}

/// Runs a plan.
///
/// # Panics
///
/// Panics if an invariant is broken.
pub fn run(plan: &Plan) -> Report {
    let mut world = World::new(plan.clone());
    world.begin();
    let faults_end = Time::ZERO + plan.warmup + plan.length;
    world.run_until(faults_end);
    world.end_faults();
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
            last_order: 0,
            nodes: Vec::new(),
            store: FakeStore::default(),
            cuts: Vec::new(),
            operators: Vec::new(),
            report: Report::default(),
            faults_ended: false,
            vms: Vec::new(),
            owned_epochs: BTreeMap::new(),
            next_vm: 0,
            addresses: BTreeMap::new(),
        }
    }

    fn begin(&mut self) {
        for site in 0..self.plan.sites.len() {
            for _ in 0..self.plan.sites[site].members {
                let vm = self.new_vm();
                let after = Duration::from_millis(self.rng.random_range(0..2_000));
                self.push_after(after, Task::Start { site, vm });
            }
        }
        self.push_after(Duration::from_millis(10), Task::StartChanges);
        self.push_after(CHECK_INTERVAL, Task::RunChecks);
        self.push_after(VM_LIST_INTERVAL, Task::VmList);
        for fault in self.planned_faults() {
            self.push(fault.0, Task::Fault(fault.1));
        }
    }

    pub(crate) fn new_vm(&mut self) -> VmId {
        self.next_vm += 1;
        VmId::from(format!("entry-{}", self.next_vm).as_str())
    }

    fn push(&mut self, at: Time, task: Task) {
        self.last_order += 1;
        self.queue.insert((at.max(self.now), self.last_order), task);
    }

    fn push_after(&mut self, span: Duration, task: Task) {
        self.push(self.now + span, task);
    }

    pub(crate) fn schedule(&mut self, at: Time, fault: Fault) {
        self.push(at, Task::Fault(fault));
    }

    pub(crate) fn schedule_start(&mut self, site: usize, vm: VmId) {
        self.push_after(RESTART_DELAY, Task::Start { site, vm });
    }

    pub(crate) fn schedule_finish(&mut self, node: usize, span: Duration) {
        self.push_after(span, Task::Finish { node });
    }

    /// Executes the scheduled tasks up to `end`.
    pub(crate) fn run_until(&mut self, end: Time) {
        while let Some(((at, _), _)) =
            self.queue.first_key_value().filter(|((at, _), _)| *at <= end)
        {
            self.now = *at;
            if let Some((_, task)) = self.queue.pop_first() {
                self.run_task(task);
            }
        }
        self.now = end;
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Wake { node } => {
                if self.nodes[node].wake_at <= self.now {
                    self.deliver(node, Event::Tick);
                }
            }
            Task::Deliver { node, event } => self.deliver(node, event),
            Task::StoreCall { node, call, request } => self.run_store_call(node, call, &request),
            Task::OperatorCall { operator } => self.run_operator_call(operator),
            Task::StartChanges => self.start_changes(),
            Task::Fault(fault) => self.inject(fault),
            Task::RunChecks => self.run_checks(),
            Task::VmList => self.list_vms(),
            Task::Start { site, vm } => self.start(site, vm),
            Task::Finish { node } => {
                if self.nodes[node].up {
                    self.deliver(node, Event::Finished);
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
            paused_until: Time::ZERO,
            watching: false,
            needs_resync: false,
            leaving: false,
            wake_at: Time::NEVER,
            started: self.now,
            in_force: Revision(0),
            sent_bytes: 0,
        });
        let node = self.nodes.len() - 1;
        self.addresses.insert(vm.to_string(), node);
        self.deliver(node, Event::VmList(self.vms.clone()));
        let shards = self.shards();
        self.deliver(node, Event::Shards(shards));
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

    /// Delivers an event to a member, delayed to the end of its pause.
    pub(crate) fn deliver(&mut self, node: usize, event: Event) {
        let target = &mut self.nodes[node];
        if !target.up {
            return;
        }
        if self.now < target.paused_until {
            let at = target.paused_until;
            self.push(at, Task::Deliver { node, event });
            return;
        }
        let mut out = Vec::new();
        let local = self.now + target.offset;
        target.fleet.handle(local, event, &mut out);
        self.report.events += 1;
        for action in out {
            self.perform(node, action);
        }
        self.schedule_wake(node);
    }

    fn schedule_wake(&mut self, node: usize) {
        let target = &mut self.nodes[node];
        let Some(wake) = target.fleet.next_wake() else { return };
        let wake = wake - target.offset;
        if wake < target.wake_at || target.wake_at <= self.now {
            target.wake_at = wake;
            self.push(wake, Task::Wake { node });
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, address, message } => self.send(node, Some(to), &address, message),
            Action::Greet { address, message } => self.send(node, None, &address, message),
            Action::Reconnect { .. } => {}
            Action::Store { call, request } => self.send_store_call(node, call, request),
            Action::Watch(on) => {
                self.nodes[node].watching = on;
                self.nodes[node].needs_resync = on;
            }
            Action::Adopt { revision, .. } => self.adopt(node, revision),
            Action::Own { shard, epoch } => {
                self.report.moves += 1;
                let is_new = self.owned_epochs.entry(shard.clone()).or_default().insert(epoch);
                assert!(is_new, "shard {shard} was owned twice in epoch {epoch}");
            }
            Action::MemberDown { incarnation, gone } => self.count_member_down(incarnation, gone),
            Action::Fenced => {
                self.report.fenced += 1;
                let (site, vm) = self.place_of(node);
                self.nodes[node].up = false;
                // A member that was leaving already has a successor.
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

    fn count_member_down(&mut self, incarnation: Incarnation, gone: bool) {
        let mut nodes = self.nodes.iter();
        let up = nodes.any(|n| n.up && !n.leaving && n.fleet.me().incarnation == incarnation);
        self.report.gone += u64::from(gone);
        self.report.false_gone += u64::from(gone && up);
        let warm = self.now >= Time::ZERO + self.plan.warmup;
        self.report.false_silences += u64::from(!gone && up && warm);
    }

    fn adopt(&mut self, node: usize, revision: Revision) {
        let started = self.nodes[node].started;
        let before = self.nodes[node].in_force;
        assert!(
            revision > before,
            "revision in force did not increase from {before} to {revision}"
        );
        let first = Revision(before.0 + 1);
        for (_, (at, _)) in self.store.commits.range(first..=revision) {
            if *at > started {
                self.report.spread_times.push(self.now.since(*at));
            }
        }
        self.nodes[node].in_force = revision;
    }

    fn send(&mut self, from: usize, to: Option<Incarnation>, address: &str, message: Message) {
        let bytes = (self.plan.measure)(&message);
        if self.now >= Time::ZERO + self.plan.warmup {
            self.nodes[from].sent_bytes += bytes;
            self.report.messages += 1;
            self.report.bytes += bytes;
        }
        let Some(target) = self.addresses.get(address).copied() else { return };
        let wanted = to.is_none_or(|to| to == self.nodes[target].fleet.me().incarnation);
        if !wanted || !self.nodes[target].up {
            return;
        }
        let lost = !self.faults_ended && self.rng.random_bool(self.plan.faults.loss);
        if lost || target == from || self.is_cut(from, target) {
            return;
        }
        let delay = self.delay(self.nodes[from].site, self.nodes[target].site);
        let from = self.nodes[from].fleet.me().incarnation;
        self.push_after(
            delay,
            Task::Deliver { node: target, event: Event::Message { from, message } },
        );
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let region = |site: usize| self.plan.sites[site].region;
        let base = match (from == to, region(from) == region(to)) {
            (true, _) => INTRA_ZONE_DELAY,
            (_, true) => INTER_ZONE_DELAY,
            _ => INTER_REGION_DELAY,
        };
        base.mul_f64(1.0 + 0.2 * self.rng.random::<f64>())
    }

    fn send_store_call(&mut self, node: usize, call: u64, request: StoreRequest) {
        let second = self.now.micros() / 1_000_000;
        let by = self.report.calls.entry(second).or_default();
        *by.entry(request.purpose()).or_default() += u64::from(request.cost());
        let delay = self.delay(self.nodes[node].site, 0);
        self.push_after(delay, Task::StoreCall { node, call, request });
    }

    fn run_store_call(&mut self, node: usize, call: u64, request: &StoreRequest) {
        let member = self.nodes[node].fleet.me().clone();
        let failed = Event::Store { call, outcome: StoreOutcome::Failed };
        if self.store.down || self.is_cut_from_store(node) {
            return self.push_after(STORE_CALL_TIMEOUT, Task::Deliver { node, event: failed });
        }
        let (outcome, events) = self.store.execute(self.now, &member, request);
        self.notify_watches(&events);
        if self.loses_answer() {
            return self.push_after(STORE_CALL_TIMEOUT, Task::Deliver { node, event: failed });
        }
        let delay = self.delay(0, self.nodes[node].site);
        self.push_after(delay, Task::Deliver { node, event: Event::Store { call, outcome } });
    }

    fn loses_answer(&mut self) -> bool {
        !self.faults_ended && self.rng.random_bool(self.plan.faults.store_loss)
    }

    /// Delivers events to all watches.
    fn notify_watches(&mut self, events: &[Event]) {
        if events.is_empty() {
            return;
        }
        for node in 0..self.nodes.len() {
            if !self.nodes[node].watching || !self.nodes[node].up {
                continue;
            }
            if self.is_cut_from_store(node) {
                self.nodes[node].needs_resync = true;
                continue;
            }
            if self.loses_answer() {
                continue;
            }
            let delay = self.delay(0, self.nodes[node].site);
            for event in events {
                self.push_after(delay, Task::Deliver { node, event: event.clone() });
            }
        }
    }

    fn start_changes(&mut self) {
        let spread = self.rng.random_range(0.2..1.8);
        self.push_after(self.plan.change.mul_f64(spread), Task::StartChanges);
        for _ in 0..self.plan.operators {
            let write = WriteId(self.rng.random());
            let expects = self.rng.random_bool(0.5);
            let (revision, _) = self.store.current_text();
            let base = expects.then_some(revision);
            let at = Stamp(self.now.micros() / 1_000);
            self.operators.push(Operator::new(write, base, self.rng.random(), at));
            let operator = self.operators.len() - 1;
            let after = Duration::from_millis(self.rng.random_range(0..20));
            self.push_after(after, Task::OperatorCall { operator });
        }
    }

    /// Executes an operator's next store call and schedules the one after it.
    fn run_operator_call(&mut self, operator: usize) {
        if self.operators[operator].outcome().is_some() {
            return;
        }
        *self.report.operator_calls.entry(self.now.micros() / 1_000_000).or_default() += 1;
        let step = self.operators[operator].apply.step().clone();
        let (answer, events) = match step {
            _ if self.store.down => (Answer::Lost, Vec::new()),
            Step::Read => (self.store.read_for_operator(), Vec::new()),
            Step::Write { expect, value } => {
                self.store.write_for_operator(self.now, expect, &value)
            }
            Step::Finished(_) => return,
        };
        self.notify_watches(&events);
        let answer = if self.loses_answer() { Answer::Lost } else { answer };
        let wait = match answer {
            Answer::Lost => STORE_CALL_TIMEOUT,
            _ => Duration::from_millis(self.rng.random_range(2..30)),
        };
        self.operators[operator].apply.answer(answer);
        match self.operators[operator].outcome() {
            Some(outcome) => *self.report.outcomes.entry(outcome_name(outcome)).or_default() += 1,
            None => self.push_after(wait, Task::OperatorCall { operator }),
        }
    }

    fn run_checks(&mut self) {
        self.push_after(CHECK_INTERVAL, Task::RunChecks);
        self.drop_cuts();
        let events = self.store.expire(self.now);
        self.notify_watches(&events);
        for node in 0..self.nodes.len() {
            let reachable = !self.store.down && !self.is_cut_from_store(node);
            if reachable && self.nodes[node].watching && self.nodes[node].needs_resync {
                self.nodes[node].needs_resync = false;
                for event in self.store.watch_snapshot() {
                    self.deliver(node, event);
                }
            }
        }
        self.check_invariants();
    }

    fn list_vms(&mut self) {
        self.push_after(VM_LIST_INTERVAL, Task::VmList);
        let shown = self.vms.clone();
        for node in 0..self.nodes.len() {
            self.deliver(node, Event::VmList(shown.clone()));
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

    /// Pauses a member for `span`.
    pub(crate) fn pause(&mut self, node: usize, span: Duration) {
        self.nodes[node].paused_until = self.now + span;
    }

    /// Asks a member to leave.
    pub(crate) fn drain(&mut self, node: usize) {
        self.nodes[node].leaving = true;
        self.deliver(node, Event::Drain);
    }

    /// Whether a member is running and not leaving.
    pub(crate) fn is_up(&self, node: usize) -> bool {
        self.nodes[node].up && !self.nodes[node].leaving
    }

    /// Time of a member's clock.
    pub(crate) fn local_time(&self, node: usize) -> Time {
        self.now + self.nodes[node].offset
    }

    /// Converts a time of a member's clock to the simulation's.
    pub(crate) fn run_time(&self, node: usize, local: Time) -> Time {
        local - self.nodes[node].offset
    }

    fn finish(mut self) -> Report {
        for operator in &self.operators {
            let committed = self.store.commits.values().find(|(_, r)| r.write == operator.write);
            let revision = committed.map(|(_, record)| record.revision);
            match operator.outcome() {
                Some(Outcome::Applied { revision: said, .. }) => {
                    assert_eq!(
                        revision,
                        Some(*said),
                        "an applied change is stored under the reported revision"
                    );
                }
                Some(Outcome::Unsettled) | None => {}
                Some(other) => assert_eq!(revision, None, "{other}, but it was stored"),
            }
        }
        self.report.revisions = self.store.commits.len() as u64;
        self.report.peak_sent = self.nodes.iter().map(|node| node.sent_bytes).max().unwrap_or(0);
        let sums = self.report.calls.values().map(|by| by.values().sum::<u64>());
        self.report.peak_calls = sums.max().unwrap_or(0);
        self.report.seconds = self.now.micros() / 1_000_000;
        self.report
    }
}
