//! Calls to idle workers, and the processor time of the decisions, in the first seconds after a
//! takeover. Prints a JSON line for each number of workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use batch::Action;
use batch::Event;
use batch::Need;
use batch::Planner;
use batch::Policy;
use batch::RenewalReport;
use batch::Settings;
use batch::ViewBounds;
use batch::WorkerId;
use batch::WorkerInfo;
use model::Stamp;
use model::Time;

const WORKERS: [u32; 3] = [48, 350, 9_300];
/// Time after the takeover, in ms.
const SPAN_MS: u64 = 20_000;
/// Interval in which answers are collected before the next decision, in ms.
const STEP_MS: u64 = 10;
/// How long a former owner may go on.
const SOLO: Duration = Duration::from_secs(3);

fn worker(number: u32) -> WorkerInfo {
    let [_, _, high, low] = number.to_be_bytes();
    WorkerInfo {
        id: WorkerId(format!("i-{number:04}").into()),
        service: "service".to_owned(),
        address: SocketAddr::from(([10, 0, high, low], 8_000)),
        zone: "north-a".to_owned(),
        rack: "r0".to_owned(),
        labels: Vec::new(),
        capacity: Need { cpu: 64_000, memory: 262_144, gpu: 8 },
        incarnation: Some(1),
        drain_left: None,
        cold_left: None,
    }
}

fn planner(workers: u32) -> Planner {
    let settings = Settings {
        lease: Duration::from_secs(60),
        stop: Duration::from_millis(200),
        retention: Duration::from_secs(120),
        bounds: ViewBounds::default(),
    };
    let mut planner = Planner::new(settings, Time::from_millis(STEP_MS), SOLO);
    let policy = Policy {
        services: BTreeMap::from([("service".to_owned(), batch::Service::default())]),
        ..Policy::default()
    };
    let now = Time::from_millis(STEP_MS);
    planner.apply(now, Event::Configured(Arc::new(policy)));
    planner.apply(now, Event::Listed((0..workers).map(worker).collect()));
    planner.apply(now, Event::RestoreComplete);
    planner
}

/// Answers each renewal when its wait is over.
fn measure(workers: u32) {
    let mut planner = planner(workers);
    let mut answers: BTreeMap<u64, Vec<(WorkerId, u64)>> = BTreeMap::new();
    let (mut calls, mut decisions, mut elapsed) = (0_u64, 0_u64, Duration::ZERO);
    let mut ms = STEP_MS;
    while ms < STEP_MS + SPAN_MS {
        let now = Time::from_millis(ms);
        let later = answers.split_off(&(ms + 1));
        let due = std::mem::replace(&mut answers, later);
        let start = Instant::now();
        for (id, sent) in due.into_values().flatten() {
            let report = RenewalReport {
                sent: Time::from_millis(sent),
                clock: ms,
                incarnation: 1,
                running: Vec::new(),
                ended: Vec::new(),
                truncated: false,
            };
            planner.apply(now, Event::Renewed(id, report));
        }
        let actions = planner.decide(now, Stamp(ms));
        elapsed += start.elapsed();
        decisions += 1;
        for action in actions {
            if let Action::Renew { worker, wait, .. } = action {
                calls += 1;
                answers.entry(ms + wait + 1).or_default().push((worker, ms));
            }
        }
        ms += STEP_MS;
    }
    let figures = serde_json::json!({
        "workers": workers,
        "seconds": SPAN_MS / 1_000,
        "calls": calls,
        "decisions": decisions,
        "processor_ms": (elapsed.as_secs_f64() * 1_000.0).round(),
    });
    println!("{figures}");
}

fn main() {
    for workers in WORKERS {
        measure(workers);
    }
}
