//! Lease expiry, with the store's lease clock stopped, sped up or expired by the test.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use fake::StoreServer;
use model::Verdict;
use store::Cas;
use store::Client;
use store::Config;
use store::KeepAlive;
use store::Purpose;
use store::Store;
use store::WatchEvent;

const SHARD: &str = "shard/a";

fn start() -> (StoreServer, Client) {
    let server = StoreServer::start(1).expect("port is free");
    let config = Config { rate: 10_000.0, ..Config::new(&server.url()) };
    let client = Client::new(config).expect("url is valid");
    (server, client)
}

async fn acquire(client: &Client, name: &'static [u8]) -> (store::LeaseId, u64) {
    let ttl = Duration::from_secs(1);
    let lease = client.grant(Purpose::Ownership, ttl).await.expect("the store is up");
    assert_eq!(lease.ttl, ttl);
    let value = Bytes::from_static(name);
    let cas = client.cas(Purpose::Ownership, SHARD, 0, value, Some(lease.id)).await;
    let Ok(Cas::Committed { version }) = cas else { panic!("{cas:?}") };
    (lease.id, version)
}

#[tokio::test]
async fn expired_lease_deletes_its_keys() {
    let (server, client) = start();
    server.set_faults(|faults| faults.lease_speed = 0.0);
    let (lease, version) = acquire(&client, b"one").await;
    let mut watch = client.watch(Purpose::Ownership, "shard/", version + 1);
    server.set_faults(|faults| faults.lease_speed = 1_000.0);
    let deleted = loop {
        if let WatchEvent::Delete { key, .. } = watch.next().await {
            break key;
        }
    };
    assert_eq!(deleted, SHARD);
    let renewed = client.keep_alive(Purpose::Ownership, lease).await.expect("the store is up");
    assert_eq!(renewed, KeepAlive::Gone);
}

#[tokio::test]
async fn lease_survives_stopped_lease_clock() {
    let (server, client) = start();
    server.set_faults(|faults| faults.lease_speed = 0.0);
    let (lease, _) = acquire(&client, b"one").await;
    sleep(Duration::from_millis(1_100)).await;
    assert_eq!(server.value(SHARD).as_deref(), Some(&b"one"[..]));
    let renewed = client.keep_alive(Purpose::Ownership, lease).await.expect("the store is up");
    assert!(matches!(renewed, KeepAlive::Renewed { .. }));
}

#[tokio::test]
async fn former_holder_is_fenced() {
    let (server, client) = start();
    server.set_faults(|faults| faults.lease_speed = 0.0);
    let (lease, version) = acquire(&client, b"one").await;
    server.expire_leases();
    let (_, newer) = acquire(&client, b"two").await;
    assert!(newer > version);

    let stale = Bytes::from_static(b"one again");
    let cas = client.cas(Purpose::Ownership, SHARD, version, stale.clone(), None).await;
    let Ok(Cas::Conflict { current: Some(entry) }) = cas else { panic!("{cas:?}") };
    assert_eq!((entry.version, entry.value.as_ref()), (newer, &b"two"[..]));
    let error = client.cas(Purpose::Ownership, "shard/b", 0, stale, Some(lease)).await;
    assert_eq!(error.expect_err("the lease is gone").verdict(), Verdict::NotRun);
}

#[tokio::test]
async fn unanswered_renewal_is_retried() {
    let (server, client) = start();
    server.set_faults(|faults| faults.lease_speed = 0.0);
    let (lease, _) = acquire(&client, b"one").await;
    server.silence();
    let renewed = client.keep_alive(Purpose::Ownership, lease).await.expect("one retry is enough");
    assert!(matches!(renewed, KeepAlive::Renewed { .. }));
}
