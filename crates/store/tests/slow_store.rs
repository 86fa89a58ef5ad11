//! Guards against extra load on a store that responds slowly.

use std::time::Duration;

use fake::StoreServer;
use model::Verdict;
use store::Client;
use store::Config;
use store::Outcome;
use store::Purpose;
use store::Store;

fn start(deadline: Duration) -> (StoreServer, Client) {
    let server = StoreServer::start(1).expect("port is free");
    let config = Config { rate: 10_000.0, deadline, ..Config::new(&server.url()) };
    let client = Client::new(config).expect("url is valid");
    (server, client)
}

#[tokio::test]
async fn slow_responses_are_awaited() {
    let (server, client) = start(Duration::from_secs(20));
    client.get(Purpose::Report, "a").await.expect("the store is up");
    server.set_faults(|faults| faults.delay = Duration::from_millis(300));
    for _ in 0..3 {
        client.get(Purpose::Report, "a").await.expect("the answer comes before the deadline");
    }
    let counters = client.counters();
    assert!(counters.calls(Purpose::Report, Outcome::Answered) >= 4, "{counters:?}");
    assert!(counters.retries <= 3, "{counters:?}");
}

#[tokio::test]
async fn slow_store_gets_no_retries() {
    let (server, client) = start(Duration::from_secs(20));
    server.set_faults(|faults| faults.delay = Duration::from_millis(200));
    // The first responses raise the client's latency estimate.
    for _ in 0..6 {
        client.get(Purpose::Report, "a").await.expect("the answer comes before the deadline");
    }
    let retries = client.counters().retries;
    for _ in 0..4 {
        client.get(Purpose::Report, "a").await.expect("the answer comes before the deadline");
    }
    assert_eq!(client.counters().retries, retries);
}

#[tokio::test]
async fn call_on_new_connection_is_not_retried() {
    let (server, client) = start(Duration::from_secs(1));
    server.set_faults(|faults| faults.delay = Duration::from_secs(3600));
    let error = client.get(Purpose::Report, "a").await.expect_err("the store is too slow");
    assert_eq!(error.verdict(), Verdict::Unknown);
    assert_eq!(server.calls(None), 1);
}
