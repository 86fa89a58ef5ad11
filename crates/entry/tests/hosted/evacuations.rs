//! Evacuation of availability zones, with real entry VM processes.

use std::time::Duration;

use hyper::Method;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::log_lines;
use fake::HostedStoreFaults;
use fake::hosted_job as job;

const SHORT_TASK: Duration = Duration::from_millis(300);
const LONG_TASK: Duration = Duration::from_millis(3_000);
/// Zone of the second worker; the first one is in another.
const ZONE: &str = "south-a";
const KEY: &str = "op/evacuate/south-a";
/// Time from the acknowledgement of an evacuation after which no task may start in the zone.
const BOUND: Duration = Duration::from_millis(5_000);
/// Time within which the owner has read the directory.
const DIRECTORY_READ: Duration = Duration::from_millis(2_500);
/// Number of tasks that one worker can run at a time.
const WORKER_TASKS: usize = 8;

/// Starts entry VMs and two workers in different zones.
async fn start(name: &str, vms: usize, task: Duration) -> Cluster {
    let cluster = Cluster::start(name, vms, 2, task).await;
    let mut entry = cluster.workers[1].entry("service");
    entry["zone"] = json!(ZONE);
    cluster.store.put(&cluster.workers[1].key(), &entry);
    sleep(DIRECTORY_READ).await;
    cluster
}

async fn submit(cluster: &Cluster, vm: usize, id: &str, count: u32) {
    let (status, _) = cluster.ask(vm, Method::POST, &format!("/work/{id}"), &job(count)).await;
    assert_eq!(status, 200);
}

/// Number of tasks that were started on the worker of the zone.
fn starts_inside(cluster: &Cluster) -> usize {
    cluster.workers[1].starts().len()
}

/// Waits until an owner has put the evacuation into force; panics after the bound.
async fn wait_in_force(cluster: &Cluster, since: Instant) {
    let count = || log_lines(cluster, &["evacuation: in force", ZONE]).len();
    cluster.until("the evacuation is in force", async || count() > 0).await;
    assert!(since.elapsed() < BOUND, "in force after {:?}", since.elapsed());
}

async fn metrics(cluster: &Cluster, vm: usize) -> String {
    let shown = cluster.call(cluster.vms[vm].metrics, Method::GET, "/metrics", None, "").await;
    String::from_utf8(shown.expect("metrics").body.to_vec()).expect("text")
}

/// From "evacuate" to the empty zone and back: starts, log lines and gauges.
#[tokio::test]
async fn evacuated_and_lifted() {
    let cluster = start("evacuated", 2, LONG_TASK).await;
    submit(&cluster, 0, "00000000000000f0", 16).await;
    cluster.until("all tasks run", async || cluster.started_tasks().len() == 16).await;
    cluster.store.put(KEY, &json!({}));
    wait_in_force(&cluster, Instant::now()).await;
    let owner = cluster.owner().expect("an owner");
    let gauge = |name: &str, value: u64| {
        format!(r#"basilrack_evacuation{{name="{name}",zone="{ZONE}"}} {value}"#)
    };
    assert!(metrics(&cluster, owner).await.contains(&gauge("in_force", 1)));
    submit(&cluster, 1, "00000000000000f1", 4).await;
    cluster.wait_completed(0, "00000000000000f0").await;
    cluster.wait_completed(0, "00000000000000f1").await;
    assert_eq!(starts_inside(&cluster), WORKER_TASKS, "a task was started in the evacuated zone");
    let empty = async || !log_lines(&cluster, &["evacuation: empty", ZONE]).is_empty();
    cluster.until("the empty zone is logged", empty).await;
    assert!(metrics(&cluster, owner).await.contains(&gauge("runs_left", 0)));
    cluster.store.remove(KEY);
    submit(&cluster, 0, "00000000000000f2", 16).await;
    let returned = async || starts_inside(&cluster) == 2 * WORKER_TASKS;
    cluster.until("tasks start in the zone again", returned).await;
    cluster.wait_completed(1, "00000000000000f2").await;
    assert!(metrics(&cluster, owner).await.contains(&gauge("in_force", 0)));
    for (message, count) in [("received", 2), ("lifted", 2), ("in force", 1), ("empty", 1)] {
        let lines = log_lines(&cluster, &[&format!("evacuation: {message}"), "revision"]);
        assert_eq!(lines.len(), count, "{message}: {lines:?}");
    }
}

/// A new owner knows the evacuations before its first start.
#[tokio::test]
async fn killed_owner() {
    let mut cluster = start("evacuated-killed", 3, SHORT_TASK).await;
    cluster.store.put(KEY, &json!({}));
    let owner = cluster.owner().expect("an owner");
    cluster.vms[owner].kill();
    let other = (owner + 1) % 3;
    submit(&cluster, other, "00000000000000f3", 16).await;
    cluster.wait_completed(other, "00000000000000f3").await;
    assert_eq!(starts_inside(&cluster), 0);
}

/// Guards against an evacuation that is missed or kept because the history that tells of it has been
/// compacted.
#[tokio::test]
async fn compacted_history() {
    let cluster = start("evacuated-compacted", 2, SHORT_TASK).await;
    cluster.store.put(KEY, &json!({}));
    cluster.store.compact();
    wait_in_force(&cluster, Instant::now()).await;
    submit(&cluster, 0, "00000000000000f4", 16).await;
    cluster.wait_completed(0, "00000000000000f4").await;
    assert_eq!(starts_inside(&cluster), 0);
    cluster.store.remove(KEY);
    cluster.store.compact();
    submit(&cluster, 0, "00000000000000f5", 24).await;
    cluster.until("tasks start in the zone again", async || starts_inside(&cluster) > 0).await;
}

/// Guards against evacuations of which the answer was lost: the watch waits on a connection that has
/// gone silent.
#[tokio::test]
async fn silent_watch() {
    let cluster = start("evacuated-silent", 2, SHORT_TASK).await;
    cluster.store.silence_watches("o");
    cluster.store.put(KEY, &json!({}));
    wait_in_force(&cluster, Instant::now()).await;
    submit(&cluster, 0, "00000000000000f6", 16).await;
    cluster.wait_completed(0, "00000000000000f6").await;
    assert_eq!(starts_inside(&cluster), 0);
}

/// An evacuation that was stored while no VM reached the store holds as soon as it returns.
#[tokio::test]
async fn store_outage() {
    let cluster = start("evacuated-outage", 2, SHORT_TASK * 4).await;
    submit(&cluster, 0, "00000000000000f7", 32).await;
    let run = async || cluster.started_tasks().len() == 16;
    cluster.until("the workers are full", run).await;
    cluster.store.set_faults(HostedStoreFaults { down: true, ..HostedStoreFaults::default() });
    cluster.store.put(KEY, &json!({}));
    sleep(BOUND).await;
    let before = starts_inside(&cluster);
    cluster.store.set_faults(HostedStoreFaults::default());
    cluster.wait_completed(1, "00000000000000f7").await;
    assert_eq!(starts_inside(&cluster), before, "a task was started in the evacuated zone");
}

/// An evacuation that is lifted while the owner is frozen does not outlive it.
#[tokio::test]
async fn lifted_while_frozen() {
    let cluster = start("evacuated-frozen", 2, SHORT_TASK).await;
    cluster.store.put(KEY, &json!({}));
    wait_in_force(&cluster, Instant::now()).await;
    let owner = cluster.owner().expect("an owner");
    cluster.vms[owner].signal("-STOP");
    cluster.store.remove(KEY);
    let other = 1 - owner;
    cluster.until("the other VM owns the jobs", async || cluster.owner() == Some(other)).await;
    submit(&cluster, other, "00000000000000f8", 16).await;
    cluster.until("tasks start in the zone again", async || starts_inside(&cluster) > 0).await;
    cluster.vms[owner].signal("-CONT");
    cluster.wait_completed(other, "00000000000000f8").await;
    cluster.until("the former owner resumes", async || cluster.owner() == Some(other)).await;
}

/// Keys of other writers under the prefix: each is logged once, an unreadable value evacuates its
/// zone all the same, and the jobs go on.
#[tokio::test]
async fn odd_keys() {
    let cluster = start("evacuated-odd", 1, SHORT_TASK).await;
    let odd = "\u{e9} a/b=%41&\"\n";
    cluster.store.put("op/evacuate/", &json!({}));
    cluster.store.put("op/evacuate", &json!({}));
    cluster.store.put_text(&format!("op/evacuate/{odd}"), "");
    cluster.store.put("op/evacuate/nowhere", &json!({}));
    cluster.store.put_raw(KEY, "***");
    wait_in_force(&cluster, Instant::now()).await;
    submit(&cluster, 0, "00000000000000f9", 16).await;
    cluster.wait_completed(0, "00000000000000f9").await;
    assert_eq!(starts_inside(&cluster), 0);
    for parts in [
        ["evacuation: ignored", "names no zone"],
        ["evacuation: received, though", ZONE],
        ["no worker is known", "nowhere"],
    ] {
        assert_eq!(log_lines(&cluster, &parts).len(), 1, "{parts:?}");
    }
}

/// Guards against starts by an owner that cannot read the evacuations any more, while the store
/// accepts its commits and renews its lease.
#[tokio::test]
async fn refused_reads() {
    let cluster = start("evacuated-refused", 2, LONG_TASK).await;
    submit(&cluster, 0, "00000000000000fa", 48).await;
    cluster.until("the workers are full", async || cluster.started_tasks().len() == 16).await;
    cluster.store.silence_watches("o");
    cluster.store.refuse_reads(Some("o"));
    cluster.store.put(KEY, &json!({}));
    sleep(BOUND).await;
    let (inside, all) = (starts_inside(&cluster), cluster.started_tasks().len());
    sleep(LONG_TASK).await;
    assert_eq!(starts_inside(&cluster), inside, "a task was started in the evacuated zone");
    assert_eq!(cluster.started_tasks().len(), all, "the owner does not know the evacuations");
    cluster.store.refuse_reads(None);
    cluster.wait_completed(0, "00000000000000fa").await;
    assert_eq!(starts_inside(&cluster), inside, "a task was started in the evacuated zone");
}
