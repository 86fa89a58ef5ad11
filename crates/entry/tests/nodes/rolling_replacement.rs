//! Replaces all entry VMs one after another under load: no request may be lost or left unknown.

use crate::stage::Stage;
use crate::traffic::Traffic;

/// Answers to wait for between two replacements.
const PHASE_ANSWERS: usize = 200;

#[tokio::test(flavor = "multi_thread")]
async fn nothing_cut() {
    let stage = Stage::start("rolling-replacement");
    let mut old = vec![stage.spawn("a"), stage.spawn("b"), stage.spawn("c")];
    stage.apply(&old.iter().collect::<Vec<_>>()).await;
    let traffic = Traffic::start(&stage, old.iter().map(|process| process.address).collect());
    let mut new = Vec::new();
    for (leaving, name) in old.drain(..).zip(["d", "e", "f"]) {
        traffic.wait_for_answers(PHASE_ANSWERS, "before a replacement").await;
        let joining = stage.spawn(name);
        stage.wait_joined(&joining, 4).await;
        traffic.add(joining.address);
        traffic.remove(leaving.address);
        leaving.terminate();
        assert!(leaving.exit().await.success(), "a planned stop must exit with success");
        stage.wait_joined(&joining, 3).await;
        new.push(joining);
    }
    traffic.wait_for_answers(PHASE_ANSWERS, "after all replacements").await;
    assert_eq!(traffic.answers().unknown(), [], "a planned stop left unknown verdicts");
    traffic.finish(&stage).await;
}
