//! `jobs submit`, `jobs show` and `jobs cancel`.

use crate::program::write;
use crate::relay::LossyProxy;
use crate::stage::TestCluster;
use crate::stage::wait_until;
use wire::border;

const FLAGS: [&str; 6] = ["jobs", "submit", "--account", "growers", "--service", "sorting"];

#[tokio::test(flavor = "multi_thread")]
async fn submit_and_wait() {
    let cluster = TestCluster::configured("job-wait", 1).await;
    let program = cluster.program(&FLAGS).args([
        "--zone",
        "zone-a",
        "--declared",
        "1s",
        "--tasks",
        "2",
        "--wait",
        "--json",
    ]);
    let status: border::JobStatus = program.run().await.expect_code(0).json();
    assert_eq!((status.state.as_str(), status.verdict), ("done", border::Verdict::Ran));
    let output = cluster.program(&["jobs", "show", &status.id]).run().await.expect_code(0);
    output.assert_stdout(&[
        &format!("job {}: done", status.id),
        "verdict: ran (final)",
        "shard: zone-a",
    ]);
}

#[tokio::test(flavor = "multi_thread")]
async fn submit_file_anywhere() {
    let cluster = TestCluster::configured("job-file", 2).await;
    let spec = serde_json::json!({
        "account": "loaders", "service": "sorting", "priority": "normal", "idempotent": true,
        "declared_ms": 1_000,
        "shape": {
            "tasks": 2, "accelerators": 8, "millicores": 1_000, "memory_mib": 1_024,
            "adjacency": "rack",
        },
    });
    let file = write("job-file.json", &spec.to_string());
    let program = cluster.program(&["jobs", "submit", &file, "--wait"]);
    program.run().await.expect_code(0).assert_stdout(&["done", "verdict: ran (final)"]);
    let broken = write("job-broken.json", "{\n  \"account\": 7\n}");
    let output = cluster.program(&["jobs", "submit", &broken]).run().await.expect_code(3);
    output.assert_stderr(&["job-broken.json:2:"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel() {
    let cluster = TestCluster::configured("job-cancel", 1).await;
    let long = cluster.program(&FLAGS).args(["--declared", "2h", "--zone", "zone-a", "--json"]);
    let status: border::JobStatus = long.run().await.expect_code(0).json();
    cluster.program(&["jobs", "cancel", &status.id]).run().await.expect_code(0);
    let cancelled = async || {
        let shown = cluster.program(&["jobs", "show", &status.id, "--json"]).run().await;
        shown.json::<border::JobStatus>().state == "cancelled"
    };
    wait_until("the job is cancelled", cancelled).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn impossible_job() {
    let cluster = TestCluster::configured("job-impossible", 1).await;
    for place in [vec!["--zone", "zone-a"], vec![]] {
        let program = cluster.program(&FLAGS).args(["--tasks", "500", "--accelerators", "8"]);
        let output = program.args(place).run().await.expect_code(1);
        output.assert_stderr(&["Refused"]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer() {
    let cluster = TestCluster::configured("job-lost", 1).await;
    let proxy = LossyProxy::start(cluster.nodes[0].callers(), 2).await;
    let args = ["--zone", "zone-a", "--json"];
    let program = cluster.program_at(&proxy.url(), &FLAGS).args(args);
    let status: border::JobStatus = program.run().await.expect_code(0).json();
    assert_eq!(proxy.dropped(), 2, "no answer was lost");
    cluster.program(&["jobs", "show", &status.id]).run().await.expect_code(0);

    let proxy = LossyProxy::start(cluster.nodes[0].callers(), usize::MAX).await;
    let output = cluster.program_at(&proxy.url(), &FLAGS).args(args).run().await.expect_code(5);
    output.assert_stderr(&["unknown", "basilrack jobs show "]);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_vm_gone() {
    let mut cluster = TestCluster::configured("job-gone", 1).await;
    let args = ["--zone", "zone-a", "--declared", "2h", "--wait"];
    let waiting = tokio::spawn(cluster.program(&FLAGS).args(args).run());
    let status = async || cluster.program(&["status", "--json"]).run().await.json();
    let running = async |status: border::Status| status.shards[0].running == Some(1);
    wait_until("the job runs", async || running(status().await).await).await;
    cluster.nodes.pop().unwrap().kill().await;
    let output = waiting.await.unwrap().expect_code(5);
    output.assert_stderr(&["was accepted", "basilrack jobs show "]);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_job() {
    let cluster = TestCluster::configured("job-unknown", 1).await;
    let output =
        cluster.program(&["jobs", "show", "0123456789abcdef:7"]).run().await.expect_code(5);
    output.assert_stderr(&["0123456789abcdef:7"]);
    let output = cluster.program(&["jobs", "show", "seven"]).run().await.expect_code(1);
    output.assert_stderr(&["job id"]);
}
