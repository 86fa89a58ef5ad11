//! Responses that take longer than the time limit on their beginning.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

use net::CallError;
use net::Caller;
use net::Reply;
use net::call::Call;
use net::call::Limits;

const TIMEOUT: Duration = Duration::from_millis(200);
const PART: &[u8] = &[b'x'; 1_000];

/// Starts a server that sends a response of ten parts with `pause` before each.
async fn server(pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 4_096]).await;
                let head =
                    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", 10 * PART.len());
                stream.write_all(head.as_bytes()).await.unwrap();
                for _ in 0..10 {
                    sleep(pause).await;
                    if stream.write_all(PART).await.is_err() {
                        return;
                    }
                }
                // The connection stays open until the caller closes it.
                let _ = stream.read(&mut [0; 4_096]).await;
            });
        }
    });
    address
}

async fn call(
    pause: Duration,
    answer_timeout: Duration,
    answer_len: usize,
) -> Result<Reply, CallError> {
    let address = server(pause).await;
    let limits =
        Limits { connect_timeout: TIMEOUT, stall_timeout: TIMEOUT, answer_timeout, answer_len };
    let (headers, body) = (Vec::new(), Bytes::new());
    let call = Call { method: Method::GET, path: "/", headers, body, limit: TIMEOUT };
    Caller::new(limits).call(address, call).await
}

fn no_answer_reason(result: Result<Reply, CallError>) -> String {
    match result {
        Err(CallError::NoAnswer(reason)) => reason,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn slow_answer() {
    let reply = call(TIMEOUT / 4, TIMEOUT * 20, 1 << 20).await.unwrap();
    assert_eq!((reply.status, reply.body.len()), (200, 10 * PART.len()));
}

#[tokio::test]
async fn stalled_answer() {
    let reason = no_answer_reason(call(TIMEOUT * 3, TIMEOUT * 20, 1 << 20).await);
    assert!(reason.contains("stalled after 0 bytes"), "{reason}");
}

#[tokio::test]
async fn answer_too_slow() {
    let reason = no_answer_reason(call(TIMEOUT / 4, TIMEOUT, 1 << 20).await);
    assert!(reason.contains("took too long"), "{reason}");
}

#[tokio::test]
async fn answer_too_long() {
    let reason = no_answer_reason(call(Duration::ZERO, TIMEOUT * 20, 3_000).await);
    assert!(reason.contains("broke off"), "{reason}");
}
