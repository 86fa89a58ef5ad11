//! Jobs from submission to their end.

use crate::program::write;
use crate::relay::Relay;
use crate::stage::Stage;
use crate::stage::until;
use wire::border;

const FLAGS: [&str; 6] = ["jobs", "submit", "--account", "growers", "--service", "sorting"];

#[tokio::test(flavor = "multi_thread")]
async fn submit_and_wait() {
    let stage = Stage::configured("job-wait", 1).await;
    let program = stage.program(&FLAGS).args([
        "--zone",
        "zone-a",
        "--declared",
        "1s",
        "--tasks",
        "2",
        "--wait",
        "--json",
    ]);
    let status: border::JobStatus = program.run().await.expect(0).json();
    assert_eq!((status.state.as_str(), status.verdict), ("done", border::Verdict::Ran));
    let ended = stage.program(&["jobs", "show", &status.id]).run().await.expect(0);
    ended.says(&[&format!("job {}: done", status.id), "verdict: ran (final)", "shard: zone-a"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn submit_file_anywhere() {
    let stage = Stage::configured("job-file", 2).await;
    let spec = serde_json::json!({
        "account": "loaders", "service": "sorting", "priority": "normal", "idempotent": true,
        "declared_ms": 1_000,
        "shape": {
            "tasks": 2, "accelerators": 8, "millicores": 1_000, "memory_mib": 1_024,
            "adjacency": "rack",
        },
    });
    let file = write("job-file.json", &spec.to_string());
    let program = stage.program(&["jobs", "submit", &file, "--wait"]);
    program.run().await.expect(0).says(&["done", "verdict: ran (final)"]);
    let broken = write("job-broken.json", "{\n  \"account\": 7\n}");
    let ended = stage.program(&["jobs", "submit", &broken]).run().await.expect(3);
    ended.warns(&["job-broken.json:2:"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel() {
    let stage = Stage::configured("job-cancel", 1).await;
    let long = stage.program(&FLAGS).args(["--declared", "2h", "--zone", "zone-a", "--json"]);
    let status: border::JobStatus = long.run().await.expect(0).json();
    stage.program(&["jobs", "cancel", &status.id]).run().await.expect(0);
    let cancelled = async || {
        let shown = stage.program(&["jobs", "show", &status.id, "--json"]).run().await;
        shown.json::<border::JobStatus>().state == "cancelled"
    };
    until("the job is cancelled", cancelled).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn impossible_job() {
    let stage = Stage::configured("job-impossible", 1).await;
    for place in [vec!["--zone", "zone-a"], vec![]] {
        let program = stage.program(&FLAGS).args(["--tasks", "500", "--accelerators", "8"]);
        let ended = program.args(place).run().await.expect(1);
        ended.warns(&["Refused"]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer() {
    let stage = Stage::configured("job-lost", 1).await;
    let relay = Relay::start(stage.nodes[0].callers(), 2).await;
    let args = ["--zone", "zone-a", "--json"];
    let program = stage.program_at(&relay.url(), &FLAGS).args(args);
    let status: border::JobStatus = program.run().await.expect(0).json();
    assert_eq!(relay.cut(), 2, "no answer was lost");
    stage.program(&["jobs", "show", &status.id]).run().await.expect(0);

    let relay = Relay::start(stage.nodes[0].callers(), usize::MAX).await;
    let ended = stage.program_at(&relay.url(), &FLAGS).args(args).run().await.expect(5);
    ended.warns(&["unknown", "basilrack jobs show "]);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_vm_gone() {
    let mut stage = Stage::configured("job-gone", 1).await;
    let args = ["--zone", "zone-a", "--declared", "2h", "--wait"];
    let waiting = tokio::spawn(stage.program(&FLAGS).args(args).run());
    let status = async || stage.program(&["status", "--json"]).run().await.json();
    let running = async |status: border::Status| status.shards[0].running == Some(1);
    until("the job runs", async || running(status().await).await).await;
    stage.nodes.pop().unwrap().kill().await;
    let ended = waiting.await.unwrap().expect(5);
    ended.warns(&["was accepted", "basilrack jobs show "]);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_job() {
    let stage = Stage::configured("job-unknown", 1).await;
    let ended = stage.program(&["jobs", "show", "0123456789abcdef:7"]).run().await.expect(5);
    ended.warns(&["0123456789abcdef:7"]);
    let ended = stage.program(&["jobs", "show", "seven"]).run().await.expect(1);
    ended.warns(&["job id"]);
}
