//! Events that the worker client returns when a job is stopped.

use std::collections::BTreeMap;
use std::time::Duration;

use entry::workers::Workers;
use fake::TaskTimes;
use fake::WorkerFleet;
use fake::WorkerOptions;
use gang::Action;
use gang::Attempt;
use gang::Event;
use gang::JobSpec;
use gang::TaskRange;
use gang::TaskStatus;
use gang::WorkerAnswer;
use model::Adjacency;
use model::GangShape;
use model::Incarnation;
use model::JobId;
use model::Priority;
use model::WorkerId;

/// Duration of the leases.
const TTL: Duration = Duration::from_secs(60);
const JOB: JobId = JobId { home: Incarnation(1), sequence: 1 };
const ATTEMPT: Attempt = Attempt(1);

fn spec() -> JobSpec {
    JobSpec {
        id: JOB,
        account: "growers".into(),
        service: "reviews".into(),
        shape: GangShape {
            tasks: 2,
            accelerators: 1,
            millicores: 1_000,
            memory_mib: 1_024,
            adjacency: Adjacency::Worker,
        },
        priority: Priority::Normal,
        idempotent: true,
        checkpoint: false,
        declared: Duration::from_secs(1),
    }
}

/// Starts two tasks that run for `run_time` each, stops the job and returns the resulting events.
///
/// With `wait_for_end` the stop is sent only after the tasks have ended.
async fn stop_job(run_time: Duration, wait_for_end: bool) -> Vec<Event> {
    let times = TaskTimes { per_second: run_time, ..TaskTimes::default() };
    let fleet = WorkerFleet::start(WorkerOptions { times, ..WorkerOptions::new(1) }).unwrap();
    let vm = &fleet.vms()[0];
    let worker = WorkerId::new(&vm.name);
    let mut workers = Workers::default();
    let url = format!("http://{}{}", vm.address, vm.path);
    workers.set_addresses(BTreeMap::from([(worker.clone(), url)]));
    let lease = Action::Lease {
        worker: worker.clone(),
        job: JOB,
        attempt: ATTEMPT,
        accelerators: vec![0, 1],
        ttl: TTL,
    };
    let granted = workers.perform(lease, None).await;
    assert!(matches!(granted[..], [Event::Leased { result: WorkerAnswer::Granted, .. }]));
    let tasks = TaskRange { first: 0, count: 2, millicores: 1_000, memory_mib: 1_024 };
    let start =
        Action::Start { worker: worker.clone(), job: JOB, attempt: ATTEMPT, tasks, ttl: TTL };
    let started = workers.perform(start, Some(spec())).await;
    assert!(matches!(started[..], [Event::Started { result: WorkerAnswer::Granted, .. }]));
    while wait_for_end && fleet.runs().iter().any(|run| run.to.is_none()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    workers.perform(Action::Stop { worker, job: JOB, attempt: ATTEMPT }, None).await
}

fn task_statuses(event: &Event) -> Vec<TaskStatus> {
    let Event::Report { report, .. } = event else { panic!("expected a report, got {event:?}") };
    report.leases.iter().flat_map(|lease| &lease.tasks).map(|task| task.status).collect()
}

#[tokio::test]
async fn ended_before_stop() {
    let events = stop_job(Duration::from_millis(10), true).await;
    assert_eq!(task_statuses(&events[0]), [TaskStatus::Done, TaskStatus::Done], "{events:?}");
    assert_eq!(task_statuses(&events[1]), [], "a released lease is still shown: {events:?}");
}

#[tokio::test]
async fn stopped_while_running() {
    let events = stop_job(Duration::from_secs(600), false).await;
    assert!(!task_statuses(&events[0]).contains(&TaskStatus::Done), "{events:?}");
    assert_eq!(task_statuses(&events[1]), [], "a released lease is still shown: {events:?}");
}
