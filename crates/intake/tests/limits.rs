//! Which connections end when clients reach a limit.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::advance;
use tokio::time::timeout;

use intake::Intake;
use intake::Lease;
use intake::Limits;
use intake::Port;
use intake::Reason;
use intake::Socket;
use intake::Vm;

/// Bytes of a body; serving one takes more.
const BODY: usize = 262_144;

fn intake(connections: usize) -> Intake {
    Intake::new(Limits { connections, ..Limits::new(Vm::default()) })
}

fn open(intake: &Intake) -> Lease {
    intake.open(Port::Callers).expect("room")
}

async fn serve(lease: &Lease, bytes: usize) -> Result<(), Reason> {
    lease.begin_body();
    lease.begin_work(bytes, Instant::now()).await
}

/// Guards against new callers that are shut out by connections that were there first.
#[tokio::test(start_paused = true)]
async fn oldest_connection() {
    let intake = intake(2);
    let (first, second) = (open(&intake), open(&intake));
    first.begin_body();
    advance(Duration::from_millis(1)).await;
    second.begin_body();
    let _third = open(&intake);
    assert_eq!((first.refusal(), second.refusal()), (Some(Reason::Connections), None));
    assert_eq!(intake.take_usage().ended[&Reason::Connections], 1);
}

/// Guards against a request that is cut off although it may have run.
#[tokio::test(start_paused = true)]
async fn passed_on() {
    let intake = intake(1);
    let lease = open(&intake);
    assert_eq!(serve(&lease, 1_000).await, Ok(()));
    advance(Duration::from_secs(600)).await;
    intake.sweep();
    assert!(intake.open(Port::Callers).is_none(), "there is no other connection to close");
    assert_eq!(lease.refusal(), None);
    assert!(intake.open(Port::Peers).is_some(), "peers have connections of their own");
}

/// Guards against unfinished bodies that take all bytes.
#[tokio::test(start_paused = true)]
async fn unfinished_bodies() {
    let intake = intake(1_000);
    let mut leases = Vec::new();
    for _ in 0..200 {
        let lease = open(&intake);
        lease.begin_body();
        assert_eq!(lease.grow(BODY), Ok(()), "the newest body is read");
        advance(Duration::from_millis(1)).await;
        leases.push(lease);
    }
    let usage = intake.take_usage();
    assert!(usage.held_bytes <= intake.limits().held_bytes, "{usage:?}");
    let kept = leases.iter().position(|lease| lease.refusal().is_none()).expect("some");
    assert!(leases[kept..].iter().all(|lease| lease.refusal().is_none()), "the oldest end first");
    drop(leases);
    assert_eq!(intake.take_usage().held_bytes, 0);
}

/// Guards against complete requests that are served all at once, and against refusals although the
/// bytes become free soon.
#[tokio::test(start_paused = true)]
async fn waiting_request() {
    let intake = intake(1_000);
    let mut served = Vec::new();
    loop {
        let lease = open(&intake);
        if serve(&lease, BODY).await == Err(Reason::Bytes) {
            break;
        }
        served.push(lease);
    }
    let waiting = open(&intake);
    waiting.begin_body();
    let until = Instant::now() + Duration::from_secs(1);
    let mut room = std::pin::pin!(waiting.begin_work(BODY, until));
    assert!(timeout(Duration::from_millis(100), &mut room).await.is_err(), "there is no room");
    served.pop();
    assert_eq!(room.await, Ok(()));
    assert_eq!(served.last().expect("another").refusal(), None);
}

/// Guards against bodies and connections that stay forever.
#[tokio::test(start_paused = true)]
async fn overdue() {
    let intake = intake(1_000);
    let (idle, body) = (open(&intake), open(&intake));
    body.begin_body();
    advance(Duration::from_secs(14)).await;
    intake.sweep();
    assert_eq!((idle.refusal(), body.refusal()), (None, None), "both are within the idle timeout");
    advance(Duration::from_secs(2)).await;
    intake.sweep();
    assert_eq!(idle.refusal(), Some(Reason::IdleTime));
    assert_eq!(body.refusal(), Some(Reason::BodyTime), "no byte has arrived since");
}

/// Guards against a new connection that is registered but closed at once without an answer, because
/// it is the only one that can give way.
#[tokio::test(start_paused = true)]
async fn refused_connection() {
    let intake = intake(10_000);
    let mut served = Vec::new();
    while let Some(lease) = intake.open(Port::Callers) {
        assert_eq!(lease.refusal(), None, "a registered connection is not to end");
        lease.begin_body();
        lease.pass_on().expect("it was not to end");
        served.push(lease);
    }
    let usage = intake.take_usage();
    assert_eq!(usage.connections, served.len());
    assert_eq!(usage.ended, BTreeMap::from([(Reason::Bytes, 1)]));
    assert!(intake.open(Port::Readiness).is_some(), "health checks need no share of the bytes");
    drop(served);
    assert_eq!(intake.take_usage().held_bytes, 0);
}

/// Guards against connections that are all closed as overdue when a suspended process resumes, before
/// it reads what their clients have sent meanwhile.
#[tokio::test(start_paused = true)]
async fn suspended_process() {
    let intake = intake(1_000);
    let (idle, body, answer) = (open(&intake), open(&intake), open(&intake));
    body.begin_body();
    answer.begin_answer();
    advance(intake.sweep()).await;
    let pause = intake.sweep();
    advance(Duration::from_secs(60)).await;
    intake.sweep();
    let refusals = [idle.refusal(), body.refusal(), answer.refusal()];
    assert_eq!(refusals, [None; 3], "the process was suspended for {pause:?} and longer");
    for _ in 0..10 {
        advance(intake.sweep()).await;
    }
    let refusals = [idle.refusal(), body.refusal(), answer.refusal()];
    assert!(refusals.iter().all(Option::is_some), "they are overdue by now: {refusals:?}");
}

/// Guards against a shorter limit that is in force only after the longest pause of the former one.
#[tokio::test(start_paused = true)]
async fn shorter_limits() {
    let hour = Duration::from_secs(3_600);
    let long = Limits { head_time: hour, idle_time: hour, ..Limits::new(Vm::default()) };
    let intake = Intake::new(long);
    let idle = open(&intake);
    assert_eq!(intake.sweep(), hour);
    intake.set_limits(Limits::new(Vm::default()));
    let changed = timeout(Duration::from_secs(1), intake.limits_changed()).await;
    assert_eq!(changed, Ok(()), "the task that sweeps is woken");
    for _ in 0..6 {
        advance(intake.sweep()).await;
    }
    assert_eq!(idle.refusal(), Some(Reason::IdleTime));
}

/// Guards against sums and times that overflow.
#[test]
fn huge_limits() {
    let limits = Limits {
        head_bytes: usize::MAX,
        body_bytes: usize::MAX,
        idle_time: Duration::MAX,
        ..Limits::new(Vm::default())
    };
    assert_eq!(limits.largest_request(), usize::MAX);
}

/// Guards against a request that has arrived on an idle connection and gets no answer when the
/// connection is closed to make room.
#[tokio::test]
async fn arrived_request() {
    let intake = intake(1);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let connecting = TcpStream::connect(listener.local_addr().expect("an address"));
    let (client, accepted) = tokio::join!(connecting, listener.accept());
    let (mut client, (stream, _)) = (client.expect("connected"), accepted.expect("accepted"));
    let mut socket = Socket::new(stream, Rc::new(open(&intake)));
    client.write_all(b"POST / HTTP/1.1\r\n\r\n").await.expect("sent");
    client.shutdown().await.expect("sent");
    let _newer = open(&intake);
    tokio::time::sleep(Duration::from_millis(20)).await;
    let mut byte = [0];
    assert!(socket.read(&mut byte).await.is_err(), "the connection is to be closed");
    drop(socket);
    let mut answer = String::new();
    client.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
}

/// Guards against a refusal that is not sent because the runtime does not know yet that the new
/// connection is writable, or that is lost with the unread request.
#[tokio::test]
async fn refused_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut client =
        TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
    client.write_all(b"POST / HTTP/1.1\r\n\r\n").await.expect("sent");
    let (stream, _) = listener.accept().await.expect("accepted");
    intake::refuse(&stream);
    drop(stream);
    let mut answer = String::new();
    client.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
}
