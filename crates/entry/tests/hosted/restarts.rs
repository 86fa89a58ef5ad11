//! Workers that crash and start again under their id.

use std::time::Duration;

use hyper::Method;
use tokio::time::sleep;

use crate::cluster::Cluster;
use fake::HostedWorker;
use fake::hosted_job as job;

const TASK: Duration = Duration::from_millis(1_500);
/// Time for which a crashed worker is away.
const DOWN: Duration = Duration::from_millis(600);
/// Number of renewals after which a restarted worker has heard from an owner that knows of the
/// restart: one that finds it out, and one more.
const RENEWALS: usize = 2;

/// Time within which an owner calls a worker that has crashed while it held a call.
const NOTICE: Duration = Duration::from_millis(840);
/// Time within which an owner calls a worker that has lost power, once its entry states that it has
/// started again: the pause between two reads of the directory, and some for the call.
const LISTED: Duration = Duration::from_millis(1_250);

/// Crashes a worker, starts it again and waits until the owner knows of it.
async fn restart(cluster: &Cluster, worker: &HostedWorker) {
    worker.crash();
    sleep(DOWN).await;
    worker.restart();
    cluster.store.put(&worker.key(), &worker.entry("service"));
    cluster.until("the owner calls it", async || worker.holds() > RENEWALS).await;
}

/// Guards against a task that runs again after its end was acknowledged: its first start got no
/// answer, and is carried out once the worker has crashed and started again.
#[tokio::test]
async fn withheld_start() {
    let cluster = Cluster::start("withheld-start", 2, 1, TASK).await;
    let worker = &cluster.workers[0];
    worker.withhold_starts(1);
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000d4", &job(1)).await.0, 200);
    cluster.wait_completed(1, "00000000000000d4").await;
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000d5", &job(4)).await.0, 200);
    cluster.until("others run", async || worker.running_tasks().len() == 4).await;
    restart(&cluster, worker).await;
    assert_eq!(worker.release_starts(), [409]);
    assert!(!worker.running_tasks().contains(&"00000000000000d4.0.0.0".to_owned()));
    cluster.wait_completed(1, "00000000000000d5").await;
    let started = cluster.started_tasks();
    let of_job = started.iter().filter(|task| task.starts_with("00000000000000d4")).count();
    assert_eq!(of_job, 1, "{started:?}");
}

/// Guards against the same on a worker without runs, which the owner has no other reason to call.
#[tokio::test]
async fn idle_worker() {
    let cluster = Cluster::start("idle-worker", 2, 1, TASK).await;
    let worker = &cluster.workers[0];
    worker.withhold_starts(1);
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000d6", &job(1)).await.0, 200);
    cluster.wait_completed(1, "00000000000000d6").await;
    sleep(TASK).await;
    restart(&cluster, worker).await;
    assert_eq!(worker.release_starts(), [409]);
    assert_eq!(cluster.started_tasks().len(), 1, "{:?}", cluster.started_tasks());
}

/// Runs a job whose first start gets no answer, and lets another VM take over.
async fn inherit_start(cluster: &mut Cluster, id: &str) {
    cluster.workers[0].withhold_starts(1);
    assert_eq!(cluster.ask(0, Method::POST, &format!("/work/{id}"), &job(1)).await.0, 200);
    cluster.wait_completed(1, id).await;
    let former = cluster.owner().expect("an owner");
    cluster.vms[former].kill();
    let holds = cluster.workers[0].holds();
    cluster.until("another owner", async || cluster.owner().is_some_and(|vm| vm != former)).await;
    cluster.until("it calls the worker", async || cluster.workers[0].holds() > holds).await;
}

/// Guards against a task that runs again after its job was shown as completed: the owner whose start
/// got no answer was killed, and the next one did not call the idle worker.
#[tokio::test]
async fn inherited_start() {
    let mut cluster = Cluster::start("inherited-start", 3, 1, TASK).await;
    inherit_start(&mut cluster, "00000000000000d7").await;
    let worker = &cluster.workers[0];
    worker.crash();
    sleep(DOWN).await;
    worker.restart();
    sleep(NOTICE).await;
    assert_eq!(worker.release_starts(), [409]);
    assert_eq!(cluster.started_tasks().len(), 1, "{:?}", cluster.started_tasks());
}

/// Guards against the same on a worker that loses power while it holds a call of the owner, which
/// then hangs.
#[tokio::test]
async fn hung_call() {
    let mut cluster = Cluster::start("hung-call", 3, 1, TASK).await;
    inherit_start(&mut cluster, "00000000000000d8").await;
    let worker = &cluster.workers[0];
    let holds = worker.holds();
    cluster.until("the next call", async || worker.holds() > holds).await;
    worker.power_cycle();
    cluster.store.put(&worker.key(), &worker.entry("service"));
    sleep(LISTED).await;
    assert_eq!(worker.release_starts(), [409]);
    assert_eq!(cluster.started_tasks().len(), 1, "{:?}", cluster.started_tasks());
}
