//! `status`, as tables and JSON, with the store up and down.

use crate::stage::Stage;
use crate::stage::until;
use wire::border;

#[tokio::test(flavor = "multi_thread")]
async fn tables() {
    let stage = Stage::configured("status-tables", 2).await;
    let ended = stage.program(&["status"]).run().await.expect(0);
    ended.says(&["Seen from entry-0 in zone-a", "configuration: revision 1, the latest"]);
    ended.says(&["Entry VMs", "entry-1", "Placement shards", "Store\n  answers"]);
    ended.says(&["Backend servers", "hub", "Unhealthy workers\n  none", "loaders"]);
    ended.says(&["reclaimable"]);
    assert!(ended.out.ends_with("Unknown\n  nothing\n"), "{ended:#?}");
    assert!(!ended.out.contains('\u{1b}'), "colours without a terminal: {ended:#?}");
    let ended = stage.program(&["status", "--color", "always"]).run().await.expect(0);
    assert!(ended.out.contains('\u{1b}'), "no colours: {ended:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down() {
    let stage = Stage::configured("status-down", 1).await;
    let status: border::Status = stage.program(&["status", "--json"]).run().await.expect(0).json();
    assert!(status.store.healthy && status.current, "{status:#?}");
    assert_eq!(status.unknown, []);

    stage.store.set_faults(|faults| faults.down = true);
    until("the entry VM sees that the store is down", async || {
        let view = stage.nodes[0].view().borrow().clone();
        !view.current && !view.fleet.store.healthy
    })
    .await;
    let status: border::Status = stage.program(&["status", "--json"]).run().await.expect(0).json();
    assert!(!status.store.healthy && !status.current, "{status:#?}");
    assert!(!status.unknown.is_empty());
    let ended = stage.program(&["status"]).run().await.expect(0);
    ended.says(&["does not answer", "revision 1, not known to be the latest"]);
    ended.says(&["Unknown\n  whether the configuration in force is the latest: "]);
    let ended = stage.program(&["text"]).run().await.expect(0);
    ended.warns(&["cannot confirm that revision 1 is the latest"]);
    let ended = stage.program(&["history"]).run().await.expect(1);
    ended.warns(&["Unavailable"]);
}
