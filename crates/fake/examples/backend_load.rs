//! Measures the request rate that simulated backend servers in one process sustain.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::task::JoinSet;
use tokio::time::Instant;

use fake::Answer;
use fake::BackendOptions;
use fake::BackendPool;
use fake::Connection;
use fake::REQUEST_HEADER;
use model::Incarnation;
use model::RequestId;

const BACKEND_COUNT: usize = 48;
const CONNECTIONS_PER_BACKEND: usize = 8;
const RUN_TIME: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() {
    let pool =
        BackendPool::start(BackendOptions::new("hub", BACKEND_COUNT)).expect("ports are free");
    let mut clients = JoinSet::new();
    let end = Instant::now() + RUN_TIME;
    for (index, backend) in pool.backends().iter().enumerate() {
        for connection in 0..CONNECTIONS_PER_BACKEND {
            let home = Incarnation((index * CONNECTIONS_PER_BACKEND + connection) as u64);
            clients.spawn(run_client(backend.address(), home, end));
        }
    }
    let mut answers = 0;
    while let Some(count) = clients.join_next().await {
        answers += count.expect("no client panics");
    }
    assert!(pool.duplicated_requests().is_empty());
    println!("{} requests a second", answers / RUN_TIME.as_secs());
}

async fn run_client(address: fake::Address, home: Incarnation, end: Instant) -> u64 {
    let mut connection = Connection::open(address).await.expect("the port is open");
    let mut sequence = 0;
    while Instant::now() < end {
        let id = RequestId { home, sequence }.to_string();
        let request = Request::post("/run")
            .header("host", "hub")
            .header(REQUEST_HEADER, &id)
            .body(Full::new(Bytes::from_static(b"ticket")))
            .expect("request is valid");
        let reply = connection.send(request).await.expect("the server answers");
        assert_eq!(reply.json::<Answer>(), Answer::to(&id, b"ticket"));
        sequence += 1;
    }
    sequence
}
