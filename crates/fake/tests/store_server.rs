//! Tests of the simulated key-value store through its JSON gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;

use fake::CallKind;
use fake::Connection;
use fake::Reply;
use fake::StoreServer;

fn start() -> StoreServer {
    StoreServer::start(1).expect("port is free")
}

async fn call(server: &StoreServer, path: &str, body: &Value) -> Reply {
    let reply = fake::send(server.address(), fake::post(path, body)).await;
    reply.expect("the store answers")
}

async fn range(server: &StoreServer, body: &Value) -> Value {
    call(server, "/v3/kv/range", body).await.json()
}

fn b64(text: &str) -> String {
    STANDARD.encode(text)
}

fn cas_request(key: &str, expect: u64, value: &str) -> Value {
    json!({
        "compare": [{
            "key": b64(key), "target": "MOD", "result": "EQUAL",
            "mod_revision": expect.to_string(),
        }],
        "success": [{"request_put": {"key": b64(key), "value": b64(value)}}],
        "failure": [{"request_range": {"key": b64(key)}}],
    })
}

#[tokio::test]
async fn range_reads_at_revision() {
    let server = start();
    for number in 0..5 {
        server.set(&format!("p/{number}"), b"old");
    }
    let before = server.revision();
    server.set("p/3", b"new");
    let all_keys = json!({"key": b64("p/"), "range_end": b64("p0")});
    let answer = range(&server, &all_keys).await;
    assert_eq!(answer["count"], "5");
    assert_eq!(answer["kvs"][3]["value"], b64("new"));

    let mut at_revision = all_keys.clone();
    at_revision["revision"] = json!(before.to_string());
    at_revision["limit"] = json!("4");
    let answer = range(&server, &at_revision).await;
    assert_eq!(answer["kvs"].as_array().map(Vec::len), Some(4));
    assert_eq!(answer["kvs"][3]["value"], b64("old"));
    assert_eq!(answer["more"], true);
    assert_eq!(answer["header"]["revision"], server.revision().to_string());

    server.compact(0);
    let reply = call(&server, "/v3/kv/range", &at_revision).await;
    assert_eq!(reply.status, 400);
    assert_eq!(reply.json::<Value>()["code"], 11);
}

#[tokio::test]
async fn compare_and_swap_matches_model() {
    let server = start();
    let mut rng = SmallRng::seed_from_u64(5);
    let mut model: BTreeMap<String, (u64, String)> = BTreeMap::new();
    let mut connection = Connection::open(server.address()).await.expect("the port is open");
    for step in 0..2_000 {
        let key = format!("k{}", rng.random_range(0..5));
        let current_revision = model.get(&key).map_or(0, |(version, _)| *version);
        let expect = if rng.random_bool(0.6) { current_revision } else { rng.random_range(0..50) };
        let value = step.to_string();
        let request = fake::post("/v3/kv/txn", &cas_request(&key, expect, &value));
        let reply = connection.send(request).await.expect("the store answers");
        let answer: Value = reply.json();
        assert_eq!(answer["succeeded"] == true, expect == current_revision, "{answer}");
        if expect == current_revision {
            model.insert(key, (server.revision(), value));
        } else if current_revision > 0 {
            let found = &answer["responses"][0]["response_range"]["kvs"][0];
            assert_eq!(found["mod_revision"], current_revision.to_string());
            assert_eq!(found["value"], b64(&model[&key].1));
        }
        if rng.random_bool(0.02) {
            server.compact(0);
        }
    }
    for (key, (_, value)) in &model {
        assert_eq!(server.value(key).as_deref(), Some(value.as_bytes()));
    }
    assert_eq!(server.calls(Some(CallKind::Txn)), 2_000);
}

#[tokio::test]
async fn rejects_unsupported_calls() {
    let server = start();
    assert_eq!(call(&server, "/v3/auth/enable", &json!({})).await.status, 404);
    assert_eq!(call(&server, "/v3/kv/range", &json!({"key": 5})).await.status, 400);
    let unsupported = json!({
        "compare": [{"key": b64("a"), "target": "VALUE", "result": "GREATER"}],
        "success": [], "failure": [],
    });
    assert_eq!(call(&server, "/v3/kv/txn", &unsupported).await.status, 400);
    let lease = json!({"key": b64("a"), "value": b64("b"), "lease": "77"});
    assert_eq!(call(&server, "/v3/kv/put", &lease).await.status, 404);
    assert_eq!(server.revision(), 1);
}

#[tokio::test]
async fn peak_counts_any_window() {
    let server = start();
    for _ in 0..7 {
        range(&server, &json!({"key": b64("a")})).await;
    }
    assert_eq!(server.peak_calls(Duration::from_secs(3600)), 7);
    assert_eq!(server.calls_within(Duration::from_secs(3600)), 7);
    assert_eq!(server.peak_calls(Duration::ZERO), 0);
    server.reset_calls();
    assert_eq!(server.calls(None), 0);
}
