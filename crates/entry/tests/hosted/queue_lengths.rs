//! Queue lengths that callers see.

use std::time::Duration;

use hyper::Method;

use crate::cluster::Cluster;
use fake::hosted_job as job;

/// Run time of a task, longer than the test.
const TASK_TIME: Duration = Duration::from_secs(60);
/// Number of jobs that wait.
const WAITING: u64 = 6;

/// Guards against a length of zero in a takeover: the claim of the ownership overwrote the lengths,
/// which the next owner stored only with its first commit.
#[tokio::test]
async fn takeover() {
    let mut cluster = Cluster::start("lengths", 2, 1, TASK_TIME).await;
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000f0", &job(8)).await.0, 200);
    cluster.until("all tasks run", async || cluster.started_tasks().len() == 8).await;
    for number in 0..WAITING {
        let path = format!("/work/{:016x}", 0xf1 + number);
        assert_eq!(cluster.ask(0, Method::POST, &path, &job(8)).await.0, 200);
    }
    let length = async |cluster: &Cluster, vm: usize| {
        cluster.ask(vm, Method::GET, "/work/", "").await.1["waiting"].as_u64()
    };
    cluster.until("they wait", async || length(&cluster, 1).await == Some(WAITING)).await;
    let owner = cluster.owner().expect("an owner");
    let claimed = cluster.store.value("sequence").expect("lengths");
    cluster.vms[owner].kill();
    let other = 1 - owner;
    let mut seen = Vec::new();
    while !cluster.vms[other].log().contains("ownership: taken over") {
        seen.extend(length(&cluster, other).await);
    }
    assert_ne!(cluster.store.value("sequence"), Some(claimed));
    seen.extend(length(&cluster, other).await);
    assert!(seen.iter().all(|&length| length == WAITING), "{seen:?}");
}
