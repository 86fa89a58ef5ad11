//! Overhead of the pool: the same calls through the pool and on plain connections of the HTTP
//! library.
//!
//! Prints one JSON object per line.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::http::uri::PathAndQuery;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;

use model::BackendId;
use model::Incarnation;
use model::RequestId;
use net::Dispatch;
use net::Outcome;
use net::Pool;
use net::Reuse;
use net::pool::Config;

const CALLERS: usize = 32;
const CALLS: usize = 5_000;
const BODY: &[u8] = &[b'x'; 256];

async fn answer(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let id = request.headers().get("basilrack-request").cloned();
    let mut response = Response::new(Full::new(Bytes::from_static(BODY)));
    if let Some(id) = id {
        response.headers_mut().insert("basilrack-request", id);
    }
    Ok(response)
}

async fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).expect("an open socket");
            let connection =
                server::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer));
            tokio::spawn(connection);
        }
    });
    address
}

/// Keeps a timer pending, as the heartbeats of a node do.
///
/// Without a pending timer, each new timeout would wake the runtime's driver.
async fn keep_timer_pending() {
    let mut ticks = tokio::time::interval(Duration::from_millis(100));
    loop {
        ticks.tick().await;
    }
}

async fn call_directly(address: SocketAddr, calls: usize) -> Vec<Duration> {
    let stream = TcpStream::connect(address).await.expect("the server runs");
    stream.set_nodelay(true).expect("an open socket");
    let (mut sender, connection) =
        client::handshake(TokioIo::new(stream)).await.expect("a connection");
    tokio::spawn(connection);
    let mut latencies = Vec::with_capacity(calls);
    for _ in 0..calls {
        let started = Instant::now();
        sender.ready().await.expect("an open connection");
        let request = Request::post("/run").header("host", "server");
        let request = request.body(Full::new(Bytes::from_static(BODY))).expect("a request");
        let response = sender.send_request(request).await.expect("an answer");
        response.into_body().collect().await.expect("a body");
        latencies.push(started.elapsed());
    }
    latencies
}

async fn call_through_pool(pool: Pool, address: SocketAddr, calls: usize) -> Vec<Duration> {
    let mut latencies = Vec::with_capacity(calls);
    for sequence in 0..calls as u64 {
        let started = Instant::now();
        let outcome = pool
            .run(Dispatch {
                backend: BackendId::new("server"),
                address,
                path: PathAndQuery::from_static("/run"),
                id: RequestId { home: Incarnation(1), sequence },
                attempt: 1,
                content: None,
                body: Bytes::from_static(BODY),
                timeout: Duration::from_secs(10),
                reuse: Reuse::Proven,
            })
            .await;
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
        latencies.push(started.elapsed());
    }
    latencies
}

/// Runs `callers` concurrently and prints their call rate and median latency.
async fn measure<W>(name: &str, callers: usize, work: impl Fn() -> W)
where
    W: Future<Output = Vec<Duration>> + Send + 'static,
{
    let started = Instant::now();
    let tasks: Vec<_> = (0..callers).map(|_| tokio::spawn(work())).collect();
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task.await.expect("the caller ends"));
    }
    let rate = latencies.len() as f64 / started.elapsed().as_secs_f64();
    latencies.sort();
    let median = latencies[latencies.len() / 2].as_secs_f64() * 1e6;
    println!(r#"{{"measure":"{name}_{callers}","value":{rate:.0},"unit":"calls/s"}}"#);
    println!(r#"{{"measure":"{name}_{callers}_p50","value":{median:.1},"unit":"us"}}"#);
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let address = serve().await;
        tokio::spawn(keep_timer_pending());
        let (sender, _closed) = mpsc::channel(1);
        let pool = Pool::new(Config { max_connections: CALLERS, ..Config::default() }, sender);
        for callers in [1, CALLERS] {
            measure("direct", callers, || call_directly(address, CALLS)).await;
            measure("pool", callers, || call_through_pool(pool.clone(), address, CALLS)).await;
        }
    });
}
