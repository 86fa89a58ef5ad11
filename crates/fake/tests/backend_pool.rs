//! Tests of the simulated backend servers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use tokio::time::timeout;

use fake::ATTEMPT_HEADER;
use fake::Answer;
use fake::Backend;
use fake::BackendFaults;
use fake::BackendOptions;
use fake::BackendPool;
use fake::Connection;
use fake::REQUEST_HEADER;
use fake::ServiceTime;
use fake::VERDICT_HEADER;
use model::Incarnation;
use model::RequestId;

/// Time limit for an answer; generous so that only a missing answer exceeds it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

fn id(sequence: u64) -> RequestId {
    RequestId { home: Incarnation(7), sequence }
}

fn run_request(id: RequestId, body: &'static [u8]) -> Request<Full<Bytes>> {
    Request::post("/run")
        .header("host", "test")
        .header(REQUEST_HEADER, id.to_string())
        .header(ATTEMPT_HEADER, "1")
        .body(Full::new(Bytes::from_static(body)))
        .expect("request is valid")
}

fn pool(count: usize) -> BackendPool {
    BackendPool::start(BackendOptions::new("hub", count)).expect("ports are free")
}

async fn send_run(backend: &Backend, id: RequestId) -> Option<StatusCode> {
    let reply = timeout(ANSWER_TIMEOUT, fake::send(backend.address(), run_request(id, b"x")));
    Some(reply.await.expect("the request is answered or its connection closed")?.status)
}

#[tokio::test]
async fn answer_contains_id() {
    let pool = pool(3);
    for (sequence, backend) in (0..).zip(pool.backends()) {
        let reply = fake::send(backend.address(), run_request(id(sequence), b"ticket")).await;
        let answer: Answer = reply.expect("the server answers").json();
        assert_eq!(answer, Answer::to(&id(sequence).to_string(), b"ticket"));
        assert_ne!(answer, Answer::to(&id(sequence).to_string(), b"other"));
        assert_eq!(pool.executions(id(sequence)), 1);
    }
    fake::send(pool.backends()[1].address(), run_request(id(0), b"ticket")).await;
    assert_eq!(pool.duplicated_requests(), vec![id(0)]);
    assert_eq!(pool.counts().finished, 4);
}

#[tokio::test]
async fn leaving_refuses_work() {
    let pool = pool(1);
    let backend = &pool.backends()[0];
    let ready = fake::send(backend.address(), fake::get("/ready")).await;
    assert_eq!(ready.expect("the server answers").status, StatusCode::OK);
    backend.set_leaving(true);
    let ready = fake::send(backend.address(), fake::get("/ready")).await;
    assert_eq!(ready.expect("the server answers").status, StatusCode::SERVICE_UNAVAILABLE);
    let reply = fake::send(backend.address(), run_request(id(1), b"")).await;
    let reply = reply.expect("the server answers");
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.headers[VERDICT_HEADER], "not_run");
    assert_eq!(pool.executions(id(1)), 0);
    assert!(backend.last_arrival().is_some());
}

#[tokio::test]
async fn executions_under_faults() {
    type Fault = (fn(&mut BackendFaults), Option<StatusCode>, u32);
    let faults: [Fault; 6] = [
        (|faults| faults.before_read = 1.0, None, 0),
        (|faults| faults.after_read = 1.0, None, 0),
        (|faults| faults.after_run = 1.0, None, 1),
        (|faults| faults.mid_answer = 1.0, None, 1),
        (|faults| faults.fail = 1.0, Some(StatusCode::INTERNAL_SERVER_ERROR), 1),
        (|_| {}, Some(StatusCode::OK), 1),
    ];
    let pool = pool(1);
    let backend = &pool.backends()[0];
    for (sequence, (set, expected, executions)) in (0..).zip(faults) {
        backend.set_faults(|faults| *faults = BackendFaults::default());
        backend.set_faults(set);
        assert_eq!(send_run(backend, id(sequence)).await, expected, "fault {sequence}");
        assert_eq!(pool.executions(id(sequence)), executions, "fault {sequence}");
    }
}

#[tokio::test]
async fn refuses_and_recovers() {
    let pool = pool(1);
    let backend = &pool.backends()[0];
    for round in 0..3 {
        backend.set_faults(|faults| faults.refuse = true);
        // The listener closes asynchronously.
        while Connection::open(backend.address()).await.is_some() {}
        backend.set_faults(|faults| faults.refuse = false);
        let mut reply = None;
        while reply.is_none() {
            reply = fake::send(backend.address(), run_request(id(round), b"")).await;
        }
        assert_eq!(pool.executions(id(round)), 1);
    }
}

#[tokio::test]
async fn silence_keeps_new_connections_working() {
    let pool = pool(1);
    let backend = &pool.backends()[0];
    let mut old = Connection::open(backend.address()).await.expect("the port is open");
    old.send(run_request(id(1), b"")).await.expect("the server answers");
    backend.silence();
    let silent = timeout(Duration::from_millis(200), old.send(run_request(id(2), b""))).await;
    assert!(silent.is_err(), "a silenced connection is neither answered nor closed");
    assert_eq!(send_run(backend, id(3)).await, Some(StatusCode::OK));
    assert_eq!((pool.executions(id(2)), pool.executions(id(3))), (0, 1));
}

#[tokio::test]
async fn slots_limit_concurrency() {
    let service_time = ServiceTime::constant(Duration::from_millis(5));
    let options = BackendOptions { slots: 2, service_time, ..BackendOptions::new("hub", 1) };
    let pool = BackendPool::start(options).expect("ports are free");
    let address = pool.backends()[0].address();
    let calls: Vec<_> = (0..12)
        .map(|sequence| tokio::spawn(fake::send(address, run_request(id(sequence), b""))))
        .collect();
    for call in calls {
        assert!(call.await.expect("the call does not panic").is_some());
    }
    let counts = pool.counts();
    assert_eq!((counts.started, counts.finished), (12, 12));
    assert!(counts.peak <= 2, "{counts:?}");
}

#[tokio::test]
async fn execution_continues_after_disconnect() {
    let service_time = ServiceTime::constant(Duration::from_millis(50));
    let pool = BackendPool::start(BackendOptions { service_time, ..BackendOptions::new("hub", 1) });
    let pool = pool.expect("ports are free");
    let backend = &pool.backends()[0];
    let call = tokio::spawn(fake::send(backend.address(), run_request(id(1), b"")));
    while pool.executions(id(1)) == 0 {
        tokio::task::yield_now().await;
    }
    backend.drop_connections();
    assert!(call.await.expect("the call does not panic").is_none());
    while pool.counts().finished == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(pool.executions(id(1)), 1);
}
