//! Compares three dispatch policies on the same seeded arrivals at production size.
//!
//! `fifo` is one queue for all slots and `least_loaded` one queue per backend server, both with
//! perfect knowledge. `basilrack` is eight routers with a delay of 1.4 ms between them, to which
//! requests are assigned at random. The run time of a request is the time that it occupies a slot,
//! network delay to the backend server and back included. With `--json`, each result is one line of
//! JSON.

#[path = "policy/arrivals.rs"]
mod arrivals;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use self::arrivals::Job;
use self::arrivals::OVERLOAD_SECS;
use self::arrivals::OVERLOAD_START_SECS;
use self::arrivals::overload;
use self::arrivals::saturation;
use self::arrivals::short_rate;
use self::arrivals::stragglers;
use model::Class;
use model::Incarnation;
use model::Time;
use route::AccountPolicy;
use route::Action;
use route::AttemptResult;
use route::Backend;
use route::Call;
use route::Event;
use route::Peer;
use route::Policy;
use route::Router;
use route::ServicePolicy;
use route::Settings;
use route::Ticket;

const BACKENDS: usize = 48;
const SLOTS: usize = 8;
const VMS: usize = 8;
const PEER_DELAY: Duration = Duration::from_micros(1_400);
const SHORT_DEADLINE: Duration = Duration::from_secs(1);
const BATCH_DEADLINE: Duration = Duration::from_secs(30);
/// Time before the first arrival in which the routers distribute credits.
const WARM_UP: Duration = Duration::from_secs(2);
const WEIGHTS: [u32; 4] = [4, 2, 1, 1];

/// Replays arrivals under one policy and returns the outcome of each.
type Replay = fn(&[Job]) -> Vec<Outcome>;

/// When a request started and ended, if it did.
#[derive(Clone, Copy, Default)]
struct Outcome {
    started: Option<Time>,
    ended: Option<Time>,
}

fn deadline(class: Class) -> Duration {
    match class {
        Class::Interactive => SHORT_DEADLINE,
        Class::Batch => BATCH_DEADLINE,
    }
}

/// Simulates one queue per group of slots, with groups of equal size; a new request joins the least
/// loaded group.
fn replay_queues(jobs: &[Job], groups: usize) -> Vec<Outcome> {
    let slots = BACKENDS * SLOTS / groups;
    let mut outcomes = vec![Outcome::default(); jobs.len()];
    let mut waiting: Vec<VecDeque<usize>> = vec![VecDeque::new(); groups];
    let mut busy = vec![0; groups];
    let mut ends: BTreeMap<(Time, usize), usize> = BTreeMap::new();
    let mut next = 0;
    while next < jobs.len() || !ends.is_empty() {
        let arrival = jobs.get(next).map_or(Time::NEVER, |job| job.at);
        let end = ends.first_key_value().map_or(Time::NEVER, |((time, _), _)| *time);
        let (now, group) = if arrival < end {
            let load = |group: &usize| waiting[*group].len() + busy[*group];
            let group = (0..groups).min_by_key(load).unwrap_or(0);
            waiting[group].push_back(next);
            next += 1;
            (arrival, group)
        } else if let Some(((time, _), group)) = ends.pop_first() {
            busy[group] -= 1;
            (time, group)
        } else {
            break;
        };
        if busy[group] < slots
            && let Some(job) = waiting[group].pop_front()
        {
            busy[group] += 1;
            let end = now + jobs[job].run;
            outcomes[job] = Outcome { started: Some(now), ended: Some(end) };
            ends.insert((end, job), group);
        }
    }
    outcomes
}

/// Simulation of the routers of all entry VMs with their peer messages and attempts.
struct RouterCluster<'a> {
    jobs: &'a [Job],
    outcomes: Vec<Outcome>,
    routers: Vec<Router>,
    event_queue: BTreeMap<(Time, u64), (usize, Event)>,
    wakes: Vec<Option<Time>>,
    count: u64,
    by_id: BTreeMap<model::RequestId, usize>,
}

impl RouterCluster<'_> {
    fn new(jobs: &[Job]) -> RouterCluster<'_> {
        let place = ("z1", "r1");
        let router = |vm: usize| {
            let me = Incarnation(vm as u64 + 1);
            Router::new(Settings::default(), me, place.0.into(), place.1.into(), vm as u64)
        };
        let mut all = RouterCluster {
            jobs,
            outcomes: vec![Outcome::default(); jobs.len()],
            routers: (0..VMS).map(router).collect(),
            event_queue: BTreeMap::new(),
            wakes: vec![None; VMS],
            count: 0,
            by_id: BTreeMap::new(),
        };
        for vm in 0..VMS {
            all.handle(vm, Time::ZERO, Event::Policy { policy: policy() });
            for other in (0..VMS).filter(|other| *other != vm) {
                let incarnation = Incarnation(other as u64 + 1);
                let (zone, region) = (place.0.into(), place.1.into());
                let peer = Peer { incarnation, vm: "vm".into(), zone, region };
                all.handle(vm, Time::ZERO, Event::PeerUp { peer });
            }
            let list = (0..BACKENDS).map(|index| Backend {
                id: format!("b{index}").as_str().into(),
                pool: "hub".into(),
                zone: place.0.into(),
                region: place.1.into(),
                slots: SLOTS as u32,
                connections: 64,
                leaving: false,
            });
            all.handle(vm, Time::ZERO, Event::Backends { list: list.collect() });
        }
        all
    }

    fn handle(&mut self, vm: usize, now: Time, event: Event) {
        let mut out = Vec::new();
        self.routers[vm].handle(now, event, &mut out);
        self.wakes[vm] = self.routers[vm].next_wake();
        for action in out {
            self.count += 1;
            match action {
                Action::Send { to, message } => {
                    let event = Event::Peer { from: Incarnation(vm as u64 + 1), message };
                    let to = to.0 as usize - 1;
                    self.event_queue.insert((now + PEER_DELAY, self.count), (to, event));
                }
                Action::Dispatch { id, attempt, .. } => {
                    let job = self.by_id[&id];
                    let end = now + self.jobs[job].run;
                    self.outcomes[job] =
                        Outcome { started: Some(now - WARM_UP), ended: Some(end - WARM_UP) };
                    let result = AttemptResult::Answered { status: 200, body: Bytes::new() };
                    let event = Event::Attempt { id, attempt, result };
                    self.event_queue.insert((end, self.count), (vm, event));
                }
                _ => {}
            }
        }
    }

    fn run(mut self) -> Vec<Outcome> {
        let mut rng = StdRng::seed_from_u64(9);
        let last = self.jobs.last().map_or(Time::ZERO, |job| job.at) + Duration::from_secs(60);
        let mut next = 0;
        loop {
            let arrival = self.jobs.get(next).map_or(Time::NEVER, |job| job.at + WARM_UP);
            let planned =
                self.event_queue.first_key_value().map_or(Time::NEVER, |((time, _), _)| *time);
            let wake = (0..VMS).filter_map(|vm| Some((self.wakes[vm]?, vm))).min();
            let wake = wake.unwrap_or((Time::NEVER, 0));
            let now = arrival.min(planned).min(wake.0);
            if now > last {
                break;
            }
            if now == planned {
                if let Some((_, (vm, event))) = self.event_queue.pop_first() {
                    self.handle(vm, now, event);
                }
            } else if now == wake.0 {
                self.handle(wake.1, now, Event::Tick);
            } else {
                let vm = rng.random_range(0..VMS);
                let id = self.routers[vm].issue_id();
                self.by_id.insert(id, next);
                let job = &self.jobs[next];
                let service = job.class.as_ref().into();
                let account = format!("a{}", job.account).as_str().into();
                let call = Call {
                    id,
                    service,
                    account,
                    deadline: deadline(job.class),
                    body: Bytes::new(),
                };
                self.handle(vm, now, Event::Call { ticket: Ticket(next as u64), call });
                next += 1;
            }
        }
        self.outcomes
    }
}

fn policy() -> Arc<Policy> {
    let service = |class: Class| {
        let mut policy = ServicePolicy::new("hub".into(), class);
        policy.timeout = Duration::from_secs(60);
        (class.as_ref().into(), policy)
    };
    let account = |(index, weight): (usize, &u32)| {
        let policy = AccountPolicy { weight: *weight, ..AccountPolicy::default() };
        (format!("a{index}").as_str().into(), policy)
    };
    let accounts = WEIGHTS.iter().enumerate().map(account).collect();
    let services = BTreeMap::from([service(Class::Interactive), service(Class::Batch)]);
    Arc::new(Policy { services, accounts, ..Policy::default() })
}

fn in_time(job: &Job, outcome: &Outcome) -> bool {
    outcome.ended.is_some_and(|end| end <= job.at + deadline(job.class))
}

fn main() {
    let json = std::env::args().any(|a| a == "--json");
    let print = |measure: &str, policy: &str, value: f64, unit: &str| {
        let line =
            serde_json::json!({"measure": measure, "policy": policy, "value": value, "unit": unit});
        if json {
            println!("{line}")
        } else {
            println!("{measure:18} {policy:14} {value:10.3} {unit}")
        }
    };
    let replays: [(&str, Replay); 3] = [
        ("fifo", |jobs| replay_queues(jobs, 1)),
        ("least_loaded", |jobs| replay_queues(jobs, BACKENDS)),
        ("basilrack", |jobs| RouterCluster::new(jobs).run()),
    ];
    for (name, replay) in replays {
        let jobs = stragglers();
        let outcomes = replay(&jobs);
        let both = || jobs.iter().zip(&outcomes);
        let short = both().filter(|(job, _)| job.class == Class::Interactive);
        // A request that never started counts as having waited until its deadline.
        let wait =
            |(job, o): (&Job, &Outcome)| o.started.map_or(SHORT_DEADLINE, |s| s.since(job.at));
        let mut waits: Vec<Duration> = short.map(wait).collect();
        waits.sort_unstable();
        print("short_wait_p99", name, waits[waits.len() * 99 / 100].as_secs_f64() * 1e3, "ms");
        let batch: Vec<_> = both().filter(|(job, _)| job.class == Class::Batch).collect();
        let late = batch.iter().filter(|(job, outcome)| !in_time(job, outcome)).count();
        print("patient_late", name, late as f64 / batch.len() as f64 * 100.0, "%");

        let jobs = overload();
        let outcomes = replay(&jobs);
        let both = || jobs.iter().zip(&outcomes);
        let seconds = |time: Time| time.micros() as f64 / 1e6;
        let end = OVERLOAD_START_SECS + OVERLOAD_SECS;
        let inside = |o: &Outcome| {
            o.ended.is_some_and(|e| seconds(e) >= OVERLOAD_START_SECS && seconds(e) < end)
        };
        let good = both().filter(|(job, o)| inside(o) && in_time(job, o)).count();
        print("crest_goodput", name, good as f64 / (short_rate(1.0) * OVERLOAD_SECS), "of best");
        let bad = both()
            .filter(|(job, o)| seconds(job.at) >= end && wait((job, o)) > SHORT_DEADLINE / 10);
        let last = bad.map(|(job, _)| seconds(job.at) - end).fold(0.0, f64::max);
        print("crest_recovery", name, last, "s");

        let jobs = saturation();
        let outcomes = replay(&jobs);
        let mut spent = [0.0; 4];
        for (job, o) in jobs.iter().zip(&outcomes) {
            if o.ended.is_some_and(|e| (2.0..20.0).contains(&seconds(e))) {
                spent[job.account] += job.run.as_secs_f64();
            }
        }
        let total: f64 = spent.iter().sum();
        let weights: u32 = WEIGHTS.iter().sum();
        let share = |(spent, weight): (&f64, &u32)| {
            (spent / total / (f64::from(*weight) / f64::from(weights)) - 1.0).abs() * 100.0
        };
        print(
            "fair_share_error",
            name,
            spent.iter().zip(&WEIGHTS).map(share).fold(0.0, f64::max),
            "%",
        );
    }
}
