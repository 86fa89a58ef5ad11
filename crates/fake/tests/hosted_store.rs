//! Tests of the simulated store of the platform.

use fake::HostedStore;
use fake::post;
use fake::send;

#[tokio::test]
async fn concurrent_lease_grants() {
    let store = HostedStore::start().expect("port is free");
    let grant = async || {
        let request = post("/-/kv-lease", &serde_json::json!({ "ttlMs": 1_000 }));
        let reply = send(store.address(), request).await.expect("the store answers");
        reply.json::<serde_json::Value>()["lease"].as_u64().expect("the answer contains a lease id")
    };
    let (first, second, third, fourth) = tokio::join!(grant(), grant(), grant(), grant());
    let mut leases = vec![first, second, third, fourth];
    leases.sort_unstable();
    leases.dedup();
    assert_eq!(leases.len(), 4, "the same lease id was granted twice");
}
