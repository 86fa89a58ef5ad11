//! `explain request` and `explain job`.

use crate::stage::TestCluster;
use wire::border;

#[tokio::test(flavor = "multi_thread")]
async fn request() {
    let cluster = TestCluster::configured("explain-request", 1).await;
    let id = cluster.send("tickets", "growers").await;
    let output = cluster.program(&["explain", "request", &id]).run().await.expect_code(0);
    output.assert_stdout(&[&format!("request {id}: "), "verdict ran", "backend server", "Z"]);
    output.assert_stdout(&["Unknown\n  nothing"]);
    let program = cluster.program(&["explain", "request", &id, "--json"]);
    let known: border::Explanation = program.run().await.expect_code(0).json();
    assert_eq!(known.verdict, border::Verdict::Ran);
    assert!(known.steps.len() >= 2, "{known:#?}");
    assert!(known.steps.windows(2).all(|pair| pair[0].at_ms <= pair[1].at_ms), "{known:#?}");

    let program = cluster.program(&["explain", "request", "0123456789abcdef:7"]);
    program
        .run()
        .await
        .expect_code(5)
        .assert_stdout(&["verdict unknown", "Unknown\n  whether request"]);
    cluster.program(&["explain", "request", "seven"]).run().await.expect_code(1);
}

#[tokio::test(flavor = "multi_thread")]
async fn job() {
    let cluster = TestCluster::configured("explain-job", 1).await;
    let submit = ["jobs", "submit", "--account", "growers", "--service", "sorting"];
    let program = cluster.program(&submit).args(["--zone", "zone-a", "--wait", "--json"]);
    let status: border::JobStatus =
        program.args(["--declared", "1s"]).run().await.expect_code(0).json();
    let output = cluster.program(&["explain", "job", &status.id]).run().await.expect_code(0);
    output.assert_stdout(&[&format!("job {}: done, verdict ran", status.id), "queued", "running"]);
    let program = cluster.program(&["explain", "job", &status.id, "--json"]);
    let known: border::Explanation = program.run().await.expect_code(0).json();
    assert!(known.steps.iter().any(|step| step.state == "running"), "{known:#?}");
    cluster.program(&["explain", "job", "0123456789abcdef:7"]).run().await.expect_code(5);
}
