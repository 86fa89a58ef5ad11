//! Requests a second that the backend servers of one process answer.

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

const BACKENDS: usize = 48;
const CONNECTIONS: usize = 8;
const SPAN: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() {
    let pool = BackendPool::start(BackendOptions::new("hub", BACKENDS)).expect("ports are free");
    let mut callers = JoinSet::new();
    let end = Instant::now() + SPAN;
    for (number, backend) in pool.backends().iter().enumerate() {
        for connection in 0..CONNECTIONS {
            let home = Incarnation((number * CONNECTIONS + connection) as u64);
            callers.spawn(call(backend.address(), home, end));
        }
    }
    let mut answers = 0;
    while let Some(count) = callers.join_next().await {
        answers += count.expect("no caller panics");
    }
    assert!(pool.duplicated_requests().is_empty());
    println!("{} requests a second", answers / SPAN.as_secs());
}

async fn call(address: fake::Address, home: Incarnation, end: Instant) -> u64 {
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
