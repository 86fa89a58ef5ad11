//! Watches that are interrupted, compacted, shared, or behind the event log.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use fake::CallKind;
use fake::StoreServer;
use store::Client;
use store::Config;
use store::Outcome;
use store::Purpose;
use store::Store;
use store::Watch;
use store::WatchEvent;

fn start() -> (StoreServer, Client) {
    start_with(Duration::from_millis(200))
}

fn start_with(watch_timeout: Duration) -> (StoreServer, Client) {
    let server = StoreServer::start(1).expect("port is free");
    server.set_faults(|faults| faults.progress = Some(Duration::from_millis(20)));
    let config = Config {
        rate: 10_000.0,
        deadline: Duration::from_secs(1),
        watch_timeout,
        backoff: Duration::from_millis(50),
        ..Config::new(&server.url())
    };
    let client = Client::new(config).expect("url is valid");
    (server, client)
}

/// Reads events until `wanted` returns a value for one.
async fn wait_for<T>(watch: &mut Watch, wanted: impl Fn(&WatchEvent) -> Option<T>) -> T {
    loop {
        if let Some(found) = wanted(&watch.next().await) {
            return found;
        }
    }
}

async fn next_versions(watch: &mut Watch, count: usize) -> Vec<u64> {
    let mut versions = Vec::new();
    while versions.len() < count {
        match watch.next().await {
            WatchEvent::Put(entry) => versions.push(entry.version),
            WatchEvent::Compacted { revision } => panic!("compacted to {revision}"),
            WatchEvent::Delete { .. } | WatchEvent::Current { .. } | WatchEvent::Lost { .. } => {}
        }
    }
    versions
}

fn lost(event: &WatchEvent) -> Option<()> {
    matches!(event, WatchEvent::Lost { .. }).then_some(())
}

#[tokio::test]
async fn outage_loses_nothing() {
    let (server, client) = start();
    let mut watch = client.watch(Purpose::Configuration, "t/", 1);
    let mut expected = vec![server.set("t/a", b"1")];
    let mut seen = next_versions(&mut watch, 1).await;
    server.set_faults(|faults| faults.down = true);
    wait_for(&mut watch, lost).await;
    assert!(client.counters().calls(Purpose::Configuration, Outcome::Unsent) > 0);
    expected.extend((0..50).map(|number: u32| server.set("t/a", &number.to_le_bytes())));
    server.set_faults(|faults| faults.down = false);
    seen.extend(next_versions(&mut watch, 50).await);
    assert_eq!(seen, expected);
    let last = server.revision();
    let current = |event: &WatchEvent| match event {
        WatchEvent::Current { revision } => Some(*revision),
        _ => None,
    };
    assert_eq!(wait_for(&mut watch, current).await, last);
}

#[tokio::test]
async fn compaction_is_reported() {
    let (server, client) = start();
    let mut watch = client.watch(Purpose::Configuration, "t/", 1);
    let first = server.set("t/a", b"1");
    assert_eq!(next_versions(&mut watch, 1).await, vec![first]);
    server.set_faults(|faults| faults.down = true);
    wait_for(&mut watch, lost).await;
    server.set("t/a", b"2");
    server.set("t/a", b"3");
    let kept = server.set("t/b", b"4");
    server.compact(0);
    server.set_faults(|faults| faults.down = false);
    let compacted = |event: &WatchEvent| match event {
        WatchEvent::Compacted { revision } => Some(*revision),
        _ => None,
    };
    assert_eq!(wait_for(&mut watch, compacted).await, kept);
    let listing = client.list(Purpose::Configuration, "t/").await.expect("the store is up");
    assert_eq!(listing.entries.len(), 2);
    let next = server.set("t/c", b"5");
    assert_eq!(next_versions(&mut watch, 2).await, vec![kept, next], "it goes on from there");
}

#[tokio::test]
async fn subscribers_share_a_stream() {
    let (server, client) = start_with(Duration::from_secs(60));
    let mut watches: Vec<_> =
        (0..20).map(|_| client.watch(Purpose::Configuration, "t/", 1)).collect();
    let mut other = client.watch(Purpose::Membership, "m/", 1);
    let expected: Vec<_> = (0..10u8).map(|number| server.set("t/a", &[number])).collect();
    for watch in &mut watches {
        assert_eq!(next_versions(watch, 10).await, expected);
    }
    wait_for(&mut other, |event| matches!(event, WatchEvent::Current { .. }).then_some(())).await;
    assert_eq!(server.calls(Some(CallKind::Watch)), 2);
    assert_eq!(client.counters().watches, 2);
}

#[tokio::test]
async fn late_subscriber_catches_up() {
    let (server, client) = start();
    let mut first = client.watch(Purpose::Configuration, "t/", 3);
    let skipped = server.set("t/a", b"0");
    let expected: Vec<_> = (0..5u8).map(|number| server.set("t/a", &[number])).collect();
    assert_eq!(next_versions(&mut first, 5).await, expected, "revision {skipped} comes before 3");
    let mut second = client.watch(Purpose::Configuration, "t/", expected[2]);
    assert_eq!(next_versions(&mut second, 3).await, expected[2..]);
    let mut older = client.watch(Purpose::Configuration, "t/", 1);
    assert_eq!(older.next().await, WatchEvent::Compacted { revision: 3 });
    let mut from_now = client.watch(Purpose::Configuration, "t/", 0);
    let next = server.set("t/a", b"6");
    assert_eq!(next_versions(&mut from_now, 1).await, vec![next]);
}

#[tokio::test]
async fn slow_subscriber_gets_compacted() {
    let (server, client) = start();
    let mut slow = client.watch(Purpose::Configuration, "t/", 1);
    let mut quick = client.watch(Purpose::Configuration, "t/", 1);
    let first = server.set("t/a", b"first");
    assert_eq!(next_versions(&mut slow, 1).await, vec![first]);
    let expected: Vec<_> =
        (0..3_000u32).map(|number| server.set("t/a", &number.to_le_bytes())).collect();
    let last = expected[2_999];
    let newest = |event: &WatchEvent| match event {
        WatchEvent::Put(entry) if entry.version == last => Some(()),
        _ => None,
    };
    wait_for(&mut quick, newest).await;
    let compacted = wait_for(&mut slow, |event| match event {
        WatchEvent::Compacted { .. } => Some(true),
        WatchEvent::Put(_) => Some(false),
        _ => None,
    });
    assert!(compacted.await, "changes are missing");
    wait_for(&mut slow, newest).await;
}

#[tokio::test]
async fn last_watch_closes_the_stream() {
    let (server, client) = start_with(Duration::from_secs(60));
    let mut watch = client.watch(Purpose::Configuration, "t/", 1);
    let version = server.set("t/a", b"1");
    assert_eq!(next_versions(&mut watch, 1).await, vec![version]);
    drop(watch);
    let mut again = client.watch(Purpose::Configuration, "t/", version);
    assert_eq!(next_versions(&mut again, 1).await, vec![version]);
    assert_eq!(server.calls(Some(CallKind::Watch)), 2);
}

/// Maintains a copy of the prefix from a watch, listing again after a compaction, until a key
/// appears.
async fn follow(client: &Client, last_key: &str) -> BTreeMap<String, Bytes> {
    let mut watch = client.watch(Purpose::Configuration, "t/", 1);
    let mut copy = BTreeMap::new();
    let mut revision = 0;
    loop {
        match watch.next().await {
            WatchEvent::Put(entry) if entry.version > revision => {
                copy.insert(entry.key, entry.value);
            }
            WatchEvent::Delete { key, version } if version > revision => {
                copy.remove(&key);
            }
            WatchEvent::Compacted { .. } => {
                let listing = loop {
                    match client.list(Purpose::Configuration, "t/").await {
                        Ok(listing) => break listing,
                        Err(_) => sleep(Duration::from_millis(5)).await,
                    }
                };
                revision = listing.revision;
                let entries = listing.entries.into_iter();
                copy = entries.map(|entry| (entry.key, entry.value)).collect();
            }
            _ => {}
        }
        if copy.contains_key(last_key) {
            return copy;
        }
    }
}

#[tokio::test]
async fn copies_converge_under_faults() {
    let (server, client) = start();
    let follower = tokio::spawn(async move { follow(&client, "t/end").await });
    let mut expected = BTreeMap::new();
    for step in 0..400u32 {
        let key = format!("t/{}", step % 17);
        server.set(&key, &step.to_le_bytes());
        expected.insert(key, Bytes::copy_from_slice(&step.to_le_bytes()));
        match step % 40 {
            7 => server.silence(),
            13 => server.compact(0),
            20 => server.set_faults(|faults| faults.down = true),
            30 => server.set_faults(|faults| faults.down = false),
            _ => {}
        }
        sleep(Duration::from_millis(2)).await;
    }
    server.set("t/end", b"");
    expected.insert("t/end".to_owned(), Bytes::new());
    assert_eq!(follower.await.expect("no panic"), expected);
}
