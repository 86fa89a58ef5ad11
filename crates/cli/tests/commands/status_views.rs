//! `status` as tables and JSON, with the store up and down.

use crate::stage::TestCluster;
use crate::stage::wait_until;
use wire::border;

#[tokio::test(flavor = "multi_thread")]
async fn tables() {
    let cluster = TestCluster::configured("status-tables", 2).await;
    let output = cluster.program(&["status"]).run().await.expect_code(0);
    output.assert_stdout(&["Seen from entry-0 in zone-a", "configuration: revision 1, the latest"]);
    output.assert_stdout(&["Entry VMs", "entry-1", "Placement shards", "Store\n  answers"]);
    output.assert_stdout(&["Backend servers", "hub", "Unhealthy workers\n  none", "loaders"]);
    output.assert_stdout(&["reclaimable"]);
    assert!(output.stdout.ends_with("Unknown\n  nothing\n"), "{output:#?}");
    assert!(!output.stdout.contains('\u{1b}'), "colours without a terminal: {output:#?}");
    let output = cluster.program(&["status", "--color", "always"]).run().await.expect_code(0);
    assert!(output.stdout.contains('\u{1b}'), "no colours: {output:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down() {
    let cluster = TestCluster::configured("status-down", 1).await;
    let status: border::Status =
        cluster.program(&["status", "--json"]).run().await.expect_code(0).json();
    assert!(status.store.healthy && status.current, "{status:#?}");
    assert_eq!(status.unknown, []);

    cluster.store.set_faults(|faults| faults.down = true);
    wait_until("the entry VM sees that the store is down", async || {
        let view = cluster.nodes[0].view().borrow().clone();
        !view.current && !view.fleet.store.healthy
    })
    .await;
    let status: border::Status =
        cluster.program(&["status", "--json"]).run().await.expect_code(0).json();
    assert!(!status.store.healthy && !status.current, "{status:#?}");
    assert!(!status.unknown.is_empty());
    let output = cluster.program(&["status"]).run().await.expect_code(0);
    output.assert_stdout(&["does not answer", "revision 1, not known to be the latest"]);
    output.assert_stdout(&["Unknown\n  whether the configuration in force is the latest: "]);
    let output = cluster.program(&["text"]).run().await.expect_code(0);
    output.assert_stderr(&["cannot confirm that revision 1 is the latest"]);
    let output = cluster.program(&["history"]).run().await.expect_code(1);
    output.assert_stderr(&["Unavailable"]);
}
