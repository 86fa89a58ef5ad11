//! Connections that stop responding while new ones work.

use std::time::Duration;

use bytes::Bytes;

use fake::CallKind;
use fake::StoreServer;
use model::Verdict;
use store::Cas;
use store::Client;
use store::Config;
use store::Purpose;
use store::Store;
use store::WatchEvent;

fn start(deadline: Duration) -> (StoreServer, Client) {
    let server = StoreServer::start(1).expect("port is free");
    let watch_timeout = Duration::from_millis(200);
    let hedge_delay = deadline / 4;
    let config = Config {
        rate: 10_000.0,
        deadline,
        watch_timeout,
        hedge_delay,
        ..Config::new(&server.url())
    };
    let client = Client::new(config).expect("url is valid");
    (server, client)
}

#[tokio::test]
async fn read_moves_to_new_connection() {
    let (server, client) = start(Duration::from_secs(4));
    client.get(Purpose::Report, "a").await.expect("the store is up");
    server.silence();
    client.get(Purpose::Report, "a").await.expect("a new connection works");
    assert_eq!(client.counters().retries, 1);
    assert_eq!(client.counters().connections, 2);
}

#[tokio::test]
async fn unresponsive_connection_closes_idle_ones() {
    let (server, client) = start(Duration::from_secs(4));
    server.set_faults(|faults| faults.delay = Duration::from_millis(50));
    read_concurrently(&client, 4).await;
    assert_eq!(client.counters().connections, 4);
    server.silence();
    client.get(Purpose::Report, "a").await.expect("a new connection works");
    read_concurrently(&client, 4).await;
    assert_eq!(client.counters().retries, 1, "only the first read met a silent connection");
}

/// Runs `count` reads at the same time, so that no two share a connection.
async fn read_concurrently(client: &Client, count: usize) {
    let reads = (0..count).map(|_| {
        let client = client.clone();
        tokio::spawn(async move { client.get(Purpose::Report, "a").await })
    });
    for read in reads.collect::<Vec<_>>() {
        read.await.expect("no panic").expect("the store is up");
    }
}

#[tokio::test]
async fn unanswered_write_unknown() {
    let (server, client) = start(Duration::from_secs(1));
    client.get(Purpose::Commit, "a").await.expect("the store is up");
    server.silence();
    let first = client.cas(Purpose::Commit, "a", 0, Bytes::new(), None).await;
    assert_eq!(first.expect_err("the connection is silent").verdict(), Verdict::Unknown);
    assert_eq!(server.calls(Some(CallKind::Txn)), 0);
    let second = client.cas(Purpose::Commit, "a", 0, Bytes::new(), None).await;
    assert!(matches!(second, Ok(Cas::Committed { .. })), "{second:?}");
}

#[tokio::test]
async fn silent_watch_is_reopened() {
    let (server, client) = start(Duration::from_secs(2));
    let mut watch = client.watch(Purpose::Configuration, "t/", 1);
    let first = server.set("t/a", b"1");
    assert_eq!(next_version(&mut watch).await, first);
    server.silence();
    let second = server.set("t/a", b"2");
    assert_eq!(next_version(&mut watch).await, second);
    assert!(server.calls(Some(CallKind::Watch)) >= 2);
}

async fn next_version(watch: &mut store::Watch) -> u64 {
    loop {
        match watch.next().await {
            WatchEvent::Put(entry) => return entry.version,
            WatchEvent::Current { .. } => {}
            other => panic!("unexpected {other:?}"),
        }
    }
}

#[tokio::test]
async fn silent_calls_free_their_slots() {
    let server = StoreServer::start(1).expect("port is free");
    let deadline = Duration::from_secs(20);
    let hedge_delay = Duration::from_millis(200);
    let config =
        Config { rate: 10_000.0, inflight: 4, deadline, hedge_delay, ..Config::new(&server.url()) };
    let client = Client::new(config).expect("url is valid");
    server.set_faults(|faults| faults.delay = Duration::from_millis(20));
    read_concurrently(&client, 4).await;
    server.silence();
    // Fails if the retries have to wait for the slots of the calls on silent connections.
    read_concurrently(&client, 4).await;
    assert_eq!(client.counters().retries, 4);
}
