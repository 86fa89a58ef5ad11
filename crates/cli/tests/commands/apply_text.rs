//! `apply`, alone, in a race, and with answers that are lost.

use crate::program::write;
use crate::relay::Relay;
use crate::stage::Stage;
use crate::stage::TEXT;
use crate::stage::until;

/// Changes tried while the store loses answers.
const LOSSY_CHANGES: u64 = 6;

fn weight(name: &str, weight: u64) -> String {
    let source = TEXT.replace("\"weight\": 2", &format!("\"weight\": {weight}"));
    write(&format!("{name}-{weight}.jsonc"), &source)
}

#[tokio::test(flavor = "multi_thread")]
async fn first_and_next() {
    let stage = Stage::start(2);
    let file = write("apply-first.jsonc", TEXT);
    let ended = stage.program(&["apply", &file, "--wait"]).run().await.expect(0);
    ended.says(&["+ accounts.growers.weight: 2", "revision 1 is stored", "in force on: entry-"]);
    let ended = stage.program(&["apply", &file]).run().await.expect(0);
    ended.says(&["no change", "revision 1 already has this configuration"]);
    stage.meet().await;
    let next = weight("apply-next", 5);
    let ended = stage.program(&["diff", &next]).run().await.expect(0);
    assert_eq!(ended.out, "~ accounts.growers.weight: 2 -> 5\n");
    let args = ["apply", &next, "--author", "Ilze", "--json", "--wait"];
    let ended = stage.program(&args).run().await.expect(0);
    let answer: serde_json::Value = ended.json();
    assert_eq!(answer["revision"], 2);
    assert_eq!(answer["changes"][0]["path"], "accounts.growers.weight");
    // A VM that is busy may not confirm at once, and is then named as unknown.
    let confirmed = async || {
        let ended = stage.program(&["apply", &next, "--wait"]).run().await.expect(0);
        ended.says(&["revision 2 already has this configuration", "in force on: "]);
        ended.out.contains("unknown on: none")
    };
    until("both entry VMs confirm the revision", confirmed).await;
    let ended = stage.program(&["text"]).run().await.expect(0);
    assert_eq!(ended.out, std::fs::read_to_string(&next).unwrap());
    let ended = stage.program(&["history"]).run().await.expect(0);
    ended.says(&["revision 2", "Ilze", "  ~ accounts.growers.weight: 2 -> 5", "revision 1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_members() {
    let mut stage = Stage::configured("apply-silent", 2).await;
    stage.nodes.pop().unwrap().kill().await;
    let next = weight("apply-silent", 5);
    let ended = stage.program(&["apply", &next, "--wait"]).run().await.expect(0);
    let unknown = ended.out.lines().find(|line| line.starts_with("unknown on: ")).unwrap();
    assert_ne!(unknown, "unknown on: none", "{ended:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_race() {
    let stage = Stage::configured("apply-race", 1).await;
    let theirs = weight("apply-race", 7);
    stage.program(&["apply", &theirs, "--author", "Ilze"]).run().await.expect(0);
    let mine = weight("apply-race", 9);
    let ended = stage.program(&["apply", &mine, "--expect", "1"]).run().await.expect(4);
    ended.warns(&[
        "Ilze",
        "revision 2",
        "~ accounts.growers.weight: 2 -> 7",
        "nothing was changed",
    ]);
    assert_eq!(stage.history().await.entries.len(), 2);
    stage.program(&["apply", &mine, "--expect", "2"]).run().await.expect(0);
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_text() {
    let stage = Stage::configured("apply-faulty", 1).await;
    let file = write("apply-faulty.jsonc", &TEXT.replace("\"pool\": \"hub\"", "\"pool\": \"hop\""));
    let ended = stage.program(&["apply", &file]).run().await.expect(3);
    ended.warns(&["apply-faulty.jsonc:6:66:", "services.tickets.pool"]);
    assert_eq!(stage.history().await.entries.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_settled() {
    let stage = Stage::configured("apply-settled", 1).await;
    let relay = Relay::start(stage.nodes[0].callers(), 2).await;
    let next = weight("apply-settled", 5);
    let ended = stage.program_at(&relay.url(), &["apply", &next]).run().await.expect(0);
    ended.says(&["revision 2 is stored"]);
    assert_eq!(relay.cut(), 2, "no answer was lost");
    assert_eq!(stage.history().await.entries.len(), 2, "stored more than once");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_settled_elsewhere() {
    let stage = Stage::configured("apply-elsewhere", 2).await;
    let relay = Relay::start(stage.nodes[0].callers(), usize::MAX).await;
    let urls = format!("{},{}", relay.url(), stage.url(1));
    let next = weight("apply-elsewhere", 5);
    let ended = stage.program_at(&urls, &["apply", &next]).run().await.expect(0);
    ended.says(&["revision 2 is stored"]);
    assert_eq!(relay.cut(), 1, "the other entry VM was not asked");
    assert_eq!(stage.history().await.entries.len(), 2, "stored more than once");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_overtaken() {
    // The write takes effect, its answers are lost, and another operator changes the configuration
    // before it is asked about again.
    let stage = Stage::configured("apply-overtaken", 1).await;
    let relay = Relay::start(stage.nodes[0].callers(), usize::MAX).await;
    let mine = weight("apply-overtaken", 5);
    let args = ["apply", &mine, "--expect", "1", "--write", "00000000000000aa"];
    let ended = stage.program_at(&relay.url(), &args).run().await.expect(5);
    ended.warns(&["unknown", "--expect 1 --write 00000000000000aa", "basilrack history"]);
    stage.program(&args).run().await.expect(0).says(&["revision 2 is stored"]);
    let theirs = weight("apply-overtaken", 7);
    stage.program(&["apply", &theirs, "--expect", "2"]).run().await.expect(0);
    let ended = stage.program(&args).run().await.expect(0);
    ended.says(&["revision 2 is stored"]);
    assert_eq!(stage.history().await.entries.len(), 3, "stored more than once");
}

#[tokio::test(flavor = "multi_thread")]
async fn store_that_loses_answers() {
    let stage = Stage::configured("apply-lossy", 1).await;
    for number in 0..LOSSY_CHANGES {
        let author = format!("author-{number}");
        let file = weight("apply-lossy", 10 + number);
        stage.store.set_faults(|faults| faults.lose_answer = 0.6);
        let ended = stage.program(&["apply", &file, "--author", &author]).run().await;
        stage.store.set_faults(|faults| faults.lose_answer = 0.0);
        let history = stage.history().await;
        let stored = history.entries.iter().filter(|entry| entry.author == author).count();
        match ended.code {
            0 => assert_eq!(stored, 1, "said to be stored: {ended:#?}"),
            1 => assert_eq!(stored, 0, "said not to be stored: {ended:#?}"),
            5 => assert!(stored <= 1, "stored twice: {ended:#?}"),
            _ => panic!("{ended:#?}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn first_text_without_store() {
    // An entry VM that has no configuration may only be late, so the store has to say that there
    // is none before a first one is written.
    let stage = Stage::start(1);
    stage.store.set_faults(|faults| faults.down = true);
    let file = write("apply-no-store.jsonc", TEXT);
    let ended = stage.program(&["apply", &file]).run().await.expect(1);
    ended.warns(&["Unavailable"]);
    stage.store.set_faults(|faults| faults.down = false);
    until("the store answers again", async || {
        stage.program(&["apply", &file]).run().await.code == 0
    })
    .await;
    assert_eq!(stage.history().await.entries.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down() {
    let stage = Stage::configured("apply-down", 1).await;
    stage.store.set_faults(|faults| faults.down = true);
    let next = weight("apply-down", 5);
    let ended = stage.program(&["apply", &next]).run().await.expect(1);
    ended.warns(&["the store did not answer; nothing was changed"]);
}
