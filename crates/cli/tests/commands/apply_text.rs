//! `apply`: successful changes, concurrent changes, lost responses and store failures.

use crate::program::write;
use crate::relay::LossyProxy;
use crate::stage::CONFIG;
use crate::stage::TestCluster;
use crate::stage::wait_until;

/// Number of changes made while the store loses responses.
const LOSSY_CHANGES: u64 = 6;

fn write_with_weight(name: &str, weight: u64) -> String {
    let source = CONFIG.replace("\"weight\": 2", &format!("\"weight\": {weight}"));
    write(&format!("{name}-{weight}.jsonc"), &source)
}

#[tokio::test(flavor = "multi_thread")]
async fn first_and_next() {
    let cluster = TestCluster::start(2);
    let file = write("apply-first.jsonc", CONFIG);
    let output = cluster.program(&["apply", &file, "--wait"]).run().await.expect_code(0);
    output.assert_stdout(&[
        "+ accounts.growers.weight: 2",
        "revision 1 is stored",
        "in force on: entry-",
    ]);
    let output = cluster.program(&["apply", &file]).run().await.expect_code(0);
    output.assert_stdout(&["no change", "revision 1 already has this configuration"]);
    cluster.wait_until_ready().await;
    let next = write_with_weight("apply-next", 5);
    let output = cluster.program(&["diff", &next]).run().await.expect_code(0);
    assert_eq!(output.stdout, "~ accounts.growers.weight: 2 -> 5\n");
    let args = ["apply", &next, "--author", "Ilze", "--json", "--wait"];
    let output = cluster.program(&args).run().await.expect_code(0);
    let answer: serde_json::Value = output.json();
    assert_eq!(answer["revision"], 2);
    assert_eq!(answer["changes"][0]["path"], "accounts.growers.weight");
    // A busy entry VM may not confirm in time, and is then listed as unknown.
    let confirmed = async || {
        let output = cluster.program(&["apply", &next, "--wait"]).run().await.expect_code(0);
        output.assert_stdout(&["revision 2 already has this configuration", "in force on: "]);
        output.stdout.contains("unknown on: none")
    };
    wait_until("both entry VMs confirm the revision", confirmed).await;
    let output = cluster.program(&["text"]).run().await.expect_code(0);
    assert_eq!(output.stdout, std::fs::read_to_string(&next).unwrap());
    let output = cluster.program(&["history"]).run().await.expect_code(0);
    output.assert_stdout(&[
        "revision 2",
        "Ilze",
        "  ~ accounts.growers.weight: 2 -> 5",
        "revision 1",
    ]);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_members() {
    let mut cluster = TestCluster::configured("apply-silent", 2).await;
    cluster.nodes.pop().unwrap().kill().await;
    let next = write_with_weight("apply-silent", 5);
    let output = cluster.program(&["apply", &next, "--wait"]).run().await.expect_code(0);
    let unknown = output.stdout.lines().find(|line| line.starts_with("unknown on: ")).unwrap();
    assert_ne!(unknown, "unknown on: none", "{output:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_race() {
    let cluster = TestCluster::configured("apply-race", 1).await;
    let theirs = write_with_weight("apply-race", 7);
    cluster.program(&["apply", &theirs, "--author", "Ilze"]).run().await.expect_code(0);
    let mine = write_with_weight("apply-race", 9);
    let output = cluster.program(&["apply", &mine, "--expect", "1"]).run().await.expect_code(4);
    output.assert_stderr(&[
        "Ilze",
        "revision 2",
        "~ accounts.growers.weight: 2 -> 7",
        "nothing was changed",
    ]);
    assert_eq!(cluster.history().await.entries.len(), 2);
    cluster.program(&["apply", &mine, "--expect", "2"]).run().await.expect_code(0);
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_configuration() {
    let cluster = TestCluster::configured("apply-faulty", 1).await;
    let file =
        write("apply-faulty.jsonc", &CONFIG.replace("\"pool\": \"hub\"", "\"pool\": \"hop\""));
    let output = cluster.program(&["apply", &file]).run().await.expect_code(3);
    output.assert_stderr(&["apply-faulty.jsonc:6:66:", "services.tickets.pool"]);
    assert_eq!(cluster.history().await.entries.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_settled() {
    let cluster = TestCluster::configured("apply-settled", 1).await;
    let proxy = LossyProxy::start(cluster.nodes[0].callers(), 2).await;
    let next = write_with_weight("apply-settled", 5);
    let output = cluster.program_at(&proxy.url(), &["apply", &next]).run().await.expect_code(0);
    output.assert_stdout(&["revision 2 is stored"]);
    assert_eq!(proxy.dropped(), 2, "no answer was lost");
    assert_eq!(cluster.history().await.entries.len(), 2, "stored more than once");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_settled_elsewhere() {
    let cluster = TestCluster::configured("apply-elsewhere", 2).await;
    let proxy = LossyProxy::start(cluster.nodes[0].callers(), usize::MAX).await;
    let urls = format!("{},{}", proxy.url(), cluster.url(1));
    let next = write_with_weight("apply-elsewhere", 5);
    let output = cluster.program_at(&urls, &["apply", &next]).run().await.expect_code(0);
    output.assert_stdout(&["revision 2 is stored"]);
    assert_eq!(proxy.dropped(), 1, "the other entry VM was not asked");
    assert_eq!(cluster.history().await.entries.len(), 2, "stored more than once");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_overtaken() {
    // The write takes effect but its responses are lost, and another operator changes the
    // configuration before the write is repeated.
    let cluster = TestCluster::configured("apply-overtaken", 1).await;
    let proxy = LossyProxy::start(cluster.nodes[0].callers(), usize::MAX).await;
    let mine = write_with_weight("apply-overtaken", 5);
    let args = ["apply", &mine, "--expect", "1", "--write", "00000000000000aa"];
    let output = cluster.program_at(&proxy.url(), &args).run().await.expect_code(5);
    output.assert_stderr(&["unknown", "--expect 1 --write 00000000000000aa", "basilrack history"]);
    cluster.program(&args).run().await.expect_code(0).assert_stdout(&["revision 2 is stored"]);
    let theirs = write_with_weight("apply-overtaken", 7);
    cluster.program(&["apply", &theirs, "--expect", "2"]).run().await.expect_code(0);
    let output = cluster.program(&args).run().await.expect_code(0);
    output.assert_stdout(&["revision 2 is stored"]);
    assert_eq!(cluster.history().await.entries.len(), 3, "stored more than once");
}

#[tokio::test(flavor = "multi_thread")]
async fn store_that_loses_answers() {
    let cluster = TestCluster::configured("apply-lossy", 1).await;
    for number in 0..LOSSY_CHANGES {
        let author = format!("author-{number}");
        let file = write_with_weight("apply-lossy", 10 + number);
        cluster.store.set_faults(|faults| faults.lose_answer = 0.6);
        let output = cluster.program(&["apply", &file, "--author", &author]).run().await;
        cluster.store.set_faults(|faults| faults.lose_answer = 0.0);
        let history = cluster.history().await;
        let stored = history.entries.iter().filter(|entry| entry.author == author).count();
        match output.code {
            0 => assert_eq!(stored, 1, "said to be stored: {output:#?}"),
            1 => assert_eq!(stored, 0, "said not to be stored: {output:#?}"),
            5 => assert!(stored <= 1, "stored twice: {output:#?}"),
            _ => panic!("{output:#?}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn first_configuration_without_store() {
    // An entry VM without a configuration may just not have loaded it yet, so the first one may be
    // stored only after the store has confirmed that there is none.
    let cluster = TestCluster::start(1);
    cluster.store.set_faults(|faults| faults.down = true);
    let file = write("apply-no-store.jsonc", CONFIG);
    let output = cluster.program(&["apply", &file]).run().await.expect_code(1);
    output.assert_stderr(&["Unavailable"]);
    cluster.store.set_faults(|faults| faults.down = false);
    wait_until("the store answers again", async || {
        cluster.program(&["apply", &file]).run().await.code == 0
    })
    .await;
    assert_eq!(cluster.history().await.entries.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down() {
    let cluster = TestCluster::configured("apply-down", 1).await;
    cluster.store.set_faults(|faults| faults.down = true);
    let next = write_with_weight("apply-down", 5);
    let output = cluster.program(&["apply", &next]).run().await.expect_code(1);
    output.assert_stderr(&["the store did not answer; nothing was changed"]);
}
