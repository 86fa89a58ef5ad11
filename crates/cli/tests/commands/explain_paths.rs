//! `explain` of requests and jobs.

use crate::stage::Stage;
use wire::border;

#[tokio::test(flavor = "multi_thread")]
async fn request() {
    let stage = Stage::configured("explain-request", 1).await;
    let id = stage.send("tickets", "growers").await;
    let ended = stage.program(&["explain", "request", &id]).run().await.expect(0);
    ended.says(&[&format!("request {id}: "), "verdict ran", "backend server", "Z"]);
    ended.says(&["Unknown\n  nothing"]);
    let program = stage.program(&["explain", "request", &id, "--json"]);
    let known: border::Explanation = program.run().await.expect(0).json();
    assert_eq!(known.verdict, border::Verdict::Ran);
    assert!(known.steps.len() >= 2, "{known:#?}");
    assert!(known.steps.windows(2).all(|pair| pair[0].at_ms <= pair[1].at_ms), "{known:#?}");

    let program = stage.program(&["explain", "request", "0123456789abcdef:7"]);
    program.run().await.expect(5).says(&["verdict unknown", "Unknown\n  whether request"]);
    stage.program(&["explain", "request", "seven"]).run().await.expect(1);
}

#[tokio::test(flavor = "multi_thread")]
async fn job() {
    let stage = Stage::configured("explain-job", 1).await;
    let submit = ["jobs", "submit", "--account", "growers", "--service", "sorting"];
    let program = stage.program(&submit).args(["--zone", "zone-a", "--wait", "--json"]);
    let status: border::JobStatus = program.args(["--declared", "1s"]).run().await.expect(0).json();
    let ended = stage.program(&["explain", "job", &status.id]).run().await.expect(0);
    ended.says(&[&format!("job {}: done, verdict ran", status.id), "queued", "running"]);
    let program = stage.program(&["explain", "job", &status.id, "--json"]);
    let known: border::Explanation = program.run().await.expect(0).json();
    assert!(known.steps.iter().any(|step| step.state == "running"), "{known:#?}");
    stage.program(&["explain", "job", "0123456789abcdef:7"]).run().await.expect(5);
}
