//! Jobs that are larger than an entry VM or the store can handle.

use std::time::Duration;

use hyper::Method;

use crate::cluster::Cluster;
use crate::cluster::KEY;
use fake::HostedConfiguration;
use fake::hosted_job as job;

const TASK_TIME: Duration = Duration::from_millis(300);
/// Maximum size of a request body on the users' platform.
const LONG_BODY_BYTES: usize = 262_144;
/// Limit on the memory of an owner that starts 300 tasks with long payloads at once, in kB. The
/// smallest VM of the users has 160 MB, and a worker of theirs takes up to 1,280 tasks.
const MAX_OWNER_KB: u64 = 64 << 10;

/// Starts entry VMs that accept long bodies.
async fn start(name: &str, vms: usize) -> Cluster {
    let cluster = Cluster::start(name, vms, 1, TASK_TIME).await;
    let (key, body_bytes) = (KEY, LONG_BODY_BYTES);
    let requires_advice = false;
    cluster.store.configure(&HostedConfiguration { version: 2, key, requires_advice, body_bytes });
    let long = " ".repeat(2 * crate::cluster::BODY_BYTES);
    cluster
        .until("long bodies are accepted", async || {
            cluster.ask(0, Method::POST, "/work/00000000000000d0", &long).await.0 == 400
        })
        .await;
    cluster
}

/// Guards against owners that end one after another: a job of a million tasks was accepted, and
/// each owner created all of them in memory. Jobs can be as large by other fields too.
#[tokio::test]
async fn refused_jobs() {
    let cluster = start("refused-jobs", 2).await;
    let many_steps = format!(r#"{{"steps":[{}]}}"#, vec![r#"{"count":1}"#; 12_000].join(","));
    let bodies = [
        r#"{"steps":[{"count":1000000,"cpu":200000}]}"#.to_owned(),
        r#"{"steps":[{"count":20001}]}"#.to_owned(),
        r#"{"steps":[{"count":10000},{"count":10001}]}"#.to_owned(),
        r#"{"steps":[{"count":4294967295},{"count":4294967295}],"firstRunMs":1,"repeatCount":4294967295}"#
            .to_owned(),
        r#"{"steps":[{"count":1}],"firstRunMs":1,"intervalMs":1,"repeatCount":1000000}"#.to_owned(),
        many_steps,
    ];
    for (number, body) in bodies.iter().enumerate() {
        let path = format!("/work/{:016x}", 0xd00 + number);
        let (status, _) = cluster.ask(number % 2, Method::POST, &path, body).await;
        assert_eq!(status, 413, "{}", &body[..body.len().min(100)]);
        assert_eq!(cluster.ask(0, Method::GET, &path, "").await.0, 410);
    }
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000d1", &job(3)).await.0, 200);
    cluster.wait_completed(1, "00000000000000d1").await;
}

/// Guards against the same with a job that an entry VM of an earlier version has stored.
#[tokio::test]
async fn stored_job() {
    let cluster = start("stored-job", 2).await;
    let stored = |count: u32| {
        serde_json::json!({
            "queue": "work", "account": "a", "taken": 1, "cancelled": false,
            "spec": { "payload": "", "steps": [{ "count": count, "need": { "cpu": 200_000, "memory": 1, "gpu": 0 } }] },
        })
    };
    cluster.store.put("j/00000000000000d2", &stored(4_000_000_000));
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000d3", &job(3)).await.0, 200);
    cluster.wait_completed(1, "00000000000000d3").await;
    assert_eq!(cluster.state(0, "00000000000000d2").await, "failed");
}

/// Guards against owners that run out of memory: each start of a job with a long payload held a
/// copy of it, and a wide job has hundreds of starts at a time.
#[tokio::test]
async fn long_payload() {
    let cluster = start("long-payload", 1).await;
    let payload = "x".repeat(LONG_BODY_BYTES - 1_000);
    let body = format!(r#"{{"spec":"{payload}","steps":[{{"count":300,"cpu":10,"memMb":1}}]}}"#);
    let path = "/work/00000000000000d4";
    assert_eq!(cluster.ask(0, Method::POST, path, &body).await.0, 200);
    cluster.wait_completed(0, "00000000000000d4").await;
    let peak = cluster.vms[0].peak_memory_kb();
    assert!(peak < MAX_OWNER_KB, "{peak} kB in use");
}
