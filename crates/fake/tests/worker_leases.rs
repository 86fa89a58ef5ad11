//! Tests of the leases of simulated workers.

use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use fake::Connection;
use fake::Ending;
use fake::WorkerFleet;
use fake::WorkerOptions;
use wire::border::LeaseAnswer;
use wire::border::LeaseCall;
use wire::border::LeaseKey;
use wire::border::RenewAnswer;
use wire::border::RenewCall;
use wire::border::StartAnswer;
use wire::border::StartCall;
use wire::border::TaskAnswer;
use wire::border::TaskSpec;
use wire::border::WorkerReport;

const WORKER: &str = "worker-0000";
const LONG_MS: u64 = 3_600_000;
const SHORT_MS: u64 = 30;

fn fleet() -> WorkerFleet {
    WorkerFleet::start(WorkerOptions::new(2)).expect("port is free")
}

fn job(sequence: u64) -> String {
    format!("{:016x}:{sequence}", 7)
}

async fn call<T: serde::Serialize>(fleet: &WorkerFleet, action: &str, value: &T) -> fake::Reply {
    let path = format!("/w/{WORKER}/{action}");
    let reply = fake::send(fleet.address(), fake::post(&path, value)).await;
    reply.expect("the worker answers")
}

async fn lease(fleet: &WorkerFleet, job: &str, attempt: u64, indexes: &[u8]) -> LeaseAnswer {
    lease_for(fleet, job, attempt, indexes, LONG_MS).await
}

async fn lease_for(
    fleet: &WorkerFleet,
    job: &str,
    attempt: u64,
    indexes: &[u8],
    ttl_ms: u64,
) -> LeaseAnswer {
    let accelerators = indexes.to_vec();
    let body = LeaseCall { job: job.to_owned(), attempt, accelerators, ttl_ms };
    call(fleet, "lease", &body).await.json()
}

async fn start(fleet: &WorkerFleet, job: &str, attempt: u64, ttl_ms: u64) -> StartAnswer {
    let task = TaskSpec {
        index: 0,
        service: "sorting".to_owned(),
        accelerators: vec![0],
        millicores: 1_000,
        memory_mib: 1_024,
        declared_ms: LONG_MS,
    };
    let body = StartCall { job: job.to_owned(), attempt, tasks: vec![task], ttl_ms };
    call(fleet, "start", &body).await.json()
}

fn key(job: &str, attempt: u64) -> LeaseKey {
    LeaseKey { job: job.to_owned(), attempt }
}

async fn renew(fleet: &WorkerFleet, leases: Vec<LeaseKey>, ttl_ms: u64) -> RenewAnswer {
    call(fleet, "renew", &RenewCall { leases, ttl_ms }).await.json()
}

#[tokio::test]
async fn refuses_second_holder() {
    let fleet = fleet();
    assert!(lease(&fleet, &job(1), 1, &[0, 1]).await.granted);
    let refused = lease(&fleet, &job(2), 1, &[1, 2]).await;
    assert!(!refused.granted);
    assert_eq!(refused.reason, "accelerator 1 is held");
    assert!(lease(&fleet, &job(2), 2, &[2, 3]).await.granted);
    assert!(lease(&fleet, &job(1), 1, &[0, 1]).await.granted, "a repeat is answered as before");
    assert!(!lease(&fleet, &job(1), 1, &[4]).await.granted);
    assert!(!lease(&fleet, &job(3), 1, &[8]).await.granted, "there are 8 accelerators");
    assert_eq!(fleet.leased_accelerators(), 4);
}

#[tokio::test]
async fn refuses_outdated_attempts() {
    let fleet = fleet();
    let newer = lease(&fleet, &job(1), 5, &[0]).await;
    assert_eq!((newer.granted, newer.attempt), (true, 5));
    let older = lease(&fleet, &job(1), 4, &[1]).await;
    assert_eq!((older.granted, older.attempt), (false, 5));
    let released: TaskAnswer = call(&fleet, "release", &key(&job(1), 5)).await.json();
    assert!(released.done);
    assert!(!lease(&fleet, &job(1), 5, &[0]).await.granted, "a released attempt gets no new lease");
    assert!(!start(&fleet, &job(1), 5, LONG_MS).await.started);
    assert!(lease(&fleet, &job(1), 6, &[0]).await.granted);
}

#[tokio::test]
async fn release_fences_attempt() {
    let fleet = fleet();
    let released: TaskAnswer = call(&fleet, "release", &key(&job(1), 3)).await.json();
    assert!(released.done);
    assert!(
        !lease(&fleet, &job(1), 3, &[0]).await.granted,
        "a lease call after the release is refused"
    );
}

#[tokio::test]
async fn lapse_ends_tasks() {
    let fleet = fleet();
    assert!(lease(&fleet, &job(1), 1, &[0]).await.granted);
    assert!(start(&fleet, &job(1), 1, LONG_MS).await.started);
    assert!(start(&fleet, &job(1), 1, LONG_MS).await.started, "a repeat is answered as before");
    assert_eq!(renew(&fleet, vec![key(&job(1), 1)], SHORT_MS).await.lapsed, vec![]);
    while fleet.leased_accelerators() > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(renew(&fleet, vec![key(&job(1), 1)], LONG_MS).await.lapsed, vec![key(&job(1), 1)]);
    let runs = fleet.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].ending, Some(Ending::Lapsed));
    let ran = runs[0].to.expect("the run has ended").since(runs[0].from);
    assert!(ran >= Duration::from_millis(SHORT_MS), "{ran:?}");
}

#[tokio::test]
async fn slow_clock_keeps_lease() {
    let fleet = fleet();
    fleet.set_faults(WORKER, |faults| faults.clock_rate = 1e-3);
    assert!(lease_for(&fleet, &job(1), 1, &[0], 1_000).await.granted);
    let path = format!("/w/{WORKER}/report");
    let report = fake::send(fleet.address(), fake::get(&path)).await;
    let report: WorkerReport = report.expect("the worker answers").json();
    assert!(report.leases[0].left_ms > 1_000, "{report:?}");
}

#[tokio::test]
async fn leases_lapse_on_silent_worker() {
    let fleet = fleet();
    assert!(lease(&fleet, &job(1), 1, &[0]).await.granted);
    assert!(start(&fleet, &job(1), 1, LONG_MS).await.started);
    renew(&fleet, vec![key(&job(1), 1)], SHORT_MS).await;
    fleet.set_faults(WORKER, |faults| faults.silent = true);
    let path = format!("/w/{WORKER}/report");
    let mut connection = Connection::open(fleet.address()).await.expect("the port is open");
    let silent = timeout(Duration::from_millis(100), connection.send(fake::get(&path))).await;
    assert!(silent.is_err(), "a silent worker neither answers nor closes the connection");
    while fleet.leased_accelerators() > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(fleet.runs()[0].ending, Some(Ending::Lapsed));
}

#[tokio::test]
async fn kill_ends_everything() {
    let fleet = fleet();
    assert!(lease(&fleet, &job(1), 1, &[0]).await.granted);
    assert!(start(&fleet, &job(1), 1, LONG_MS).await.started);
    fleet.kill(WORKER);
    let path = format!("/w/{WORKER}/report");
    assert!(fake::send(fleet.address(), fake::get(&path)).await.is_none());
    assert_eq!(fleet.runs()[0].ending, Some(Ending::Died));
    fleet.restart(WORKER);
    let report = fake::send(fleet.address(), fake::get(&path)).await;
    let report: WorkerReport = report.expect("the worker answers").json();
    assert_eq!((report.leases, report.tasks), (vec![], vec![]));
    assert!(lease(&fleet, &job(1), 2, &[0]).await.granted);
}

#[tokio::test]
async fn calls_with_lost_answers_take_effect() {
    let fleet = fleet();
    fleet.set_faults(WORKER, |faults| faults.lose_answer = 1.0);
    let body = LeaseCall { job: job(1), attempt: 1, accelerators: vec![0, 1], ttl_ms: LONG_MS };
    let path = format!("/w/{WORKER}/lease");
    assert!(fake::send(fleet.address(), fake::post(&path, &body)).await.is_none());
    assert_eq!(fleet.leased_accelerators(), 2);
}

#[tokio::test]
async fn malformed_calls_are_rejected() {
    let fleet = fleet();
    let malformed = LeaseCall { job: "x".to_owned(), attempt: 1, accelerators: vec![0], ttl_ms: 1 };
    assert_eq!(call(&fleet, "lease", &malformed).await.status, 400);
    assert_eq!(call(&fleet, "dance", &malformed).await.status, 404);
    assert_eq!(call(&fleet, "renew", &"text").await.status, 400);
    let unknown_worker = fake::send(fleet.address(), fake::get("/w/nobody/report")).await;
    assert_eq!(unknown_worker.expect("the fleet answers").status, 404);
}
