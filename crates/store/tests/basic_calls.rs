//! Every operation of the client against a healthy store.

use std::time::Duration;

use bytes::Bytes;

use fake::StoreServer;
use store::Cas;
use store::Client;
use store::Config;
use store::KeepAlive;
use store::Outcome;
use store::Purpose;
use store::Store;
use store::WatchEvent;

fn client(server: &StoreServer) -> Client {
    Client::new(Config { rate: 10_000.0, ..Config::new(&server.url()) }).expect("url is valid")
}

#[tokio::test]
async fn cas_compares_versions() {
    let server = StoreServer::start(1).expect("port is free");
    let client = client(&server);
    assert_eq!(client.get(Purpose::Commit, "a").await.expect("store is up"), None);

    let first = client.cas(Purpose::Commit, "a", 0, Bytes::from_static(b"1"), None).await;
    let Cas::Committed { version } = first.expect("store is up") else { panic!("key is absent") };
    let entry = client.get(Purpose::Commit, "a").await.expect("store is up").expect("key is set");
    assert_eq!((entry.version, entry.value.as_ref()), (version, b"1".as_slice()));

    let stale = client.cas(Purpose::Commit, "a", 0, Bytes::from_static(b"2"), None).await;
    assert_eq!(stale.expect("store is up"), Cas::Conflict { current: Some(entry) });
    let stale = client.delete(Purpose::Commit, "a", version + 1).await.expect("store is up");
    assert!(matches!(stale, Cas::Conflict { .. }));
    let gone = client.delete(Purpose::Commit, "a", version).await.expect("store is up");
    assert!(matches!(gone, Cas::Committed { .. }));
    assert_eq!(client.get(Purpose::Commit, "a").await.expect("store is up"), None);
    let counters = client.counters();
    assert_eq!(counters.calls(Purpose::Commit, Outcome::Answered), server.calls(None));
    assert_eq!(counters.connections, 1);
}

#[tokio::test]
async fn lists_in_pages() {
    let server = StoreServer::start(1).expect("port is free");
    for number in 0..200 {
        server.set(&format!("p/{number:03}"), number.to_string().as_bytes());
    }
    server.set("q", b"outside");
    let listing = client(&server).list(Purpose::Report, "p/").await.expect("store is up");
    let keys: Vec<_> = listing.entries.iter().map(|entry| entry.key.as_str()).collect();
    let expected: Vec<_> = (0..200).map(|number| format!("p/{number:03}")).collect();
    assert_eq!(keys, expected);
    assert_eq!(listing.revision, server.revision());
    assert!(server.calls(None) > 1);
}

#[tokio::test]
async fn revoked_lease_deletes_its_keys() {
    let server = StoreServer::start(1).expect("port is free");
    let client = client(&server);
    let lease = client.grant(Purpose::Ownership, Duration::from_secs(5)).await.expect("granted");
    let set = client.cas(Purpose::Ownership, "o", 0, Bytes::new(), Some(lease.id)).await;
    assert!(matches!(set, Ok(Cas::Committed { .. })));
    let renewed = client.keep_alive(Purpose::Ownership, lease.id).await.expect("store is up");
    assert!(matches!(renewed, KeepAlive::Renewed { .. }));
    client.revoke(Purpose::Ownership, lease.id).await.expect("store is up");
    assert_eq!(client.get(Purpose::Ownership, "o").await.expect("store is up"), None);
    client.revoke(Purpose::Ownership, lease.id).await.expect("a lease that is gone is no error");
    let gone = client.keep_alive(Purpose::Ownership, lease.id).await.expect("store is up");
    assert_eq!(gone, KeepAlive::Gone);
}

#[tokio::test]
async fn watch_prefix() {
    let server = StoreServer::start(1).expect("port is free");
    let client = client(&server);
    let listing = client.list(Purpose::Configuration, "t/").await.expect("store is up");
    let mut watch = client.watch(Purpose::Configuration, "t/", listing.revision + 1);
    let version = server.set("t/a", b"1");
    server.set("u", b"elsewhere");
    let entry = loop {
        if let WatchEvent::Put(entry) = watch.next().await {
            break entry;
        }
    };
    assert_eq!((entry.key.as_str(), entry.version), ("t/a", version));
    client.delete(Purpose::Configuration, "t/a", version).await.expect("store is up");
    let deleted = loop {
        if let WatchEvent::Delete { key, version } = watch.next().await {
            break (key, version);
        }
    };
    assert_eq!(deleted, ("t/a".to_owned(), server.revision()));
}
