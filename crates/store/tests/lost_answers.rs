//! Requests and responses that are lost before or after the change takes effect.

use std::time::Duration;

use bytes::Bytes;

use fake::AnswerLoss;
use fake::CallKind;
use fake::StoreServer;
use model::Verdict;
use store::CasResolution;
use store::Client;
use store::Config;
use store::Outcome;
use store::Purpose;
use store::Store;
use store::resolve_cas;

const VALUE: Bytes = Bytes::from_static(b"write 1");

fn start(deadline: Duration) -> (StoreServer, Client) {
    let server = StoreServer::start(1).expect("port is free");
    let config = Config { rate: 10_000.0, deadline, ..Config::new(&server.url()) };
    let client = Client::new(config).expect("url is valid");
    (server, client)
}

async fn cas_verdict(client: &Client) -> Verdict {
    let result = client.cas(Purpose::Commit, "page", 0, VALUE, None).await;
    result.expect_err("the answer is lost").verdict()
}

async fn resolve(client: &Client) -> CasResolution {
    resolve_cas(client, Purpose::Commit, "page", 0, VALUE, None).await.expect("the store is up")
}

#[tokio::test]
async fn cas_is_not_retried() {
    let (server, client) = start(Duration::from_secs(20));
    server.set_faults(|faults| faults.lose_answer = 1.0);
    assert_eq!(cas_verdict(&client).await, Verdict::Unknown);
    assert_eq!(server.calls(Some(CallKind::Txn)), 1);
    assert_eq!(server.value("page"), Some(VALUE));
    assert_eq!(client.counters().calls(Purpose::Commit, Outcome::Unanswered), 1);

    server.set_faults(|faults| faults.lose_answer = 0.0);
    let version = server.revision();
    assert_eq!(resolve(&client).await, CasResolution::Committed { version });
}

#[tokio::test]
async fn lost_request_resolved() {
    let (server, client) = start(Duration::from_secs(20));
    server.set_faults(|faults| faults.drop_request = 1.0);
    assert_eq!(cas_verdict(&client).await, Verdict::Unknown);
    assert_eq!(server.value("page"), None);
    server.set_faults(|faults| faults.drop_request = 0.0);
    let version = server.revision() + 1;
    assert_eq!(resolve(&client).await, CasResolution::Committed { version });
}

#[tokio::test]
async fn later_change_supersedes() {
    let (server, client) = start(Duration::from_secs(20));
    server.set_faults(|faults| faults.lose_answer = 1.0);
    assert_eq!(cas_verdict(&client).await, Verdict::Unknown);
    server.set_faults(|faults| faults.lose_answer = 0.0);
    server.set("page", b"write 2");
    let CasResolution::Superseded { current: Some(entry) } = resolve(&client).await else {
        panic!("another write came after");
    };
    assert_eq!(entry.value, "write 2");
}

#[tokio::test]
async fn silent_connection_ends_by_deadline() {
    let (server, client) = start(Duration::from_secs(1));
    server.set_faults(|faults| {
        faults.lose_answer = 1.0;
        faults.loss = AnswerLoss::Silence;
    });
    assert_eq!(cas_verdict(&client).await, Verdict::Unknown);
    assert_eq!(server.calls(Some(CallKind::Txn)), 1);
    server.set_faults(|faults| faults.lose_answer = 0.0);
    assert!(matches!(resolve(&client).await, CasResolution::Committed { .. }));
    assert_eq!(client.counters().connections, 2, "the silent connection is not used again");
}

#[tokio::test]
async fn reads_are_retried_once() {
    let (server, client) = start(Duration::from_secs(20));
    server.set_faults(|faults| faults.lose_answer = 1.0);
    let error = client.get(Purpose::Report, "page").await.expect_err("the answer is lost");
    assert_eq!(error.verdict(), Verdict::Unknown);
    assert_eq!(server.calls(Some(CallKind::Range)), 2);
    assert_eq!(client.counters().retries, 1);
}

#[tokio::test]
async fn resolved_writes_run_exactly_once() {
    let (server, client) = start(Duration::from_secs(20));
    let mut version = 0;
    let mut resolutions = 0;
    server.set_faults(|faults| {
        faults.lose_answer = 0.25;
        faults.drop_request = 0.25;
    });
    for number in 0..200 {
        let value = Bytes::from(format!("write {number}"));
        let first = client.cas(Purpose::Commit, "page", version, value.clone(), None).await;
        if let Ok(store::Cas::Committed { version: committed }) = first {
            version = committed;
            continue;
        }
        resolutions += 1;
        let resolved = loop {
            let purpose = Purpose::Commit;
            match resolve_cas(&client, purpose, "page", version, value.clone(), None).await {
                Ok(resolved) => break resolved,
                Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
            }
        };
        let CasResolution::Committed { version: committed } = resolved else {
            panic!("{resolved:?}")
        };
        version = committed;
    }
    assert!(resolutions > 0);
    assert_eq!(server.revision(), 201, "each of the 200 writes took effect exactly once");
}

#[tokio::test]
async fn rejected_writes_had_no_effect() {
    let (server, client) = start(Duration::from_secs(20));
    let large = Bytes::from(vec![0; (1 << 20) + 1]);
    let error = client.put(Purpose::Commit, "page", large, None).await.expect_err("too large");
    assert_eq!(error.verdict(), Verdict::NotRun);
    let lease = Some(store::LeaseId(99));
    let error = client.cas(Purpose::Commit, "page", 0, VALUE, lease).await.expect_err("no lease");
    assert_eq!(error.verdict(), Verdict::NotRun);
    server.set_faults(|faults| faults.unavailable = 1.0);
    assert_eq!(cas_verdict(&client).await, Verdict::Unknown, "a failing store may have done it");
    assert_eq!(server.revision(), 1);
}
