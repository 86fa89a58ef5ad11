//! Responses that a healthy system rarely gives, from a scripted server.

use serde_json::Value;
use serde_json::json;

use crate::program::write;
use crate::script::Answer;
use crate::script::ScriptedServer;
use crate::stage::CONFIG;

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
async fn degraded_system() {
    let shards = json!([{ "shard": "zone-a", "owner": "entry-0", "epoch": 4, "queued": 1 },
                        { "shard": "zone-b" }]);
    let server = ScriptedServer::start(vec![Answer::new("GET /v1/status", &status(shards))]).await;
    let output = server.program(&["status"]).run().await.expect_code(0);
    output.assert_stdout(&["revision 7, not known to be the latest", "takes no new work"]);
    output.assert_stdout(&["3 waiting, 4 in progress", "does not answer; 20 calls, 9 failed"]);
    output.assert_stdout(&[
        "  entry-0  zone-a  live    7         00000000000000aa\n  entry-1  zone-b  silent",
    ]);
    output.assert_stdout(&[
        "  zone-a  entry-0     4      1       ?\n  zone-b  none known  ?      ?       ?",
    ]);
    output.assert_stdout(&["hub-2 in zone-a is ejected", "hub-3 in zone-b is leaving"]);
    output.assert_stdout(&[
        "worker-9  zone-a  quarantined  tasks failed",
        "loaders  zone-a  2       at_risk",
    ]);
    output.assert_stdout(&["Unknown\n  whether entry VM entry-1 still runs: out of reach\n"]);
}

#[tokio::test]
async fn no_zone() {
    let ids = json!({ "ids": ["00000000000000aa:1"] });
    let answers = vec![
        Answer::new("POST /v1/ids", &ids),
        Answer::new("GET /v1/status", &status(json!([{ "shard": "zone-b" }]))),
    ];
    let server = ScriptedServer::start(answers).await;
    let submit = ["jobs", "submit", "--account", "growers", "--service", "sorting"];
    let output = server.program(&submit).run().await.expect_code(1);
    output.assert_stderr(&["no placement shard has an owner", "--zone"]);
}

#[tokio::test]
async fn stale_entry_vm() {
    let text = json!({ "revision": 0, "current": false, "text": "" });
    let history =
        json!({ "entries": [{ "revision": 9, "at_ms": 0, "author": "Ilze", "changes": [] }] });
    let answers =
        vec![Answer::new("GET /v1/text", &text), Answer::new("GET /v1/history", &history)];
    let server = ScriptedServer::start(answers).await;
    let file = write("late-entry.jsonc", CONFIG);
    let output = server.program(&["apply", &file]).run().await.expect_code(1);
    output.assert_stderr(&[
        "does not have revision 9 of the configuration yet",
        "nothing was changed",
    ]);
}

#[tokio::test]
async fn unexpected_responses() {
    let error_page = Answer { call: "GET /v1/status", status: 502, body: "<html>".to_owned() };
    let server =
        ScriptedServer::start(vec![error_page, Answer::new("GET /v1/burn", &json!([]))]).await;
    let output = server.program(&["status"]).run().await.expect_code(1);
    output.assert_stderr(&["unexpected response to GET /v1/status with status 502"]);
    let output = server.program(&["burn"]).run().await.expect_code(1);
    output.assert_stderr(&["unexpected response to GET /v1/burn with status 200"]);
    let output = server.program(&["text"]).run().await.expect_code(1);
    output.assert_stderr(&["gave no answer to GET /v1/text"]);
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
        let server = ScriptedServer::start(answers).await;
        let submit = ["jobs", "submit", "--account", "growers", "--service", "sorting"];
        let program = server.program(&submit).args(["--zone", "zone-a", "--wait"]);
        let output = program.run().await.expect_code(code);
        output.assert_stdout(&[&format!("job 00000000000000aa:1: {state}"), "waits for: a block"]);
    }
}
