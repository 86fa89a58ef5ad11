//! Tests of entry VM processes in host mode, which keep their state in the platform's store.

mod cancels;
mod cluster;
mod evacuations;
mod large_jobs;
mod odd_entries;
mod passed_requests;
mod queue_lengths;
mod restarts;
mod soak;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::cluster::BODY_BYTES;
use crate::cluster::Cluster;
use crate::cluster::KEY;
use fake::HostedAdvice;
use fake::HostedConfiguration;
use fake::HostedStoreFaults;
use fake::hosted_job as job;

const SHORT_TASK: Duration = Duration::from_millis(300);
const LONG_TASK: Duration = Duration::from_millis(3_000);
/// Time within which an entry VM has read the list of its peers.
const PEER_LIST_DELAY: Duration = Duration::from_millis(2_500);

/// Newer configuration that replaces the API key of the caller.
fn configuration_with_other_key() -> HostedConfiguration<'static> {
    let (key, body_bytes) = ("another-key", BODY_BYTES);
    HostedConfiguration { version: 2, key, requires_advice: false, body_bytes }
}

#[tokio::test]
async fn whole_path() {
    let cluster = Cluster::start("whole", 2, 2, SHORT_TASK).await;
    let path = "/work/00000000000000aa";
    assert_eq!(cluster.ask(0, Method::GET, path, "").await.0, 410);
    assert_eq!(cluster.ask(0, Method::POST, path, &job(5)).await.0, 200);
    cluster.wait_completed(1, "00000000000000aa").await;
    assert_eq!(cluster.ask(1, Method::POST, path, &job(5)).await.0, 200, "the same job");
    assert_eq!(cluster.ask(1, Method::POST, path, &job(4)).await.0, 409, "a different job");
    assert_eq!(cluster.started_tasks().len(), 5);
    let (status, body) = cluster.ask(0, Method::GET, "/work/", "").await;
    assert_eq!((status, body["waiting"].as_u64()), (200, Some(0)));
}

#[tokio::test]
async fn metrics_and_logs() {
    let cluster = Cluster::start("metrics", 1, 1, SHORT_TASK).await;
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000a0", &job(2)).await.0, 200);
    cluster.wait_completed(0, "00000000000000a0").await;
    let shown = cluster.call(cluster.vms[0].metrics, Method::GET, "/metrics", None, "").await;
    let shown = String::from_utf8(shown.expect("metrics").body.to_vec()).expect("text");
    for name in [
        r#"basilrack_answer_seconds_count{method="POST",reason="stored",status="200"} 1"#,
        r#"basilrack_store_seconds_count{outcome="done",purpose="txn"}"#,
        r#"basilrack_order_seconds_count{kind="start",outcome="taken"} 2"#,
        r#"basilrack_events_total{kind="takeover"} 1"#,
        r#"basilrack_level{name="configuration_version"} 1"#,
    ] {
        assert!(shown.contains(name), "{name} is missing in {shown}");
    }
    let log = cluster.vms[0].log();
    for message in ["start", "ownership: claimed", "configuration: in force", "placed", "ends"] {
        assert!(log.contains(&format!(r#""message":"{message}""#)), "{message} is missing");
    }
    for line in log.lines().filter(|line| line.starts_with('{')) {
        assert!(serde_json::from_str::<serde_json::Value>(line).is_ok(), "{line}");
    }
}

#[tokio::test]
async fn bad_requests() {
    let cluster = Cluster::start("bad", 1, 1, SHORT_TASK).await;
    let path = "/work/00000000000000ab";
    let vm = cluster.vms[0].callers;
    let status = async |path: &str, key: Option<&str>, body: &str| {
        let reply = cluster.call(vm, Method::POST, path, key, body).await;
        reply.map_or(0, |reply| reply.status)
    };
    assert_eq!(status(path, None, &job(1)).await, 401);
    assert_eq!(status(path, Some("another"), &job(1)).await, 401);
    assert_eq!(status("/other/00000000000000ab", Some(KEY), &job(1)).await, 404);
    assert_eq!(status("/work/short", Some(KEY), &job(1)).await, 404);
    assert_eq!(status(path, Some(KEY), "{").await, 400);
    assert_eq!(status(path, Some(KEY), r#"{"steps":[]}"#).await, 400);
    let cyclic = r#"{"steps":[{"count":1,"after":[0]}]}"#;
    assert_eq!(status(path, Some(KEY), cyclic).await, 400);
    let long = format!(r#"{{"spec":"{}","steps":[{{"count":1}}]}}"#, "x".repeat(5_000));
    assert_eq!(status(path, Some(KEY), &long).await, 413);
    assert!(cluster.started_tasks().is_empty());
}

#[tokio::test]
async fn killed_owner() {
    let mut cluster = Cluster::start("killed", 3, 2, LONG_TASK).await;
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000ac", &job(4)).await.0, 200);
    cluster.until("all tasks run", async || cluster.started_tasks().len() == 4).await;
    let owner = cluster.owner().expect("an owner");
    cluster.vms[owner].kill();
    let other = (owner + 1) % 3;
    assert_eq!(cluster.ask(other, Method::POST, "/work/00000000000000ad", &job(2)).await.0, 200);
    cluster.wait_completed(other, "00000000000000ac").await;
    cluster.wait_completed(other, "00000000000000ad").await;
    assert_eq!(cluster.started_tasks().len(), 6, "restarted tasks: {:?}", cluster.started_tasks());
}

#[tokio::test]
async fn stopped_owner() {
    let mut cluster = Cluster::start("stopped", 2, 2, LONG_TASK).await;
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000ae", &job(4)).await.0, 200);
    cluster.until("all tasks run", async || cluster.started_tasks().len() == 4).await;
    let owner = cluster.owner().expect("an owner");
    assert_eq!(cluster.vms[owner].terminate().await, Some(0));
    let other = 1 - owner;
    assert_eq!(cluster.owner(), Some(other), "the ownership must be handed over");
    cluster.wait_completed(other, "00000000000000ae").await;
    assert_eq!(cluster.started_tasks().len(), 4);
}

#[tokio::test]
async fn store_outage() {
    let cluster = Cluster::start("outage", 2, 2, LONG_TASK).await;
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000af", &job(3)).await.0, 200);
    cluster.until("all tasks run", async || cluster.started_tasks().len() == 3).await;
    cluster.store.set_faults(HostedStoreFaults { down: true, ..HostedStoreFaults::default() });
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000ba", &job(1)).await.0, 503);
    sleep(Duration::from_millis(2_500)).await;
    cluster.store.set_faults(HostedStoreFaults::default());
    cluster.wait_completed(1, "00000000000000af").await;
    assert_eq!(cluster.started_tasks().len(), 3, "lease renewals must not need the store");
    assert_eq!(cluster.ask(1, Method::GET, "/work/00000000000000ba", "").await.0, 410);
}

/// Guards against tasks that run twice: while the store was down, a worker had more ends to report
/// than an answer has room for.
#[tokio::test]
async fn many_ends() {
    let cluster = Cluster::start("many-ends", 2, 1, LONG_TASK).await;
    let path = "/work/00000000000000c7";
    let small = r#"{"spec":"text","steps":[{"count":700,"cpu":10,"memMb":1,"estimateMs":3000}]}"#;
    assert_eq!(cluster.ask(0, Method::POST, path, small).await.0, 200);
    cluster.until("all tasks run", async || cluster.started_tasks().len() == 700).await;
    cluster.store.set_faults(HostedStoreFaults { down: true, ..HostedStoreFaults::default() });
    sleep(LONG_TASK + SHORT_TASK * 2).await;
    cluster.store.set_faults(HostedStoreFaults::default());
    cluster.wait_completed(1, "00000000000000c7").await;
    assert_eq!(cluster.started_tasks().len(), 700, "tasks that had ended were started again");
}

#[tokio::test]
async fn advised_queue() {
    let advice = HostedAdvice::start(&["i-1"], 1).expect("an advice service");
    let address: SocketAddr = advice.address().to_string().parse().expect("an address");
    let cluster = Cluster::start_with("advised", 2, 3, SHORT_TASK, Some(address)).await;
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000c6", &job(5)).await.0, 200);
    cluster.wait_completed(1, "00000000000000c6").await;
    let tickets: Vec<String> =
        cluster.workers[1].starts().into_iter().map(|run| run.ticket).collect();
    assert_eq!(tickets, vec!["ticket-00000000000000c6.0.0-i-1"; 5]);
    assert_eq!(cluster.started_tasks().len(), 5, "only the advised worker may start tasks");
    assert_eq!(advice.steps(), ["00000000000000c6.0.0"], "one call for the step");
}

#[tokio::test]
async fn slow_link() {
    let cluster = Cluster::start("slow-link", 2, 1, SHORT_TASK).await;
    let before = cluster.store.range_reads("o");
    let delay = Duration::from_millis(800);
    cluster.store.set_faults(HostedStoreFaults { delay, ..HostedStoreFaults::default() });
    sleep(Duration::from_millis(5_000)).await;
    assert_eq!(cluster.store.range_reads("o"), before, "failed calls caused a full reread");
    // Changes made in the meantime must be seen as soon as calls are answered again.
    cluster.store.configure(&configuration_with_other_key());
    cluster.store.set_faults(HostedStoreFaults::default());
    let path = "/work/00000000000000c5";
    let known = async || cluster.ask(1, Method::POST, path, &job(1)).await.0 == 401;
    cluster.until("the new configuration is in force", known).await;
    assert_eq!(cluster.store.range_reads("o"), before);
}

#[tokio::test]
async fn lost_answers() {
    let cluster = Cluster::start("lost", 2, 2, SHORT_TASK).await;
    cluster
        .store
        .set_faults(HostedStoreFaults { unanswered_writes: true, ..HostedStoreFaults::default() });
    let (status, _) = cluster.ask(0, Method::POST, "/work/00000000000000bb", &job(2)).await;
    assert_ne!(status, 503, "a job that may be stored was reported as refused");
    cluster.store.set_faults(HostedStoreFaults::default());
    assert_eq!(cluster.ask(1, Method::POST, "/work/00000000000000bb", &job(2)).await.0, 200);
    cluster.wait_completed(0, "00000000000000bb").await;
    assert_eq!(cluster.started_tasks().len(), 2);
}

#[tokio::test]
async fn doubt_and_refusal() {
    // Simulates a peer that already has a configuration without the key of the caller.
    let peer = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = peer.local_addr().expect("its address");
    let asked = Rc::new(Cell::new(0));
    let mut cluster = Cluster::start("refusing", 1, 1, SHORT_TASK).await;
    cluster.store.put_text("p/refusing", &address.to_string());
    cluster.vms[0].restart();
    cluster.wait_ready(0).await;
    let answers = async {
        loop {
            let (mut stream, _) = peer.accept().await.expect("a connection");
            asked.set(asked.get() + 1);
            let _ = stream.read(&mut [0; 4096]).await;
            let refusal = b"HTTP/1.1 401 Unauthorized\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(refusal).await.expect("an answer");
        }
    };
    let path = "/work/00000000000000c4";
    let asks = async {
        sleep(PEER_LIST_DELAY).await;
        cluster.store.set_faults(HostedStoreFaults {
            unanswered_writes: true,
            ..HostedStoreFaults::default()
        });
        let (status, _) = cluster.ask(0, Method::POST, path, &job(1)).await;
        cluster.store.set_faults(HostedStoreFaults::default());
        status
    };
    let status = tokio::select! {
        status = asks => status,
        () = answers => unreachable!("the peer serves until the test ends"),
    };
    assert_eq!(asked.get(), 1, "the request must be forwarded once");
    assert_eq!(status, 504, "the job is stored, so the refusal of a peer must not be returned");
    cluster.wait_completed(0, "00000000000000c4").await;
}

#[tokio::test]
async fn revoked_key() {
    let cluster = Cluster::start("revoked", 2, 1, SHORT_TASK).await;
    let path = "/work/00000000000000bc";
    cluster.store.configure(&configuration_with_other_key());
    cluster.store.compact();
    for vm in 0..2 {
        assert_eq!(cluster.ask(vm, Method::POST, path, &job(1)).await.0, 401);
    }
    assert!(cluster.started_tasks().is_empty());
}

#[tokio::test]
async fn silent_connections() {
    let cluster = Cluster::start("silent", 2, 2, LONG_TASK).await;
    assert_eq!(cluster.ask(0, Method::POST, "/work/00000000000000bd", &job(4)).await.0, 200);
    cluster.until("all tasks run", async || cluster.started_tasks().len() == 4).await;
    cluster.store.silence();
    for worker in &cluster.workers {
        worker.silence();
    }
    cluster.wait_completed(1, "00000000000000bd").await;
    assert_eq!(cluster.started_tasks().len(), 4);
}

#[tokio::test]
async fn cancelled_job() {
    let cluster = Cluster::start("cancelled", 2, 2, LONG_TASK).await;
    let path = "/work/00000000000000be";
    let unknown = "/work/00000000000000bf";
    assert_eq!(cluster.ask(0, Method::DELETE, unknown, "").await.0, 410);
    assert_eq!(cluster.ask(1, Method::POST, unknown, &job(4)).await.0, 410, "it is cancelled");
    assert_eq!(cluster.ask(0, Method::POST, path, &job(4)).await.0, 200);
    cluster.until("all tasks run", async || cluster.started_tasks().len() == 4).await;
    assert_eq!(cluster.ask(1, Method::DELETE, path, "").await.0, 200);
    let cancelled = async || cluster.state(0, "00000000000000be").await == "cancelled";
    cluster.until("it is shown as cancelled", cancelled).await;
    assert_eq!(
        cluster.ask(0, Method::POST, path, &job(4)).await.0,
        200,
        "cancelled job is unknown"
    );
    sleep(Duration::from_millis(500)).await;
    assert_eq!(cluster.started_tasks().len(), 4, "a cancelled job must not start again");
}

/// Log lines of all entry VMs that contain every one of `parts`.
fn log_lines(cluster: &Cluster, parts: &[&str]) -> Vec<String> {
    let logs: Vec<String> = cluster.vms.iter().map(|vm| vm.log()).collect();
    let lines = logs.iter().flat_map(|log| log.lines());
    let holds = |line: &&str| parts.iter().all(|part| line.contains(part));
    lines.filter(holds).map(str::to_owned).collect()
}

#[tokio::test]
async fn explained_refusal() {
    let cluster = Cluster::start("refusal", 1, 1, SHORT_TASK).await;
    cluster.store.set_faults(HostedStoreFaults { down: true, ..HostedStoreFaults::default() });
    let path = "/work/00000000000000c0";
    assert_eq!(cluster.ask(0, Method::POST, path, &job(1)).await.0, 503);
    let logged = async || !log_lines(&cluster, &[path, r#""status":503"#, "store"]).is_empty();
    cluster.until("the refusal is logged with its reason", logged).await;
    assert!(
        !log_lines(&cluster, &["store: lost"]).is_empty(),
        "the loss of the store must be logged"
    );
}

#[tokio::test]
async fn explained_wait() {
    let cluster = Cluster::start("wait", 1, 1, LONG_TASK).await;
    let (first, second) = ("00000000000000c1", "00000000000000c2");
    assert_eq!(cluster.ask(0, Method::POST, &format!("/work/{first}"), &job(8)).await.0, 200);
    cluster.until("all tasks run", async || cluster.started_tasks().len() == 8).await;
    assert_eq!(cluster.ask(0, Method::POST, &format!("/work/{second}"), &job(2)).await.0, 200);
    cluster.wait_completed(0, second).await;
    let waits = log_lines(&cluster, &["\"waits\"", second, r#""accelerators":0"#]);
    assert_eq!(waits.len(), 1, "one log line must say that no accelerator was free");
    let placed = log_lines(&cluster, &["\"placed\"", second]);
    assert!(!placed.is_empty(), "the placement must be logged");
}

#[tokio::test]
async fn explained_doubt() {
    let cluster = Cluster::start("doubt", 1, 1, SHORT_TASK).await;
    cluster
        .store
        .set_faults(HostedStoreFaults { unanswered_writes: true, ..HostedStoreFaults::default() });
    let path = "/work/00000000000000c3";
    assert_eq!(cluster.ask(0, Method::POST, path, &job(1)).await.0, 504);
    cluster.store.set_faults(HostedStoreFaults::default());
    let logged = async || !log_lines(&cluster, &[path, r#""status":504"#, "doubt"]).is_empty();
    cluster.until("the doubt is logged", logged).await;
    cluster.wait_completed(0, "00000000000000c3").await;
    assert!(!log_lines(&cluster, &["\"ends\"", "00000000000000c3"]).is_empty(), "not stored");
}
