//! Every entry VM is replaced, one after another, while callers send.

use crate::stage::Stage;
use crate::traffic::Traffic;

/// Answers that callers get between two replacements.
const PHASE: usize = 200;

#[tokio::test(flavor = "multi_thread")]
async fn nothing_cut() {
    let stage = Stage::start("rolling-replacement");
    let mut old = vec![stage.spawn("a"), stage.spawn("b"), stage.spawn("c")];
    stage.apply(&old.iter().collect::<Vec<_>>()).await;
    let traffic = Traffic::start(&stage, old.iter().map(|process| process.address).collect());
    let mut new = Vec::new();
    for (leaving, name) in old.drain(..).zip(["d", "e", "f"]) {
        traffic.flow(PHASE, "before a replacement").await;
        let joining = stage.spawn(name);
        stage.joined(&joining, 4).await;
        traffic.add(joining.address);
        traffic.remove(leaving.address);
        leaving.terminate();
        assert!(leaving.exit().await.success(), "a planned stop has to end well");
        stage.joined(&joining, 3).await;
        new.push(joining);
    }
    traffic.flow(PHASE, "after all replacements").await;
    assert_eq!(traffic.book().unknown(), [], "a planned stop left doubt");
    traffic.finish(&stage).await;
}
