//! Malformed calls get a problem response and must not crash the process.

use std::time::Duration;

use hyper::Method;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::stage::Process;
use crate::stage::Reply;
use crate::stage::Stage;
use crate::stage::basilrackd;
use model::Verdict;
use wire::border;

/// Headers of a valid request.
const HEADERS: [(&str, &str); 2] =
    [("basilrack-service", "tickets"), ("basilrack-account", "growers")];
/// Length of a body above the limit in the settings of the test environment.
const LONG_BODY: usize = 65 * 1024;

async fn start_one(name: &str) -> (Stage, Process) {
    let stage = Stage::start(name);
    let process = stage.spawn("a");
    stage.apply(&[&process]).await;
    (stage, process)
}

fn assert_problem(reply: &Reply, status: u16, reason: &str) -> border::Problem {
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    assert_eq!((reply.status, reply.reason.as_str()), (status, reason), "{text}");
    assert_eq!(reply.content, "application/problem+json");
    let problem: border::Problem = reply.json();
    assert_eq!(problem.status, status);
    assert!(!problem.detail.is_empty(), "a problem without a detail");
    problem
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_calls() {
    let (stage, process) = start_one("wrong-calls").await;
    let (caller, at) = (&stage.caller, process.address);
    let id = caller.id(at).await.unwrap();
    let request = format!("/v1/requests/{id}");

    let reply = caller.call(at, Method::GET, "/nowhere", &[], "").await.unwrap();
    assert_problem(&reply, 404, "no_such_path");
    let reply = caller.call(at, Method::DELETE, &request, &[], "").await.unwrap();
    assert_problem(&reply, 405, "wrong_method");
    let reply = caller.call(at, Method::PUT, "/v1/requests/1:2", &HEADERS, "x").await.unwrap();
    assert_problem(&reply, 400, "bad_id");
    let reply = caller.call(at, Method::POST, "/v1/ids?count=0", &[], "").await.unwrap();
    assert_problem(&reply, 400, "bad_id");
    let reply = caller.call(at, Method::PUT, &request, &HEADERS[..1], "x").await.unwrap();
    let problem = assert_problem(&reply, 400, "bad_header");
    assert_eq!(problem.verdict, border::Verdict::Unknown, "the id may have been used before");
    let late = [HEADERS[0], HEADERS[1], ("basilrack-deadline-ms", "soon")];
    let reply = caller.call(at, Method::PUT, &request, &late, "x").await.unwrap();
    assert_problem(&reply, 400, "bad_header");
    let long = "x".repeat(LONG_BODY);
    let reply = caller.call(at, Method::PUT, &request, &HEADERS, long.clone()).await.unwrap();
    assert_problem(&reply, 413, "body_too_long");
    let reply = caller.call(at, Method::POST, "/v1/jobs", &[], "{\"account\":").await.unwrap();
    let problem = assert_problem(&reply, 400, "bad_body");
    assert_eq!(problem.verdict, border::Verdict::NotRun);
    let reply = caller.call(at, Method::POST, "/v1/jobs", &[], "{\"extra\":1}").await.unwrap();
    assert_problem(&reply, 400, "bad_body");

    let reply = caller.put(at, &id, "nothing", "x").await.unwrap();
    assert_problem(&reply, reply.status, "no_service");
    assert_eq!(reply.verdict, Some(Verdict::NotRun));
    let unknown = "0123456789abcdef:7";
    let reply = caller.put(at, unknown, "tickets", "x").await.unwrap();
    assert_eq!(reply.verdict, Some(Verdict::Unknown), "the issuer of the id is not known");
    assert_eq!(stage.pool.counts().arrived, 0, "a refused call reached a backend server");
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_token() {
    let (stage, process) = start_one("operator-token").await;
    let paths = ["/v1/status", "/v1/text", "/v1/burn", "/v1/history", "/v1/explain/1:2"];
    let tokens = [None, Some("Bearer wrong"), Some("Bearer "), Some("a-token")];
    for path in paths {
        for token in tokens {
            let headers: Vec<_> = token.iter().map(|token| ("authorization", *token)).collect();
            let reply = stage.caller.call(process.address, Method::GET, path, &headers, "");
            assert_problem(&reply.await.unwrap(), 401, "unauthorized");
        }
    }
    let reply = stage.caller.call(process.address, Method::PUT, "/v1/text", &[], "{}").await;
    assert_problem(&reply.unwrap(), 401, "unauthorized");
    let log = std::fs::read_to_string(stage.log("a")).unwrap();
    assert!(!log.contains("a-token"), "the log contains the token");
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_bytes() {
    let (stage, process) = start_one("broken-bytes").await;
    let id = stage.caller.id(process.address).await.unwrap();
    let head = format!("PUT /v1/requests/{id} HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nab");
    let long = format!("GET / HTTP/1.1\r\nlong: {}\r\n\r\n", "x".repeat(2 << 20));
    for bytes in
        ["\0\u{1}\u{2}\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", &head, &long, "GET /%zz HTTP/1.1\r\n"]
    {
        let mut stream = TcpStream::connect(process.address).await.unwrap();
        // The process may close the connection before it has read everything.
        let _ = stream.write_all(bytes.as_bytes()).await;
        let mut answer = [0; 64];
        let _ = tokio::time::timeout(Duration::from_millis(200), stream.read(&mut answer)).await;
    }
    let reply = stage.caller.put(process.address, &id, "tickets", "whole").await.unwrap();
    assert_eq!(reply.verdict, Some(Verdict::Ran), "{reply:?}");
    process.terminate();
    assert!(process.exit().await.success());
}

#[test]
fn faulty_settings() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join("faulty.jsonc");
    std::fs::write(&path, "{\n  \"vm\": 7,\n  \"zoone\": \"a\"\n}\n").unwrap();
    let output = basilrackd().args(["check", "--settings"]).arg(&path).output().unwrap();
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).unwrap();
    for part in ["faulty.jsonc:2:9", "vm", "faulty.jsonc:3:3", "zoone", "region"] {
        assert!(text.contains(part), "{part:?} is not in:\n{text}");
    }
    let output = basilrackd().args(["check", "--settings", "/nonexistent"]).output().unwrap();
    assert!(String::from_utf8(output.stderr).unwrap().contains("cannot be read"));
}
