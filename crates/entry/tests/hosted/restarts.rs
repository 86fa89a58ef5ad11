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
