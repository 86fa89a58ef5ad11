//! Answers that a healthy system rarely gives.

use serde_json::Value;
use serde_json::json;

use crate::program::write;
use crate::script::Answer;
use crate::script::Script;
use crate::stage::TEXT;

fn status(shards: Value) -> Value {
    json!({
        "vm": "entry-0", "zone": "zone-a", "incarnation": "00000000000000aa", "revision": 7,
        "current": false, "ready": false, "queued": 3, "running": 4, "shards": shards,
        "store": { "healthy": false, "calls": 20, "failed": 9 },
        "members": [
            { "vm": "entry-1", "zone": "zone-b", "incarnation": "00000000000000bb",
              "state": "silent", "revision": 6 },
            { "vm": "entry-0", "zone": "zone-a", "incarnation": "00000000000000aa",
              "state": "live", "revision": 7 },
        ],
        "backends": [
            { "name": "hub-1", "pool": "hub", "zone": "zone-a", "state": "up", "busy": 3 },
            { "name": "hub-2", "pool": "hub", "zone": "zone-a", "state": "ejected", "busy": 0 },
            { "name": "hub-3", "pool": "hub", "zone": "zone-b", "state": "leaving", "busy": 1 },
        ],
        "workers": [
            { "name": "worker-9", "zone": "zone-a", "state": "quarantined", "why": "tasks failed" },
        ],
        "guarantees": [
            { "account": "loaders", "shard": "zone-a", "accelerators": 8, "count": 2,
              "state": "at_risk" },
        ],
        "unknown": [{ "subject": "whether entry VM entry-1 still runs", "why": "out of reach" }],
    })
}

#[tokio::test]
async fn unwell_system() {
    let shards = json!([{ "shard": "zone-a", "owner": "entry-0", "epoch": 4, "queued": 1 },
                        { "shard": "zone-b" }]);
    let script = Script::start(vec![Answer::new("GET /v1/status", &status(shards))]).await;
    let ended = script.program(&["status"]).run().await.expect(0);
    ended.says(&["revision 7, not known to be the latest", "takes no new work"]);
    ended.says(&["3 waiting, 4 in progress", "does not answer; 20 calls, 9 failed"]);
    ended.says(&[
        "  entry-0  zone-a  live    7         00000000000000aa\n  entry-1  zone-b  silent",
    ]);
    ended.says(&["  zone-a  entry-0     4      1       ?\n  zone-b  none known  ?      ?       ?"]);
    ended.says(&["hub-2 in zone-a is ejected", "hub-3 in zone-b is leaving"]);
    ended
        .says(&["worker-9  zone-a  quarantined  tasks failed", "loaders  zone-a  2       at_risk"]);
    ended.says(&["Unknown\n  whether entry VM entry-1 still runs: out of reach\n"]);
}

#[tokio::test]
async fn no_zone() {
    let ids = json!({ "ids": ["00000000000000aa:1"] });
    let answers = vec![
        Answer::new("POST /v1/ids", &ids),
        Answer::new("GET /v1/status", &status(json!([{ "shard": "zone-b" }]))),
    ];
    let script = Script::start(answers).await;
    let submit = ["jobs", "submit", "--account", "growers", "--service", "sorting"];
    let ended = script.program(&submit).run().await.expect(1);
    ended.warns(&["no placement shard has an owner", "--zone"]);
}

#[tokio::test]
async fn late_entry_vm() {
    let text = json!({ "revision": 0, "current": false, "text": "" });
    let history =
        json!({ "entries": [{ "revision": 9, "at_ms": 0, "author": "Ilze", "changes": [] }] });
    let answers =
        vec![Answer::new("GET /v1/text", &text), Answer::new("GET /v1/history", &history)];
    let script = Script::start(answers).await;
    let file = write("late-entry.jsonc", TEXT);
    let ended = script.program(&["apply", &file]).run().await.expect(1);
    ended.warns(&["does not have revision 9 of the configuration yet", "nothing was changed"]);
}

#[tokio::test]
async fn other_servers() {
    let page = Answer { call: "GET /v1/status", status: 502, body: "<html>".to_owned() };
    let script = Script::start(vec![page, Answer::new("GET /v1/burn", &json!([]))]).await;
    let ended = script.program(&["status"]).run().await.expect(1);
    ended.warns(&["unexpected response from http://", "to GET /v1/status with status 502: "]);
    let ended = script.program(&["burn"]).run().await.expect(1);
    ended.warns(&["unexpected response from http://", "to GET /v1/burn with status 200: "]);
    let ended = script.program(&["text"]).run().await.expect(1);
    ended.warns(&["gave no answer to GET /v1/text"]);
}

#[tokio::test]
async fn jobs_that_end_badly() {
    let job = |state: &str, verdict: &str, last: bool| {
        json!({ "id": "00000000000000aa:1", "state": state, "verdict": verdict, "final": last,
                "reason": "a reason", "attempt": 2, "waits": "a block", "shard": "zone-a" })
    };
    let cases = [("failed", "ran", true, 7), ("impossible", "not_run", true, 7)];
    let cases =
        cases.into_iter().chain([("unknown", "unknown", true, 5), ("done", "ran", true, 0)]);
    for (state, verdict, last, code) in cases {
        let answers = vec![
            Answer::new("POST /v1/ids", &json!({ "ids": ["00000000000000aa:1"] })),
            Answer::new("PUT /v1/jobs", &job("queued", "unknown", false)),
            Answer::new("GET /v1/jobs", &job("running", "unknown", false)),
            Answer::new("GET /v1/jobs", &job("finishing", verdict, last)),
            Answer::new("GET /v1/jobs", &job(state, verdict, last)),
        ];
        let script = Script::start(answers).await;
        let submit = ["jobs", "submit", "--account", "growers", "--service", "sorting"];
        let program = script.program(&submit).args(["--zone", "zone-a", "--wait"]);
        let ended = program.run().await.expect(code);
        ended.says(&[&format!("job 00000000000000aa:1: {state}"), "waits for: a block"]);
    }
}
