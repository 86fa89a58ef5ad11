//! A backend server on raw sockets, with full control over the bytes that it sends.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use model::BackendId;
use model::Incarnation;
use model::RequestId;
use net::Dispatch;
use net::Pool;
use net::Reuse;
use net::pool::Config;

/// Timeout that no test reaches.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(60);

/// Starts a server that handles each connection, numbered from zero, with `script`.
pub async fn serve<F, W>(script: F) -> SocketAddr
where
    F: Fn(TcpStream, usize) -> W + Send + 'static,
    W: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for number in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(script(stream, number));
        }
    });
    address
}

/// Reads one request, head and body; returns `None` if the connection ended.
pub async fn read(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    loop {
        let byte = stream.read_u8().await.ok()?;
        text.push(byte);
        if text.ends_with(b"\r\n\r\n") {
            break;
        }
    }
    let head = String::from_utf8(text).unwrap();
    let len = header(&head, "content-length").map_or(0, |len| len.parse().unwrap());
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await.ok()?;
    Some(head + &String::from_utf8(body).unwrap())
}

/// Returns the value of a header of a request.
pub fn header<'a>(request: &'a str, name: &str) -> Option<&'a str> {
    let lines = request.lines().filter_map(|line| line.split_once(": "));
    lines.filter(|line| line.0 == name).map(|line| line.1).next()
}

/// Returns a complete response that carries the id of the request.
pub fn answer(request: &str, body: &str) -> String {
    let id = header(request, "basilrack-request").unwrap();
    let len = body.len();
    format!("HTTP/1.1 200 OK\r\nbasilrack-request: {id}\r\ncontent-length: {len}\r\n\r\n{body}")
}

/// Creates a pool and the channel of backend servers that closed idle connections.
pub fn pool(config: Config) -> (Pool, mpsc::Receiver<BackendId>) {
    let (sender, closed) = mpsc::channel(16);
    (Pool::new(config, sender), closed)
}

/// Returns the id of the backend server that all tests use.
pub fn backend() -> BackendId {
    BackendId::new("executor-1")
}

/// Returns request number `sequence`, which may use any connection and does not time out.
pub fn dispatch(address: SocketAddr, sequence: u64) -> Dispatch {
    Dispatch {
        backend: backend(),
        address,
        path: PathAndQuery::from_static("/run"),
        id: RequestId { home: Incarnation(1), sequence },
        attempt: 1,
        content: None,
        body: Bytes::from_static(b"work"),
        timeout: LONG_TIMEOUT,
        reuse: Reuse::Any,
    }
}
