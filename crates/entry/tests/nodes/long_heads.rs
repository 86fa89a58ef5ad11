//! Clients that send endless heads must not take the memory of the process.

use std::fs;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::stage::Stage;

/// Number of clients.
const CLIENTS: usize = 400;
/// Bytes that each of them sends.
const HEAD_BYTES: usize = 800_000;
/// Time after which a client stops waiting for the process to read on.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for the process to read what it was sent.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Bound on the resident memory of the process, in kB.
const MAX_MEMORY_KB: u64 = 128 << 10;

/// Guards against read buffers of up to 1 MB for each connection.
#[tokio::test(flavor = "multi_thread")]
async fn long_heads() {
    let stage = Stage::start("long-heads");
    let process = stage.spawn("a");
    stage.apply(&[&process]).await;
    let address = process.address;
    let mut clients = JoinSet::new();
    for _ in 0..CLIENTS {
        clients.spawn(async move {
            let mut stream = TcpStream::connect(address).await.ok()?;
            let head = format!("GET / HTTP/1.1\r\nlong: {}", "x".repeat(HEAD_BYTES));
            // The process may stop reading or close the connection.
            let _ = timeout(SEND_TIMEOUT, stream.write_all(head.as_bytes())).await;
            Some(stream)
        });
    }
    let streams = clients.join_all().await;
    sleep(SETTLE_TIME).await;
    assert!(stage.caller.id(address).await.is_some(), "an ordinary call must be answered");
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    let peak: u64 = line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap();
    println!("peak {peak} kB");
    assert!(peak < MAX_MEMORY_KB, "{peak} kB were resident");
    drop(streams);
}
