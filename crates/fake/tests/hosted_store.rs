//! The stand-in for the platform's store.

use fake::HostedStore;
use fake::post;
use fake::send;

#[tokio::test]
async fn separate_leases() {
    let store = HostedStore::start().expect("a store");
    let grant = async || {
        let request = post("/-/kv-lease", &serde_json::json!({ "ttlMs": 1_000 }));
        let reply = send(store.address(), request).await.expect("an answer");
        reply.json::<serde_json::Value>()["lease"].as_u64().expect("a lease")
    };
    let (a, b, c, d) = tokio::join!(grant(), grant(), grant(), grant());
    let mut leases = vec![a, b, c, d];
    leases.sort_unstable();
    leases.dedup();
    assert_eq!(leases.len(), 4, "one lease was granted twice");
}
