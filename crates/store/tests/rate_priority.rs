//! Rate limit, priorities and circuit breaker of the client against a fake store.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use fake::StoreServer;
use model::Verdict;
use store::Client;
use store::Config;
use store::Error;
use store::Purpose;
use store::Store;

fn start(change: impl FnOnce(&mut Config)) -> (StoreServer, Client) {
    let server = StoreServer::start(1).expect("port is free");
    let mut config = Config { deadline: Duration::from_secs(60), ..Config::new(&server.url()) };
    change(&mut config);
    let client = Client::new(config).expect("url is valid");
    (server, client)
}

#[tokio::test]
async fn rate_limit_holds() {
    let began = Instant::now();
    let (server, client) = start(|config| {
        config.rate = 200.0;
        config.burst = 5;
    });
    let mut calls = JoinSet::new();
    for _ in 0..100 {
        let client = client.clone();
        calls.spawn(async move { client.get(Purpose::Report, "a").await });
    }
    while let Some(call) = calls.join_next().await {
        call.expect("no panic").expect("the store is up");
        let allowed = 5.0 + 200.0 * began.elapsed().as_secs_f64();
        let sent = server.calls(None);
        assert!(sent as f64 <= allowed, "{sent} calls where {allowed} were allowed");
    }
    assert_eq!(server.calls(None), 100);
}

#[tokio::test]
async fn urgent_calls_first() {
    let (server, client) = start(|config| {
        config.rate = 10_000.0;
        config.inflight = 1;
    });
    server.set_faults(|faults| faults.delay = Duration::from_millis(10));
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut calls = JoinSet::new();
    let purposes = [
        [Purpose::Report; 4],
        [Purpose::Configuration; 4],
        [Purpose::Commit; 4],
        [Purpose::Ownership; 4],
    ];
    for purpose in purposes.into_iter().flatten() {
        let (client, order) = (client.clone(), order.clone());
        calls.spawn(async move {
            client.get(purpose, "a").await.expect("the store is up");
            order.lock().expect("no panic").push(purpose);
        });
    }
    while let Some(call) = calls.join_next().await {
        call.expect("no panic");
    }
    let order = order.lock().expect("no panic");
    // The first call was sent before the others were queued.
    assert_eq!(order[0], Purpose::Report);
    assert!(order[1..].is_sorted(), "{order:?}");
}

#[tokio::test]
async fn full_queue_evicts_least_urgent() {
    let (server, client) = start(|config| {
        config.inflight = 1;
        config.depth = 1;
        config.deadline = Duration::from_secs(2);
    });
    server.set_faults(|faults| faults.stuck = true);
    let get = |purpose| {
        let client = client.clone();
        tokio::spawn(async move { client.get(purpose, "a").await.expect_err("the store is stuck") })
    };
    let stuck = get(Purpose::Report);
    while server.calls(None) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    let waiting = get(Purpose::Report);
    tokio::task::yield_now().await;
    let equal = get(Purpose::Report).await.expect("no panic");
    assert!(matches!(equal, Error::Full { purpose: Purpose::Report }), "{equal:?}");
    let urgent = get(Purpose::Ownership);
    let evicted = waiting.await.expect("no panic");
    assert!(matches!(evicted, Error::Full { purpose: Purpose::Report }), "{evicted:?}");
    assert_eq!(evicted.verdict(), Verdict::NotRun);
    let stuck = stuck.await.expect("no panic");
    assert!(matches!(stuck, Error::Timeout { .. }), "{stuck:?}");
    assert_eq!(stuck.verdict(), Verdict::Unknown);
    let urgent = urgent.await.expect("no panic");
    assert_ne!(urgent.verdict(), Verdict::Ran);
}

#[tokio::test]
async fn deadline_covers_queue_wait() {
    let (server, client) = start(|config| {
        config.rate = 0.01;
        config.burst = 1;
        config.deadline = Duration::from_secs(1);
    });
    client.get(Purpose::Report, "a").await.expect("the store is up");
    let second = client.get(Purpose::Report, "b").await.expect_err("the next turn is far away");
    assert!(matches!(second, Error::Expired { .. }), "{second:?}");
    assert_eq!(second.verdict(), Verdict::NotRun);
    assert_eq!(server.calls(None), 1);
}

#[tokio::test]
async fn open_breaker_refuses_calls_at_once() {
    let (server, client) = start(|config| {
        config.rate = 10_000.0;
        config.backoff = Duration::from_millis(400);
    });
    let began = Instant::now();
    server.set_faults(|faults| faults.unavailable = 1.0);
    let mut refused = 0;
    for _ in 0..500 {
        let error = client.get(Purpose::Report, "a").await.expect_err("the store fails");
        if matches!(error, Error::Down { .. }) {
            assert_eq!(error.verdict(), Verdict::NotRun);
            refused += 1;
        }
        sleep(Duration::from_millis(1)).await;
    }
    // The pauses between probes are at least 50, 100, then 200 ms.
    let allowed = 4 + 2 + began.elapsed().as_millis() / 200 + 1;
    let sent = server.calls(None);
    assert!(u128::from(sent) <= allowed, "{sent} calls where {allowed} were allowed");
    assert_eq!(refused + sent, 500);

    server.set_faults(|faults| faults.unavailable = 0.0);
    while client.get(Purpose::Report, "a").await.is_err() {
        sleep(Duration::from_millis(10)).await;
    }
    client.get(Purpose::Report, "a").await.expect("the store is back");
}

#[tokio::test]
async fn refused_connection_did_not_run() {
    let (server, client) = start(|_| {});
    server.set_faults(|faults| faults.down = true);
    let error = loop {
        match client.cas(Purpose::Commit, "a", 0, "1".into(), None).await {
            Err(error @ Error::Connect { .. }) => break error,
            // The listener closes asynchronously.
            _ => tokio::task::yield_now().await,
        }
    };
    assert_eq!(error.verdict(), Verdict::NotRun);
}

#[tokio::test]
async fn cancelled_calls_leave_the_queue() {
    let (server, client) = start(|config| {
        config.rate = 10_000.0;
        config.inflight = 1;
        config.depth = 2;
    });
    server.set_faults(|faults| faults.stuck = true);
    let holder = client.clone();
    let holder = tokio::spawn(async move { holder.get(Purpose::Report, "a").await });
    while server.calls(None) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    for _ in 0..20 {
        let call = client.get(Purpose::Report, "a");
        let cancelled = tokio::time::timeout(Duration::from_millis(2), call).await;
        assert!(cancelled.is_err(), "{cancelled:?}");
    }
    holder.abort();
    server.set_faults(|faults| faults.stuck = false);
    client.get(Purpose::Report, "a").await.expect("the queue is free again");
}

#[test]
fn urls_are_checked() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let _guard = runtime.as_ref().expect("runtime starts").enter();
    for url in ["https://127.0.0.1:1", "127.0.0.1:1", "http://127.0.0.1", "http://127.0.0.1:1/v3"] {
        let error = Client::new(Config::new(url)).expect_err("url is not valid");
        assert!(matches!(error, Error::Url { .. }), "{error:?}");
    }
}
