//! Cancellation of jobs.

use std::time::Duration;

use hyper::Method;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::cluster::Cluster;
use fake::HostedStoreFaults;
use fake::hosted_job as job;

const TASK_TIME: Duration = Duration::from_millis(300);
/// Time within which the tasks of a cancelled job have to be stopped.
const CANCEL_TIME: Duration = Duration::from_millis(3_200);
/// Time after which the store carries out an unanswered write.
const WRITE_DELAY: Duration = Duration::from_millis(2_000);

/// Guards against jobs that run after their client was told that they are cancelled: the store
/// carried out the submission after the cancellation had found no job.
#[tokio::test]
async fn late_submission() {
    let cluster = Cluster::start("late-submission", 2, 1, TASK_TIME).await;
    let path = "/work/00000000000000e0";
    let late = HostedStoreFaults { late_writes: WRITE_DELAY, ..HostedStoreFaults::default() };
    cluster.store.set_faults(late);
    let body = job(2);
    let submits = cluster.ask(0, Method::POST, path, &body);
    let cancels = async {
        sleep(WRITE_DELAY / 4).await;
        cluster.store.set_faults(HostedStoreFaults::default());
        let (status, _) = cluster.ask(1, Method::DELETE, path, "").await;
        assert_eq!(status, 410);
        sleep(WRITE_DELAY * 2).await;
    };
    let ((submitted, _), ()) = tokio::join!(submits, cancels);
    assert_eq!(submitted, 410, "the answer of the peer that repeats the submission");
    assert!(cluster.started_tasks().is_empty(), "a cancelled job was started");
    assert_eq!(cluster.ask(0, Method::GET, path, "").await.0, 410);
}

/// A cancelled id stays cancelled, whichever VM is asked and whoever owns the jobs.
#[tokio::test]
async fn unknown_job() {
    let mut cluster = Cluster::start("unknown-job", 2, 1, TASK_TIME).await;
    let path = "/work/00000000000000e1";
    for vm in [0, 1] {
        assert_eq!(cluster.ask(vm, Method::DELETE, path, "").await.0, 410);
        assert_eq!(cluster.ask(vm, Method::GET, path, "").await.0, 410);
        assert_eq!(cluster.ask(vm, Method::POST, path, &job(2)).await.0, 410);
    }
    cluster.until("a VM owns the jobs", async || cluster.owner().is_some()).await;
    let owner = cluster.owner().expect("an owner");
    cluster.vms[owner].kill();
    let other = 1 - owner;
    assert_eq!(cluster.ask(other, Method::POST, "/work/00000000000000e2", &job(1)).await.0, 200);
    cluster.wait_completed(other, "00000000000000e2").await;
    assert_eq!(cluster.ask(other, Method::GET, path, "").await.0, 410);
    assert_eq!(cluster.started_tasks(), ["00000000000000e2.0.0.0"]);
}

/// Guards against tasks that run on after their job was cancelled: the owner's watch of jobs waited
/// on a connection that had gone silent, while its other calls to the store were answered.
#[tokio::test]
async fn silent_watch() {
    let cluster = Cluster::start("silent-watch", 2, 1, TASK_TIME * 100).await;
    let path = "/work/00000000000000e3";
    assert_eq!(cluster.ask(0, Method::POST, path, &job(2)).await.0, 200);
    cluster.until("all tasks run", async || cluster.started_tasks().len() == 2).await;
    cluster.store.silence_watches("j/");
    assert_eq!(cluster.ask(0, Method::DELETE, path, "").await.0, 200);
    let acknowledged = Instant::now();
    let stopped = async || cluster.workers[0].running_tasks().is_empty();
    cluster.until("the tasks have been stopped", stopped).await;
    let took = acknowledged.elapsed();
    assert!(took < CANCEL_TIME, "the tasks ran on for {took:?}");
}
