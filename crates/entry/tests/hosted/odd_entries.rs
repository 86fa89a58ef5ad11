//! Entries of another writer among those of the workers.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::log_lines;
use fake::HostedWorker;
use fake::hosted_job as job;

const TASK: Duration = Duration::from_millis(1_500);
/// Time within which the owner has read the directory several times.
const READS: Duration = Duration::from_millis(3_500);

/// Writes odd entries beside those of the workers.
fn put_odd_entries(cluster: &Cluster) {
    let store = &cluster.store;
    let good = cluster.workers[0].entry("service");
    let changed = |field: &str, value: Value| {
        let mut entry = good.clone();
        entry[field] = value;
        entry
    };
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    let text = good.to_string();
    let deep_labels = text.replace("[\"a\",\"r1-1\"]", &deep);
    assert_ne!(deep_labels, text);
    for (name, text) in [
        ("deep", deep.as_str()),
        ("deep-labels", &deep_labels),
        ("empty", ""),
        ("text", "\u{1}\u{2}"),
        ("twice", &text.replacen('{', "{\"zone\":\"z\",", 1)),
        ("large", &text.replace("32768", "1e400")),
    ] {
        store.put_text(&format!("servers/{name}"), text);
    }
    let capacity = json!({ "cpu": u64::MAX, "memMb": u64::MAX, "gpu": u64::MAX });
    for (name, field, value) in [
        ("port", "address", json!("127.0.0.1:65536")),
        ("port-0", "address", json!("127.0.0.1:0")),
        ("start", "born", json!(u64::MAX)),
        ("capacity", "capacity", capacity),
        ("drain", "drainRemainingMs", json!(u64::MAX)),
        ("state", "state", json!("resting")),
        ("labels", "labels", Value::Null),
        // Each names the address of a worker with another id.
        ("copy", "sequence", json!(2)),
        ("a b&c=%41\"\u{e9}", "sequence", json!(3)),
    ] {
        store.put(&format!("servers/{name}"), &changed(field, value));
    }
    for (name, value) in [("raw", "***"), ("unpadded", "eA")] {
        store.put_raw(&format!("servers/{name}"), value);
    }
}

/// Guards against owners that stop following the directory because of one entry that they cannot
/// read: a worker that joins later must still be used.
#[tokio::test]
async fn later_worker() {
    let cluster = Cluster::start("later-worker", 2, 1, TASK).await;
    put_odd_entries(&cluster);
    let late = HostedWorker::start("i-late", TASK).expect("a worker");
    cluster.store.put(&late.key(), &late.entry("service"));
    sleep(READS).await;
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000d0", &job(12)).await.0, 200);
    cluster.wait_completed(1, "00000000000000d0").await;
    assert_eq!((cluster.started_tasks().len(), late.starts().len()), (8, 4));
    for key in ["servers/raw", "servers/deep", "servers/port"] {
        let lines = log_lines(&cluster, &["malformed worker entry", &format!("\"{key}\"")]);
        assert_eq!(lines.len(), 1, "{key} is logged once: {lines:?}");
    }
}

/// Guards against takeovers that never finish because of one entry that the new owner cannot read.
#[tokio::test]
async fn takeover_among_entries() {
    let mut cluster = Cluster::start("takeover-among", 3, 2, TASK).await;
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000d1", &job(4)).await.0, 200);
    cluster.until("all tasks run", async || cluster.started_tasks().len() == 4).await;
    put_odd_entries(&cluster);
    let owner = cluster.owner().expect("an owner");
    cluster.vms[owner].kill();
    let other = (owner + 1) % 3;
    assert_eq!(cluster.ask(other, Method::POST, "/work/00000000000000d2", &job(2)).await.0, 200);
    for id in ["00000000000000d1", "00000000000000d2"] {
        cluster.wait_completed(other, id).await;
    }
    assert_eq!(cluster.started_tasks().len(), 6, "restarted tasks: {:?}", cluster.started_tasks());
}

/// Guards against tasks that run twice: entries of a service that is not configured stated the
/// addresses of other workers, whose refusals were taken as proof that the runs had ended.
#[tokio::test]
async fn swapped_addresses() {
    let cluster = Cluster::start("swapped", 2, 2, TASK * 3).await;
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000d8", &job(12)).await.0, 200);
    cluster.until("all tasks run", async || cluster.started_tasks().len() == 12).await;
    for (worker, other) in [(0, 1), (1, 0)] {
        let entry = cluster.workers[other].entry("another-service");
        cluster.store.put(&cluster.workers[worker].key(), &entry);
    }
    cluster.wait_completed(1, "00000000000000d8").await;
    assert_eq!(cluster.started_tasks().len(), 12, "{:?}", cluster.started_tasks());
    for id in ["\"i-0\"", "\"i-1\""] {
        let lines = log_lines(&cluster, &["\"message\":\"ignores_entry\"", id]);
        assert_eq!(lines.len(), 1, "{id} is logged once: {lines:?}");
    }
}
