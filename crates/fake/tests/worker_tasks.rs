//! Tests of the tasks of simulated workers, and of the check of their run records.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use fake::Ending;
use fake::Gang;
use fake::TaskTimes;
use fake::Violation;
use fake::WorkerFaults;
use fake::WorkerFleet;
use fake::WorkerOptions;
use model::Incarnation;
use model::JobId;
use wire::border::LeaseAnswer;
use wire::border::LeaseCall;
use wire::border::StartAnswer;
use wire::border::StartCall;
use wire::border::TaskAction;
use wire::border::TaskAnswer;
use wire::border::TaskCall;
use wire::border::TaskReport;
use wire::border::TaskSpec;
use wire::border::TaskState;
use wire::border::WorkerReport;

const LONG_MS: u64 = 3_600_000;

fn fleet(times: TaskTimes) -> WorkerFleet {
    let options = WorkerOptions { times, ..WorkerOptions::new(2) };
    WorkerFleet::start(options).expect("port is free")
}

fn job(sequence: u64) -> JobId {
    JobId { home: Incarnation(7), sequence }
}

async fn call<T: Serialize, A: DeserializeOwned>(
    fleet: &WorkerFleet,
    worker: usize,
    action: &str,
    value: &T,
) -> A {
    let path = format!("/w/worker-{worker:04}/{action}");
    let reply = fake::send(fleet.address(), fake::post(&path, value)).await;
    reply.expect("the worker answers").json()
}

async fn report(fleet: &WorkerFleet) -> WorkerReport {
    let reply = fake::send(fleet.address(), fake::get("/w/worker-0000/report")).await;
    reply.expect("the worker answers").json()
}

/// Leases one accelerator and starts one task on it.
async fn start(fleet: &WorkerFleet, worker: usize, job: JobId, attempt: u64, index: u32, ms: u64) {
    let accelerators = vec![u8::try_from(index).expect("index is small")];
    let lease = LeaseCall {
        job: job.to_string(),
        attempt,
        accelerators: accelerators.clone(),
        ttl_ms: LONG_MS,
    };
    let leased: LeaseAnswer = call(fleet, worker, "lease", &lease).await;
    assert!(leased.granted, "{leased:?}");
    let task = TaskSpec {
        index,
        service: "sorting".to_owned(),
        accelerators,
        millicores: 1_000,
        memory_mib: 1_000,
        declared_ms: ms,
    };
    let body = StartCall { job: job.to_string(), attempt, tasks: vec![task], ttl_ms: LONG_MS };
    let started: StartAnswer = call(fleet, worker, "start", &body).await;
    assert!(started.started, "{started:?}");
}

async fn act(fleet: &WorkerFleet, worker: usize, job: JobId, attempt: u64, action: TaskAction) {
    let body =
        TaskCall { job: job.to_string(), attempt, action, index: None, millicores: Some(500) };
    let answer: TaskAnswer = call(fleet, worker, "task", &body).await;
    assert!(answer.done, "{answer:?}");
}

/// Waits until the first task of worker 0 has ended, and returns its report.
async fn wait_for_end(fleet: &WorkerFleet) -> TaskReport {
    loop {
        let report = report(fleet).await;
        let task = report.tasks.into_iter().next().expect("a task was started");
        if task.state != TaskState::Running {
            return task;
        }
        sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn tasks_end_by_themselves() {
    let fleet = fleet(TaskTimes::default());
    start(&fleet, 0, job(1), 1, 0, 20).await;
    let task = wait_for_end(&fleet).await;
    assert_eq!((task.state, task.exit, task.ran_ms), (TaskState::Succeeded, Some(0), 20));
    let run = &fleet.runs()[0];
    assert_eq!(run.ending, Some(Ending::Succeeded));
    assert_eq!(run.to.expect("it ended").since(run.from), Duration::from_millis(20));
    assert_eq!(fleet.leased_accelerators(), 1, "the lease is held until it is released");
}

#[tokio::test]
async fn estimate_errors() {
    let times = TaskTimes {
        per_second: Duration::from_millis(1),
        estimate_error: 4.0,
        ..TaskTimes::default()
    };
    let mut run_times = Vec::new();
    for _ in 0..2 {
        let fleet = fleet(times);
        for sequence in 0..8 {
            let index = u32::try_from(sequence).expect("number is small");
            start(&fleet, 0, job(sequence), 1, index, 1_000).await;
        }
        while fleet.runs().iter().any(|run| run.to.is_none()) {
            sleep(Duration::from_millis(1)).await;
        }
        let run_time = |run: &fake::Run| run.to.expect("it ended").since(run.from);
        run_times.push(fleet.runs().iter().map(run_time).collect::<Vec<_>>());
    }
    assert_eq!(run_times[0], run_times[1], "run times depend only on the seed");
    let (shortest, longest) = (run_times[0].iter().min(), run_times[0].iter().max());
    assert!(shortest >= Some(&Duration::from_micros(249)), "{run_times:?}");
    assert!(longest <= Some(&Duration::from_micros(4_001)), "{run_times:?}");
    assert_ne!(shortest, longest);
}

#[tokio::test]
async fn checkpoint_survives_attempt() {
    let fleet = fleet(TaskTimes::default());
    start(&fleet, 0, job(1), 1, 0, LONG_MS).await;
    while report(&fleet).await.tasks[0].ran_ms == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    act(&fleet, 0, job(1), 1, TaskAction::Checkpoint).await;
    let saved = report(&fleet).await.tasks[0].checkpoint_ms;
    assert!(saved > 0);
    act(&fleet, 0, job(1), 1, TaskAction::Stop).await;
    let stopped = &report(&fleet).await.tasks[0];
    assert_eq!((stopped.state, stopped.exit), (TaskState::Stopped, Some(137)));
    start(&fleet, 1, job(1), 2, 0, LONG_MS).await;
    let run = fleet.runs().into_iter().find(|run| run.attempt == 2).expect("it was started");
    assert_eq!(run.ending, None);
    act(&fleet, 1, job(1), 2, TaskAction::Throttle).await;
    let reply = fake::send(fleet.address(), fake::get("/w/worker-0001/report")).await;
    let report: WorkerReport = reply.expect("the worker answers").json();
    assert!(report.tasks[0].throttled);
    assert_eq!(report.tasks[0].millicores, 500);
    assert!(report.tasks[0].ran_ms >= saved, "the new attempt continues from the checkpoint");
}

#[tokio::test]
async fn faulty_worker_fails_all_tasks() {
    let fleet = fleet(TaskTimes::default());
    fleet.set_faults("worker-0000", |faults| *faults = WorkerFaults::fail_all_tasks());
    start(&fleet, 0, job(1), 1, 0, LONG_MS).await;
    let task = wait_for_end(&fleet).await;
    assert_eq!((task.state, task.exit), (TaskState::Failed, Some(1)));
}

#[tokio::test]
async fn overrun_is_stopped() {
    let fleet = fleet(TaskTimes::default());
    fleet.set_faults("worker-0000", |faults| faults.overrun = 1.0);
    start(&fleet, 0, job(1), 1, 0, 50).await;
    assert_eq!(wait_for_end(&fleet).await.state, TaskState::Overrun);
}

#[tokio::test]
async fn usage_reports_lag() {
    let fleet = fleet(TaskTimes::default());
    start(&fleet, 0, job(1), 1, 0, LONG_MS).await;
    assert_eq!(report(&fleet).await.tasks[0].millicores, 1_000);
    fleet.set_faults("worker-0000", |faults| faults.lag = Duration::from_secs(3600));
    let lagging = report(&fleet).await;
    assert_eq!((lagging.lag_ms, lagging.tasks[0].millicores), (3_600_000, 0));
    assert_eq!(lagging.tasks[0].state, TaskState::Running);
}

#[tokio::test]
async fn detects_partial_gang() {
    let fleet = fleet(TaskTimes::default());
    let gang = Gang { job: job(1), tasks: 2, idempotent: true };
    start(&fleet, 0, job(1), 1, 0, LONG_MS).await;
    let violations = fleet.violations(&[gang], Duration::ZERO);
    assert!(matches!(violations[..], [Violation::Partial { attempt: 1, .. }]), "{violations:?}");
    assert_eq!(fleet.violations(&[gang], Duration::from_secs(3600)), vec![]);
    start(&fleet, 1, job(1), 1, 1, LONG_MS).await;
    assert_eq!(fleet.violations(&[gang], Duration::from_secs(3600)), vec![]);
    fleet.kill("worker-0001");
    sleep(Duration::from_millis(5)).await;
    let violations = fleet.violations(&[gang], Duration::ZERO);
    assert!(matches!(violations[..], [Violation::Partial { .. }]), "{violations:?}");
}

#[tokio::test]
async fn detects_duplicate_runs() {
    let fleet = fleet(TaskTimes::default());
    let idempotent = Gang { job: job(1), tasks: 1, idempotent: true };
    let non_idempotent = Gang { idempotent: false, ..idempotent };
    start(&fleet, 0, job(1), 1, 0, LONG_MS).await;
    start(&fleet, 1, job(1), 2, 0, 1).await;
    sleep(Duration::from_millis(5)).await;
    let violations = fleet.violations(&[idempotent], Duration::ZERO);
    let overlap =
        |violation: &Violation| matches!(violation, Violation::Overlap { first: 1, second: 2, .. });
    assert!(violations.iter().any(overlap), "{violations:?}");
    assert_eq!(fleet.violations(&[idempotent], Duration::from_secs(3600)), vec![]);
    let violations = fleet.violations(&[non_idempotent], Duration::from_secs(3600));
    assert_eq!(violations, vec![Violation::Twice { job: job(1), index: 0 }]);
}
