//! Crowds of clients that hold memory or connections of an entry VM process, each on loopback.
//!
//! The process must survive, stay within a bound on its memory and its descriptors, and answer one
//! ordinary request while the crowd is still connected. No times and no shares of served requests
//! are checked.

#[allow(dead_code, reason = "the other tests of real processes use the rest")]
#[path = "../hosted/cluster.rs"]
mod cluster;
mod crowd;

use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

use crate::crowd::BODY_BYTES;
use crate::crowd::Crowd;
use fake::HostedStoreFaults;

/// Number of clients that send something, unless `CLIENTS_VARIABLE` states it.
const CLIENTS: usize = 400;
/// Environment variable with the number of clients that send something.
const CLIENTS_VARIABLE: &str = "CROWD_CLIENTS";
/// Number of clients that only connect.
const IDLE_CLIENTS: usize = 1_500;
/// Bytes that a client sends of something endless.
const ENDLESS_BYTES: usize = 400_000;
/// Crowds run one at a time: they compete for the machine's memory and the test's descriptors.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn start(name: &str) -> (MutexGuard<'static, ()>, Crowd) {
    (ONE_AT_A_TIME.lock().await, Crowd::start(name).await)
}

/// Number of clients that send something.
fn clients() -> usize {
    cluster::number_from(CLIENTS_VARIABLE).unwrap_or(CLIENTS)
}

/// Returns the head of a submission; `fields` are further header lines.
fn head(number: usize, fields: &str) -> String {
    format!(
        "POST /work/{:016x} HTTP/1.1\r\nhost: jobs.example\r\nx-api-key: {}\r\n{fields}\r\n",
        0xc0_0000 + number,
        cluster::KEY
    )
}

/// Guards against read buffers that grow to hundreds of kilobytes before a head is refused.
#[tokio::test]
async fn long_heads() {
    let (_turn, mut crowd) = start("long-heads").await;
    let value = "x".repeat(ENDLESS_BYTES);
    let text = format!("GET /work/ HTTP/1.1\r\nhost: jobs.example\r\nlong: {value}\r\n\r\n");
    crowd.send(clients(), |_| text.clone().into_bytes()).await;
    crowd.check().await;
}

/// Guards against the same with a request line.
#[tokio::test]
async fn request_line() {
    let (_turn, mut crowd) = start("request-line").await;
    let text = format!("GET /{}", "x".repeat(ENDLESS_BYTES));
    crowd.send(clients(), |_| text.clone().into_bytes()).await;
    crowd.check().await;
}

/// Guards against the same with the empty lines that a parser skips before a request.
#[tokio::test]
async fn empty_lines() {
    let (_turn, mut crowd) = start("empty-lines").await;
    crowd.send(clients(), |_| b"\r\n".repeat(ENDLESS_BYTES / 2)).await;
    crowd.check().await;
}

/// Guards against the same with many header lines.
#[tokio::test]
async fn header_lines() {
    let (_turn, mut crowd) = start("header-lines").await;
    let text = format!("GET / HTTP/1.1\r\n{}", "a: b\r\n".repeat(ENDLESS_BYTES / 6));
    crowd.send(clients(), |_| text.clone().into_bytes()).await;
    crowd.check().await;
}

/// Guards against copies of many bodies: while a job is being stored, several forms of its body are
/// in memory.
#[tokio::test]
async fn whole_bodies() {
    let (_turn, mut crowd) = start("whole-bodies").await;
    let delay = Duration::from_millis(300);
    crowd.cluster.store.set_faults(HostedStoreFaults { delay, ..HostedStoreFaults::default() });
    let empty = json!({ "spec": "", "steps": [{ "count": 1, "cpu": 1, "memMb": 1 }] }).to_string();
    let payload = "x".repeat(BODY_BYTES - empty.len());
    let body = json!({ "spec": payload, "steps": [{ "count": 1, "cpu": 1, "memMb": 1 }] });
    let body = body.to_string();
    let length = format!("content-length: {}\r\n", body.len());
    crowd.send(clients(), |number| format!("{}{body}", head(number, &length)).into_bytes()).await;
    crowd.cluster.store.set_faults(HostedStoreFaults::default());
    crowd.check().await;
}

/// Guards against bodies that are held without a bound in number or time.
#[tokio::test]
async fn unfinished_bodies() {
    let (_turn, mut crowd) = start("unfinished").await;
    let length = format!("content-length: {BODY_BYTES}\r\n");
    let body = " ".repeat(BODY_BYTES - 1);
    crowd.send(clients(), |number| format!("{}{body}", head(number, &length)).into_bytes()).await;
    crowd.check().await;
}

/// Guards against the same without an announced length.
#[tokio::test]
async fn large_chunks() {
    let (_turn, mut crowd) = start("large-chunks").await;
    let piece = BODY_BYTES / 4;
    let body = format!("{piece:x}\r\n{}\r\n", " ".repeat(piece)).repeat(3);
    let coded = "transfer-encoding: chunked\r\n";
    crowd.send(clients(), |number| format!("{}{body}", head(number, coded)).into_bytes()).await;
    crowd.check().await;
}

/// Guards against bodies of which each piece is held with a reference and its read buffer.
#[tokio::test]
async fn tiny_chunks() {
    let (_turn, mut crowd) = start("tiny-chunks").await;
    let body = "1\r\n \r\n".repeat(BODY_BYTES / 4);
    let coded = "transfer-encoding: chunked\r\n";
    crowd.send(clients(), |number| format!("{}{body}", head(number, coded)).into_bytes()).await;
    crowd.check().await;
}

/// Guards against chunk extensions and trailers that are read without a bound.
#[tokio::test]
async fn endless_framing() {
    let (_turn, mut crowd) = start("framing").await;
    let extension = format!("1;{}", "x".repeat(ENDLESS_BYTES));
    let trailers = format!("1\r\n \r\n0\r\n{}", "a: b\r\n".repeat(ENDLESS_BYTES / 6));
    let coded = "transfer-encoding: chunked\r\n";
    let body = |number: usize| if number.is_multiple_of(2) { &extension } else { &trailers };
    let request = |number| format!("{}{}", head(number, coded), body(number));
    crowd.send(clients(), |number| request(number).into_bytes()).await;
    crowd.check().await;
}

/// Guards against connections without requests that use up the descriptors.
#[tokio::test]
async fn idle_connections() {
    let (_turn, mut crowd) = start("idle").await;
    crowd.send(IDLE_CLIENTS, |_| Vec::new()).await;
    crowd.check().await;
}

/// Guards against answers that pile up in memory because their callers do not read them.
#[tokio::test]
async fn unread_answers() {
    let (_turn, mut crowd) = start("unread").await;
    let request = format!(
        "GET /work/00000000000000aa HTTP/1.1\r\nhost: jobs.example\r\nx-api-key: {}\r\n\r\n",
        cluster::KEY
    );
    let requests = request.repeat(ENDLESS_BYTES / request.len());
    crowd.send(clients(), |_| requests.clone().into_bytes()).await;
    crowd.check().await;
}

/// Guards against state that is kept for connections that were reset during the body.
#[tokio::test]
async fn reset_bodies() {
    let (_turn, mut crowd) = start("reset").await;
    let length = format!("content-length: {BODY_BYTES}\r\n");
    for round in 0..4 {
        let half = " ".repeat(BODY_BYTES / 2);
        let request = |number| format!("{}{half}", head(round * clients() + number, &length));
        crowd.send(clients(), |number| request(number).into_bytes()).await;
        for mut stream in crowd.streams.drain(..) {
            #[allow(deprecated, reason = "a time of zero resets the connection without waiting")]
            stream.set_linger(Some(Duration::ZERO)).expect("an option of the socket");
            // The connection may have been closed already.
            let _ = stream.flush().await;
        }
    }
    crowd.check().await;
}
